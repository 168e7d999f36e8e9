/**
 * A worker crashes and starts again under the id and at the address that it had, as another kind. It
 * registers itself before it serves. The leading instance notices the new incarnation by the worker's
 * answers, but goes on with the labels of the earlier one.
 */
import { setTimeout as delay } from 'node:timers/promises';
import { call, newJobId } from '../caller.mjs';
import { isTroubled, PREFIX, runCase, workerEntry } from '../case.mjs';

const INSTANCES = 4;
/** One of eight is 0.125 of them; the site has `srv_crash` with a share of 0.14 at most. */
const WORKERS = 8;
const DOWN_MS = 1_500;
const CRASHES = 6;
/** Pause after a restart; longer than `contactMs`. */
const PAUSE_MS = 4_000;
const JOB_INTERVAL_MS = 40;
const TASKS = 3;
/** As the jobs of the site: two tasks fill a worker. */
const CPU = 14_000;
const WORK_MS = 150;
const DEADLINE_MS = 1_500;
const KINDS = ['a', 'b'];

const kindOfWorker = (index) => KINDS[index % KINDS.length];
const workOf = () => ({ cpu: CPU, memMb: 64, durationMs: WORK_MS });
const entryOf = (index, kind) => workerEntry(index, { labels: [kind, `r1-${index % 3}`] });

await runCase({
  folder: import.meta.url,
  instances: INSTANCES,
  workers: Array.from({ length: WORKERS }, (_none, index) => ({
    id: `i-${index}`,
    entry: entryOf(index, kindOfWorker(index)),
  })),
  workOf,
  play,
});

async function play({ fleet, workers, record }) {
  const requirements = new Map();
  const pending = [];
  const statuses = {};
  let isSending = true;

  async function submit(number) {
    const id = newJobId();
    const requires = KINDS[number % KINDS.length];
    requirements.set(id, requires);
    const answer = await call({
      address: fleet.instances[number % INSTANCES].address,
      method: 'POST',
      path: PREFIX + id,
      body: {
        spec: `for ${requires}`,
        bestEffort: true,
        steps: [{ count: TASKS, cpu: CPU, memMb: 64, estimateMs: WORK_MS, requires }],
      },
      deadlineMs: DEADLINE_MS,
    });
    const seen = answer.status ?? answer.error;
    statuses[seen] = (statuses[seen] ?? 0) + 1;
  }

  const sender = (async () => {
    for (let number = 0; isSending; number += 1) {
      pending.push(submit(number));
      await delay(JOB_INTERVAL_MS);
    }
  })();

  await delay(2_000);
  const kinds = workers.map((_worker, index) => kindOfWorker(index));
  for (let crash = 0; crash < CRASHES; crash += 1) {
    const index = crash % WORKERS;
    if (isTroubled) {
      await workers[index].crash();
      await delay(DOWN_MS);
      kinds[index] = kinds[index] === 'a' ? 'b' : 'a';
      await workers[index].restart(entryOf(index, kinds[index]));
    }
    await delay(PAUSE_MS);
  }
  isSending = false;
  await sender;
  await Promise.all(pending);
  record('answers', statuses);
  return workers.flatMap((worker) =>
    worker.runs
      .filter((run) => !run.entry.labels.includes(requirements.get(run.task.split('.')[0])))
      .map(
        (run) =>
          `ROUTE: task ${run.task} requires ${requirements.get(run.task.split('.')[0])}, and started ` +
          `on ${run.worker} with the labels ${run.entry.labels.join(', ')}`,
      ),
  );
}
