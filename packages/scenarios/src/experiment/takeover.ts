/**
 * Measures the time from the failure of an owner until its ids are served again:
 * `npm run takeover -- [--runs N]`.
 */
import { setTimeout as delay } from 'node:timers/promises';
import { cac } from 'cac';
import { createCallers } from '../callers.js';
import { readStatus, waitUntil } from '../conditions.js';
import { startFleet } from '../fleet.js';
import { publishServiceFile } from '../publishServiceFile.js';
import { parseScenario } from '../scenarioSchema.js';

const FIRST_FLEET_NUMBER = 210;
const START_TIMEOUT_MS = 20_000;
const SERVE_TIMEOUT_MS = 60_000;
const RETRY_INTERVAL_MS = 20;

const scenario = parseScenario(`
name: takeover
property: 1
fleet:
  dub1: { instances: [e1, e2, e3], endpoints: [{}, {}, {}] }
steps: []
`);

async function measureTakeover(signal: NodeJS.Signals, number: number): Promise<number> {
  const fleet = await startFleet({ scenario, number });
  const callers = createCallers(fleet);
  try {
    await publishServiceFile(fleet.platform.url);
    await waitUntil('the fleet is ready', START_TIMEOUT_MS, async () => {
      const statuses = await Promise.all(
        [...fleet.instances.values()].map((instance) => readStatus(instance.operate)),
      );
      return statuses.every(
        (status) => status?.roster?.settled === true && status.configuration.version > 0,
      );
    });
    await delay(1_000);
    const entry = fleet.instances.get('e2')?.listen ?? '';
    const job = callers.create({ home: 'dub1', tasks: 1, workMs: 1, kind: 'stamp', owner: 'e1' });
    const failedMs = performance.now();
    fleet.instances.get('e1')?.signal(signal);
    await waitUntil('the id is served', SERVE_TIMEOUT_MS, async () => {
      const answered = await callers.send(job, entry);
      if (answered.outcome !== 'complete') await delay(RETRY_INTERVAL_MS);
      return answered.outcome === 'complete';
    });
    return Math.round(performance.now() - failedMs);
  } finally {
    await callers.close();
    await fleet.close();
  }
}

const cli = cac('takeover');
cli.option('--runs <N>', 'Runs per failure signal', { default: 5 });
const { options } = cli.parse(process.argv, { run: false });
for (const signal of ['SIGKILL', 'SIGSTOP'] as const) {
  const times: number[] = [];
  for (let run = 0; run < Number(options['runs']); run += 1) {
    times.push(await measureTakeover(signal, FIRST_FLEET_NUMBER + run));
  }
  process.stdout.write(`${signal}: ${times.sort((a, b) => a - b).join(', ')} ms\n`);
}
