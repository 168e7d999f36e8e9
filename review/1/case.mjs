/**
 * An instance gets SIGTERM (planned work, nothing else happens). Two kinds of requests are lost there:
 *
 * - Waiting: all workers that can run it are busy when SIGTERM comes, and its caller waits longer than
 *   `graceS`. The process ends without any answer to it, although the job was never passed on.
 * - Reused: the answer to a request that was in flight at SIGTERM leaves the connection open. The
 *   caller sends its next request on it, later than 3 s after SIGTERM, and the process ends before
 *   that one is answered.
 */
import { Agent } from 'node:http';
import { setTimeout as delay } from 'node:timers/promises';
import { performance } from 'node:perf_hooks';
import { call, newJobId } from '../caller.mjs';
import { isTroubled, PREFIX, runCase, workerEntry } from '../case.mjs';

const INSTANCES = 4;
const REUSING_CALLERS = 3;
const WAITING_CALLERS = 3;
/** Workers by label: those of `a` are kept busy, those of `b` are free. */
const LABELS = ['a', 'b', 'a', 'b', 'b'];
const BUSY_LABEL = 'a';
const FREE_LABEL = 'b';
/** Work of the tasks that keep the workers busy; two of them fill a worker. */
const BLOCKING_WORK_MS = 9_000;
const BLOCKING_TASKS = 4;
const BLOCKING_CPU = 16_000;
/** Work of the first request of a reusing caller, and of the next one on the same connection. */
const FIRST_WORK_MS = 4_300;
const NEXT_WORK_MS = 1_900;
const WAITING_WORK_MS = 500;
const SETTLED_MS = 500;
const TERM_AFTER_MS = 500;
const DEADLINE_MS = 15_000;
/** Bounds of the pages. */
const GRACE_MS = 6_000;
const EXCUSED_SENT_WITHIN_MS = 3_000;
const LOSS_SLACK_MS = 200;

const workOf = (_task, spec) => {
  const [, durationMs, cpu] = spec.split(' ').map(Number);
  return { cpu, memMb: 64, durationMs };
};

await runCase({
  folder: import.meta.url,
  instances: INSTANCES,
  workers: LABELS.map((label, index) => ({
    id: `i-${index}`,
    entry: workerEntry(index, { labels: [label, 'r1-0'] }),
  })),
  workOf,
  play,
});

async function play({ fleet, workers, record }) {
  const leader = fleet.leader();
  const [stopped, other] = fleet.instances.filter((instance) => instance !== leader);
  const requests = [];

  async function send(instance, { workMs, requires, count = 1, cpu = 4_000, agent }) {
    const id = newJobId();
    const body = {
      spec: `work ${workMs} ${cpu}`,
      bestEffort: true,
      steps: [{ count, cpu, memMb: 64, estimateMs: workMs, requires }],
    };
    record('job-sent', { job: id, instance: instance.name, workMs, requires });
    const answer = await call({
      address: instance.address,
      method: 'POST',
      path: PREFIX + id,
      body,
      deadlineMs: DEADLINE_MS,
      agent,
    });
    const { status, error, isReused, connection } = answer;
    if (instance === stopped) requests.push({ id, answer });
    const tookMs = Math.round(answer.endedMs - answer.sentMs);
    record('job-answered', { job: id, status, error, isReused, connection, tookMs });
  }

  async function reuseConnection() {
    const agent = new Agent({ keepAlive: true, maxSockets: 1 });
    await send(stopped, { workMs: FIRST_WORK_MS, requires: FREE_LABEL, agent });
    await send(stopped, { workMs: NEXT_WORK_MS, requires: FREE_LABEL, agent });
    agent.destroy();
  }

  const pending = [
    send(other, {
      workMs: BLOCKING_WORK_MS,
      requires: BUSY_LABEL,
      count: BLOCKING_TASKS,
      cpu: BLOCKING_CPU,
    }),
  ];
  await delay(SETTLED_MS);
  for (let caller = 0; caller < REUSING_CALLERS; caller += 1) pending.push(reuseConnection());
  for (let caller = 0; caller < WAITING_CALLERS; caller += 1)
    pending.push(send(stopped, { workMs: WAITING_WORK_MS, requires: BUSY_LABEL }));
  await delay(TERM_AFTER_MS);
  const termMs = performance.now();
  if (isTroubled) {
    stopped.child.kill('SIGTERM');
    record('terminated', { instance: stopped.name });
    pending.push(delay(GRACE_MS).then(killUnlessEnded));
  }

  function killUnlessEnded() {
    if (stopped.child.exitCode === null) stopped.child.kill('SIGKILL');
  }

  await Promise.all(pending);
  const broken = [];
  for (const { id, answer } of requests) {
    if (answer.status !== undefined) continue;
    const sentAfterMs = Math.round(answer.sentMs - termMs);
    const runs = workers.flatMap(({ runs: all }) => all).filter(({ task }) => task.startsWith(id));
    const lastSixthMs = termMs + (GRACE_MS * 5) / 6;
    const wasAtWork = runs.some(
      (run) => run.startMs < termMs + GRACE_MS && (run.endMs ?? Infinity) > lastSixthMs,
    );
    const isExcused = wasAtWork && sentAfterMs <= EXCUSED_SENT_WITHIN_MS;
    // A request that was reset at once may not have been read by the process.
    const heldMs = answer.endedMs - answer.sentMs;
    const wasRead = runs.length > 0 || heldMs > LOSS_SLACK_MS;
    if (isExcused || !wasRead) continue;
    broken.push(
      `LOST: job ${id}, sent ${sentAfterMs} ms after SIGTERM, passed on to a worker: ` +
        `${runs.length > 0}; its connection ended with ${answer.error} without an answer ` +
        `${Math.round(answer.endedMs - termMs)} ms after SIGTERM`,
    );
  }
  return broken;
}
