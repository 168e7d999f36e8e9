/** Runs one case: writes the record, ends what was started, and sets the exit code. */
import { writeFileSync } from 'node:fs';
import { performance } from 'node:perf_hooks';
import { setTimeout as delay } from 'node:timers/promises';
import { setTimeout, clearTimeout } from 'node:timers';
import { drawNetwork, startFleet } from './fleet.mjs';
import { startPlatformStore } from './platformStore.mjs';
import { startWorker } from './worker.mjs';
import { HOST } from './caller.mjs';
import { URL } from 'node:url';

const LIMIT_MS = 110_000;
export const SERVICE = 'notesmith';
export const PREFIX = '/lohu930/';
/** Time for the fleet to see all workers before the first request. */
const SETTLE_MS = 2_500;

export const isTroubled = process.env.TROUBLE !== '0';

/** The configuration: one route to one service. */
export function configuration(version, route = {}) {
  return {
    version,
    routes: [
      {
        name: 'r-1',
        host: HOST,
        prefix: PREFIX,
        kind: 'unsafe',
        timeoutMs: 20_000,
        targetLatencyMs: 60,
        priority: 0,
        service: SERVICE,
        maxAttempts: 3,
        stretch: 1.6,
        ...route,
      },
    ],
    services: [
      {
        name: SERVICE,
        healthPath: '/health',
        maxConns: 64,
        protocol: 'h1',
        tls: false,
        admissionCheck: true,
        spare: false,
      },
    ],
    limits: {
      maxHeaderBytes: 16384,
      maxBodyBytes: 262144,
      headerTimeoutMs: 3000,
      idleTimeoutMs: 15000,
    },
  };
}

/**
 * Runs `play(world)` on a new small deployment. It returns the broken rules as texts. The exit code
 * is 1 if there are any, 0 if there are none, and 2 if the case could not run.
 *
 * `options`: folder, instances, workers (a list of `{ id, entry, isGuarding }`), workOf, play.
 */
export async function runCase(options) {
  const startedMs = performance.now();
  const lines = [];
  const record = (what, details = {}) => {
    const atMs = Math.round(performance.now() - startedMs);
    lines.push(`${String(atMs).padStart(7)} ms  ${what} ${JSON.stringify(details)}`);
  };
  const closers = [];
  const closeAll = async () => {
    for (const close of closers.reverse()) await close().catch(() => undefined);
  };
  const finish = async (code, verdict) => {
    lines.push(verdict);
    await closeAll();
    writeFileSync(new URL('record.txt', options.folder), `${lines.join('\n')}\n`);
    console.log(verdict);
    process.exit(code);
  };
  const limit = setTimeout(() => {
    void finish(2, 'could not run: over the time limit');
  }, LIMIT_MS);
  for (const signal of ['SIGINT', 'SIGTERM'])
    process.once(signal, () => void finish(2, `could not run: ${signal}`));
  try {
    const network = drawNetwork();
    const store = await startPlatformStore(`${network}.2`);
    closers.push(store.close);
    store.write('op/config', configuration(7, options.route));
    const workers = [];
    for (const [index, worker] of options.workers.entries()) {
      const host = `${network}.${100 + index}`;
      const started = await startWorker({
        ...worker,
        host,
        store,
        record,
        workOf: options.workOf,
        lateMsOf: options.lateMsOf,
      });
      closers.push(started.close);
      workers.push(started);
    }
    const fleet = await startFleet({ network, store, count: options.instances, record });
    closers.push(fleet.close);
    await delay(SETTLE_MS);
    record('ready', { leader: fleet.leader()?.name, trouble: isTroubled });
    const broken = await options.play({ store, workers, fleet, record });
    clearTimeout(limit);
    for (const { name, lines: log } of fleet.instances)
      if (process.env.LOGS !== undefined)
        writeFileSync(`${process.env.LOGS}/${name}.log`, log.join('\n'));
    if (broken.length === 0) await finish(0, 'held: no rule was broken');
    await finish(1, `broken:\n  ${broken.join('\n  ')}`);
  } catch (error) {
    clearTimeout(limit);
    await finish(2, `could not run: ${error.stack}`);
  }
}

/** Returns a worker's entry. */
export function workerEntry(index, changes = {}) {
  return {
    service: SERVICE,
    zone: ['dub-a', 'dub-b', 'dub-c'][index % 3],
    capacity: { cpu: 32_000, memMb: 65_536, gpu: 0 },
    labels: ['a', `r1-${Math.floor(index / 4)}`],
    ...changes,
  };
}
