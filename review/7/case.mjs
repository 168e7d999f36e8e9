/**
 * A worker is cut off from the store alone for 5 s, and its entry is removed. While its tasks still run,
 * the dispatching machine's process is killed. The next dispatcher doesn't know the worker and starts
 * its tasks elsewhere. Three times in a row, with steady traffic.
 */
import { performance } from 'node:perf_hooks';
import { URL, fileURLToPath } from 'node:url';
import { setTimeout as delay } from 'node:timers/promises';
import { send } from '../lib-2/http.mjs';
import { clientRequest, startFleet } from '../lib-2/fleet.mjs';
import { runCase } from '../lib-2/case.mjs';
import { findOverlaps } from '../lib-2/overlaps.mjs';

const FOLDER = fileURLToPath(new URL('.', import.meta.url));
const RESEND_MS = 1_300;
const DEADLINE_MS = 6_000;
const JOB_GAP_MS = 600;
const ROUNDS = 3;
const ROUND_MS = 16_000;
const CUT_MS = 5_000;
/** From the end of the cut until the worker's next heartbeat reaches the store. */
const RETURN_MS = 1_900;
/** From the removal of the entry until the kill. */
const KILL_AFTER_MS = 3_300;
const TASK = { ms: 3_000, cpu: 14_000 };

await runCase(FOLDER, async ({ record, isTroubled, onEnd }) => {
  const fleet = await startFleet({ record, timeoutMs: DEADLINE_MS });
  onEnd(fleet.close);
  let isOver = false;
  let jobs = 0;

  async function submitUntilAnswered(id, first) {
    for (let attempt = 0; !isOver; attempt += 1) {
      const machine = fleet.machines[(first + attempt) % fleet.machines.length];
      const body = {
        spec: JSON.stringify(TASK),
        steps: [{ count: 2, cpu: TASK.cpu, memMb: 64, estimateMs: TASK.ms }],
        bestEffort: true,
      };
      const answer = await send(
        machine.front,
        clientRequest('POST', id, { body, headers: { 'deadline-ms': String(DEADLINE_MS) } }),
      );
      record(`client: POST ${id} at ${machine.name} is answered ${answer.status} ${answer.body}`);
      if (answer.status !== 0 && answer.status !== 502 && answer.status !== 504) return;
      await delay(RESEND_MS);
    }
  }

  async function sendJobs() {
    while (!isOver) {
      jobs += 1;
      void submitUntilAnswered((0x5c0e7a2100000000n + BigInt(jobs)).toString(16), jobs);
      await delay(JOB_GAP_MS);
    }
  }

  async function troubleOnce(round) {
    const leader = fleet.leader();
    const worker = fleet.workers[round % fleet.workers.length];
    void worker.cutFromStore({ cutMs: CUT_MS, returnMs: RETURN_MS });
    while (worker.isListed()) await delay(5);
    await delay(KILL_AFTER_MS);
    record(`tasks on ${worker.id}: ${worker.runningTasks().join(' ')}`);
    await fleet.kill(leader);
  }

  void sendJobs();
  for (let round = 0; round < ROUNDS; round += 1) {
    const beganMs = performance.now();
    await delay(2_000);
    if (isTroubled) await troubleOnce(round);
    await delay(ROUND_MS - (performance.now() - beganMs));
  }
  isOver = true;
  await delay(1_500);

  return findOverlaps(fleet.runs());
});
