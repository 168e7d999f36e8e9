/** Starts the deployed program as separate processes, with settings as the platform writes them. */
import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { randomInt } from 'node:crypto';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { performance } from 'node:perf_hooks';
import { setTimeout as delay } from 'node:timers/promises';
import { fileURLToPath, URL } from 'node:url';
import { call } from './caller.mjs';

const ROOT = fileURLToPath(new URL('../', import.meta.url));
const READY_WITHIN_MS = 25_000;
const FRONT_PORT = 8161;
const READY_PORT = 8167;
const CONTROL_PORT = 8166;
const PORT_RANGE = [7720, 7735];

/** Draws the start of a loopback network of its own, so that fixed ports are free. */
export function drawNetwork() {
  return `127.${randomInt(20, 250)}.${randomInt(1, 250)}`;
}

/** Reads the command and the variables of the deploy file. */
function readDeployFile() {
  const text = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8');
  const [, run] = /^run = "([^"]+)"/m.exec(text);
  const [, env = ''] = /^env = \{(.*)\}/m.exec(text) ?? [];
  const variables = [...env.matchAll(/(\w+) = "([^"]*)"/g)].map(([, name, value]) => [name, value]);
  return { command: run.split(' '), env: Object.fromEntries(variables) };
}

function settingsOf({ name, ip, zone, zones, store, seeds, bounds }) {
  return {
    nodeName: name,
    role: 'instance',
    machineClass: 'front',
    serves: ['front'],
    ip,
    zone,
    region: 'eu-dub',
    zones: Object.fromEntries(zones.map((each) => [each, 'eu-dub'])),
    listen: { front: `${ip}:${FRONT_PORT}`, ready: `${ip}:${READY_PORT}` },
    portRange: PORT_RANGE,
    seeds,
    bootstrap: true,
    countsAsLoss: false,
    limits: {
      cpuShare: 0.675,
      cores: 1,
      memoryMb: 350,
      maxFds: 4100,
      linkMbps: 1000.0,
      diskMb: 0,
    },
    dataDir: null,
    discovery: 'platform',
    entry: 'vip',
    heartbeatMs: 1500,
    contracts: ['base', 'drain', 'config', 'cost', 'recover', 'sched', 'platform'],
    faultTolerance: { machines: 2, zones: 1, regions: 0 },
    bounds,
    orders: 'rpc',
    platform: {
      address: store,
      form: 'kv',
      writesPerS: 400,
      readsPerS: 2000,
      historyS: 20,
      valueBytes: 1048576,
      ttlMinMs: 1000,
    },
    cloud: { address: store, ratePerS: 60.0, duties: [], dutyPerS: 60.0 },
  };
}

/** The bounds of the small deployments, as their pages give them. */
export const BOUNDS = {
  seedLagS: 3,
  reuseAfterS: 2,
  contactMs: 3000,
  ackMs: 4000,
  catchUpS: 4,
  drainMs: 2000,
  graceS: 6,
  lossSlackMs: 200,
  configDeadlineMs: 2000,
  downgradeMs: 250,
  maxSkewMs: 5000,
  recoveryS: 12,
  holdMaxMs: 1000,
  stopMs: 50,
  cancel_ms: 3000,
  visible_ms: 3000,
  resendMs: 1300,
};

/** Starts `count` instances, spread over three zones, and resolves when all are ready. */
export async function startFleet({ network, store, count, record }) {
  const folder = mkdtempSync(join(tmpdir(), 'celerybarrow-review-'));
  const zones = ['dub-a', 'dub-b', 'dub-c'];
  const deployed = readDeployFile();
  const ipOf = (index) => `${network}.${10 + index}`;
  const seeds = zones.map((_zone, index) => `${ipOf(index)}:${CONTROL_PORT}`);
  const instances = Array.from({ length: count }, (_none, index) => {
    const zone = zones[index % zones.length];
    const name = `front-${zone}-${1 + Math.floor(index / zones.length)}`;
    const ip = ipOf(index);
    const path = join(folder, `${name}.json`);
    const settings = settingsOf({
      name,
      ip,
      zone,
      zones,
      store: store.address,
      seeds,
      bounds: BOUNDS,
    });
    writeFileSync(path, JSON.stringify(settings));
    return {
      name,
      zone,
      address: `${ip}:${FRONT_PORT}`,
      ready: `${ip}:${READY_PORT}`,
      path,
      lines: [],
    };
  });
  for (const instance of instances) launch(instance);

  function launch(instance) {
    const [program, ...args] = deployed.command;
    const { PATH, HOME, LANG } = process.env;
    const child = spawn(program, args, {
      cwd: ROOT,
      env: { PATH, HOME, LANG, ...deployed.env, CELERYBARROW_NODE_FILE: instance.path },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    instance.child = child;
    const collect = (chunk) => instance.lines.push(...chunk.toString('utf8').split('\n'));
    child.stdout.on('data', collect);
    child.stderr.on('data', collect);
    child.once('exit', (code, signal) => {
      instance.exitedMs = performance.now();
      record('instance-exited', { instance: instance.name, code, signal });
    });
    record('instance-started', { instance: instance.name, pid: child.pid });
  }

  async function isReady(instance) {
    const answer = await call({
      address: instance.ready,
      method: 'GET',
      path: '/-/ready',
      deadlineMs: 500,
    });
    return answer.status === 200;
  }

  async function waitUntilReady(instance) {
    const untilMs = performance.now() + READY_WITHIN_MS;
    while (!(await isReady(instance))) {
      if (performance.now() > untilMs) throw new Error(`${instance.name} is not ready`);
      await delay(50);
    }
  }

  async function close() {
    for (const { child } of instances) {
      if (child.exitCode !== null || child.signalCode !== null) continue;
      const exited = once(child, 'exit');
      child.kill('SIGKILL');
      await exited;
    }
    rmSync(folder, { recursive: true, force: true });
  }

  try {
    await Promise.all(instances.map(waitUntilReady));
  } catch (error) {
    await close();
    throw error;
  }
  return {
    instances,
    isReady,
    waitUntilReady,
    relaunch: launch,
    /** Returns the instance whose name the store holds as that of the acting one. */
    leader() {
      const stored = store.read('celerybarrow/dispatchers/0');
      return instances.find(({ name }) => name === stored?.dispatcher.instance);
    },
    close,
  };
}
