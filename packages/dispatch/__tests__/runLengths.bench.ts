/**
 * Measures the processor time of the decisions on the causes of slow runs, alone, and of a start in
 * the simulated pool. Run: `node packages/dispatch/dist/__tests__/runLengths.bench.js`.
 */
import { createRandom } from '@celerybarrow/shared';
import { createMetrics, type Logger } from '@celerybarrow/telemetry';
import type { Run } from '@celerybarrow/endpoints';
import type { LeasedJob } from '@celerybarrow/protocol';
import { recordLength } from '../src/jobLength.js';
import { createJobRecord, type JobRecord, type TaskRecord } from '../src/jobRecord.js';
import { createRunLengths } from '../src/runLengths.js';
import { simulateLoad } from './loadedPool.js';

const RUNS_PER_ENDPOINT = 2;
const LONG_SHARE = 0.03;
/** Reports that list a run: one when it or another run ends, and one every 280 ms. */
const REPORTS_PER_RUN = 3;
const ROUNDS = 12;

interface ActiveRun {
  readonly record: JobRecord;
  readonly task: TaskRecord;
  readonly run: Run;
  readonly totalMs: number;
}

function elapsedUs(since: bigint): number {
  return Number(process.hrtime.bigint() - since) / 1_000;
}

/** Returns the microseconds of all decisions for one run, from its first report to its end. */
function measureDecisions(endpoints: number): number {
  const ignore = () => undefined;
  const logger: Logger = { debug: ignore, info: ignore, warn: ignore, error: ignore };
  const random = createRandom(endpoints);
  const byKey = new Map<string, JobRecord>();
  const find = (key: string) => byKey.get(key);
  const lengths = createRunLengths({ logger, metrics: createMetrics(), find });
  const demand = { cores: 1_000, memoryMb: 1, accelerators: 0 };
  const expectedMs = 200;
  let nowMs = 0;
  let spentUs = 0;
  let decided = 0;
  for (let round = 0; round < ROUNDS; round += 1) {
    const active: ActiveRun[] = [];
    for (let index = 0; index < endpoints; index += 1) {
      const id = `j${round}/${index}`;
      const base = { id, team: `t${index % 60}`, service: 's', priority: 1, maxAttempts: 3 };
      const limits = { objectiveStretch: 1.6, objectiveAllowanceMs: 60, remainingMs: 1_500 };
      const steps = [{ tasks: RUNS_PER_ENDPOINT, demand, estimateMs: 200, after: [] }];
      const job: LeasedJob = { ...base, ...limits, payload: '', steps, ageMs: 0 };
      const origin = { arrivedMs: nowMs, criticalPathMs: 200, firstRun: 1, mayHaveRun: false };
      const record = createJobRecord(job, 'g', origin, ignore);
      const totalMs = expectedMs * (random.next() < LONG_SHARE ? 7 : 0.7 + 0.6 * random.next());
      record.tasks.forEach((task, number) => {
        task.endpoint = `e${(index + number) % endpoints}`;
        byKey.set(task.key, record);
        const state = { state: 'running', percent: 0, percentAtMs: nowMs, seenMs: nowMs } as const;
        const run: Run = {
          task: task.ref,
          key: task.key,
          number: 1,
          demand,
          sentMs: nowMs,
          ...state,
        };
        active.push({ record, task, run, totalMs });
      });
    }
    const startMs = nowMs;
    for (let report = 1; report <= REPORTS_PER_RUN; report += 1) {
      nowMs += 65;
      for (const { run, totalMs } of active) {
        const percent = Math.floor(((nowMs - startMs) * 100) / totalMs);
        run.newestListing = { clockMs: nowMs, percent, writtenMs: nowMs };
      }
      const since = process.hrtime.bigint();
      for (const { run, record, task, totalMs } of active) {
        lengths.observe(run, record, task, expectedMs, nowMs);
        recordLength(record, task, totalMs, expectedMs);
        lengths.causeOf({ run, record, task, expectedMs, totalMs });
      }
      if (round > 1) spentUs += elapsedUs(since);
    }
    const since = process.hrtime.bigint();
    for (const { run, record, task, totalMs } of active) {
      lengths.observeEnd({ run, record, task, expectedMs, totalMs }, nowMs);
      lengths.recordJob(record);
    }
    if (round > 1) {
      spentUs += elapsedUs(since);
      decided += active.length;
    }
    byKey.clear();
  }
  return spentUs / decided;
}

/** Returns the microseconds of processor time for each start in the simulated pool. */
async function measureStarts(endpoints: number): Promise<number> {
  const usual = { priority: 1, meanTasks: 2, maxTasks: 8, meanMs: 170 };
  const kinds = [{ ...usual, team: 'b', perSecond: endpoints * 2.2 }];
  const metrics = createMetrics();
  const load = { seed: 1, endpoints, speeds: [1], kinds, load: 1, durationMs: 2_000, metrics };
  const before = process.cpuUsage();
  await simulateLoad(load);
  const { user, system } = process.cpuUsage(before);
  return (user + system) / (metrics.counters()['starts'] ?? 1);
}

await measureStarts(33);
for (const endpoints of [245, 1_800]) {
  const decisionUs = measureDecisions(endpoints);
  const startUs = await measureStarts(endpoints);
  const share = ((100 * decisionUs) / startUs).toFixed(1);
  console.log(
    `${endpoints} endpoints: decisions ${decisionUs.toFixed(2)} us a run, start ${startUs.toFixed(0)} us, ${share}%`,
  );
}
