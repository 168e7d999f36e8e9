/**
 * Takes over what an earlier dispatcher started for a job.
 *
 * Fault pattern: the dispatcher was lost or named anew while jobs ran, and their gateways hand them
 * over to the next one. A job that may have been with a dispatcher just now starts nothing new before
 * every endpoint has said, when asked after the job came, what runs there; if that takes too long the
 * job is given up, since a second run could overlap the first.
 */
import { RunEnds } from '@celerybarrow/endpoints';
import type { Logger } from '@celerybarrow/telemetry';
import type { ElapsedClock } from '@celerybarrow/timer';
import type { EndpointPool } from './endpointPool.js';
import type { JobRecord, TaskRecord } from './jobRecord.js';

/**
 * How long the endpoints may take to say what runs there: a resubmitted job waits that long before it
 * is given up, and a dispatcher that has just begun refuses nothing before.
 */
export const SURVEY_LIMIT_MS = 300;
/** After this time without renewal no run of an earlier dispatcher can be left anywhere. */
const EARLIER_RUNS_GONE_MS = 1_700;

export interface EarlierRuns {
  /** Claims the runs of a job that has just come. */
  claim(record: JobRecord, isResubmitted: boolean, heldOn: readonly string[]): void;
  /** Claims the run of a task that is about to start, if any endpoint lists one. */
  claimTask(record: JobRecord, task: TaskRecord): boolean;
  /** Goes on with jobs that waited for the reports, and gives them up when that takes too long. */
  settle(records: Iterable<JobRecord>, nowMs: number): void;
}

export interface EarlierRunsOptions {
  readonly pool: EndpointPool;
  readonly clock: ElapsedClock;
  readonly logger: Logger;
  /** Whether the pool has every endpoint that an earlier dispatcher may have used. */
  readonly isListCurrent: () => boolean;
  /** A task turned out to have ended. */
  readonly onDone: (record: JobRecord) => void;
  readonly onLost: (record: JobRecord, reason: string) => void;
  /** What is left of a job may start now. */
  readonly onSettled: () => void;
}

export function createEarlierRuns(options: EarlierRunsOptions): EarlierRuns {
  const { pool, clock, logger } = options;
  const createdMs = clock.nowMs();

  function claim(record: JobRecord, isResubmitted: boolean, heldOn: readonly string[]): void {
    const nowMs = clock.nowMs();
    if (heldOn.some((endpoint) => pool.find(endpoint) === undefined)) {
      options.onLost(record, 'an endpoint with its runs is not listed');
      return;
    }
    if (!isResubmitted && nowMs - createdMs > EARLIER_RUNS_GONE_MS) return;
    for (const task of record.tasks) claimTask(record, task);
    if (!isResubmitted) return;
    record.surveyed = new Set([...pool.stewards()].map(({ id }) => id));
    // As long as all its tasks run, the endpoints may take their time.
    record.claimUntilMs = Infinity;
    if (record.waiting > 0) askAll(record, nowMs);
  }

  function askAll(record: JobRecord, nowMs: number): void {
    record.claimUntilMs = nowMs + SURVEY_LIMIT_MS;
    for (const steward of pool.stewards()) steward.refresh();
  }

  function claimTask(record: JobRecord, task: TaskRecord): boolean {
    if (task.isDone || task.run !== undefined) return false;
    const demand = record.job.steps[task.ref.step]?.demand;
    if (demand === undefined) return false;
    for (const steward of pool.stewards()) {
      const claimed = steward.claim(task.ref, demand);
      if (claimed === undefined) continue;
      record.hasStarted = true;
      record.waiting -= 1;
      if (claimed === RunEnds.DONE) {
        task.isDone = true;
        options.onDone(record);
      } else {
        task.run = claimed;
        task.endpoint = steward.id;
        task.nextRun = Math.max(task.nextRun, claimed.number + 1);
      }
      return true;
    }
    return false;
  }

  /**
   * Whether every endpoint that was there since the job came has reported since. One that has left the
   * directory meanwhile may still run a task of the job, and has not said so.
   */
  function isSurveyed({ surveyed, arrivedMs }: JobRecord): boolean {
    if (surveyed === undefined) return true;
    if (!options.isListCurrent()) return false;
    for (const steward of pool.stewards()) surveyed.add(steward.id);
    const hasReported = (id: string) => (pool.find(id)?.reportedMs() ?? -1) >= arrivedMs;
    return surveyed.size > 0 && [...surveyed].every(hasReported);
  }

  function settle(records: Iterable<JobRecord>, nowMs: number): void {
    for (const record of records) {
      if (record.claimUntilMs === undefined || record.outcome !== undefined) continue;
      for (const task of record.tasks) claimTask(record, task);
      if (record.waiting > 0 && record.claimUntilMs === Infinity) askAll(record, nowMs);
      if (isSurveyed(record)) {
        record.claimUntilMs = undefined;
        logger.info('Earlier runs were looked for.', {
          job: record.job.id,
          found: record.tasks.length - record.waiting,
          missing: record.waiting,
          tookMs: Math.round(nowMs - record.arrivedMs),
        });
        options.onSettled();
      } else if (record.waiting > 0 && nowMs > record.claimUntilMs) {
        options.onLost(record, 'earlier runs are out of sight');
      }
    }
  }

  return { claim, claimTask, settle };
}
