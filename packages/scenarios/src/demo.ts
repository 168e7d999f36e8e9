/** The demo: starts a small fleet in one process, runs a job to its end and submits it again. */
import { request } from 'undici';
import { createUuidV7, formatAddress, parseAddress, type Address } from '@celerybarrow/shared';
import { createTimerService } from '@celerybarrow/timer';
import { createHttpStore } from '@celerybarrow/store';
import { publish, readServiceFile } from '@celerybarrow/configuration';
import { createDaemon, type Daemon, type Settings } from '@celerybarrow/daemon';
import {
  startEndpointStandin,
  startPlatformStandin,
  type EndpointStandin,
  type PlatformStandin,
} from '@celerybarrow/standins';
import { findFreeAddress } from './freeAddress.js';

const SERVICE_FILE = `
service: notesmith
team: editors
kinds:
  stamp: { expectedMs: 80, idempotent: false }
  render: { expectedMs: 400, idempotent: true }
limits: { ratePerSecond: 2000, concurrency: 64 }
`;
const TASK_COUNT = 24;
const RENDER_EVERY = 6;
const DATA_CENTRES = ['dub1', 'dub2'] as const;
const ENDPOINT_SPEEDS = [1.8, 1, 0.5] as const;
const INSTANCES = [
  { instance: 'e1', dataCentre: 'dub1' },
  { instance: 'e2', dataCentre: 'dub1' },
  { instance: 'e3', dataCentre: 'dub2' },
] as const;

interface NamedEndpoint {
  readonly name: string;
  readonly dataCentre: string;
  readonly speed: number;
  readonly standin: EndpointStandin;
}

interface JobResponse {
  readonly outcome: string;
  readonly answers: readonly { readonly name: string; readonly body: unknown }[];
}

function print(text = ''): void {
  process.stdout.write(`${text}\n`);
}

async function startEndpoints(platform: PlatformStandin): Promise<NamedEndpoint[]> {
  const endpoints: NamedEndpoint[] = [];
  for (const dataCentre of DATA_CENTRES) {
    for (const [index, speed] of ENDPOINT_SPEEDS.entries()) {
      const name = `${dataCentre}-worker${index + 1}`;
      const standin = await startEndpointStandin({
        listen: createAnyPortAddress(),
        behaviour: { speed },
      });
      platform.store.putInstance({
        id: name,
        role: 'endpoint',
        service: 'notesmith',
        dataCentre,
        rack: `rack${index + 1}`,
        address: formatAddress(standin.address),
        state: 'live',
        slots: 8,
      });
      endpoints.push({ name, dataCentre, speed, standin });
    }
  }
  return endpoints;
}

interface RunningInstance {
  readonly daemon: Daemon;
  readonly settings: Settings;
}

async function startInstances(platformUrl: string): Promise<RunningInstance[]> {
  const running: RunningInstance[] = [];
  for (const identity of INSTANCES) {
    const settings: Settings = {
      ...identity,
      listen: await findFreeAddress(),
      operate: await findFreeAddress(),
      peer: await findFreeAddress(),
      platform: platformUrl,
      seedPeers: [],
      drainGraceMs: 0,
      answerMegabytes: 8,
      policy: 'stewards',
    };
    const daemon = createDaemon({ settings, timer: createTimerService() });
    await daemon.start();
    running.push({ daemon, settings });
  }
  return running;
}

async function publishService(platformUrl: string): Promise<void> {
  const platform = createHttpStore(platformUrl);
  const file = readServiceFile({ path: 'celerybarrow.yaml', text: SERVICE_FILE }).unwrapOrElse(
    () => {
      throw new Error('the service file of the demo is invalid');
    },
  );
  await publish({
    platform,
    services: [file],
    removals: [],
    publication: createUuidV7(Date.now()),
    pause: () => Promise.resolve(),
  });
  await platform.close();
}

async function waitUntilReady(instances: readonly RunningInstance[]): Promise<void> {
  const timer = createTimerService();
  for (const { settings } of instances) {
    for (;;) {
      const response = await request(`http://${formatAddress(settings.operate)}/v1/status`);
      const status = (await response.body.json()) as {
        role: string;
        configuration: { version: number };
      };
      if (status.role === 'member' && status.configuration.version > 0) break;
      await timer.sleep(50);
    }
  }
}

async function submit(entry: Address, job: object): Promise<JobResponse> {
  const response = await request(`http://${formatAddress(entry)}/v1/jobs`, {
    method: 'POST',
    headers: { 'content-type': 'application/json' },
    body: JSON.stringify(job),
  });
  const answer = (await response.body.json()) as JobResponse;
  if (response.statusCode !== 200)
    throw new Error(`the job was not completed: ${JSON.stringify(answer)}`);
  return answer;
}

function createJob() {
  const tasks = Array.from({ length: TASK_COUNT }, (_, index) => {
    const kind = index % RENDER_EVERY === 0 ? 'render' : 'stamp';
    return {
      name: `${kind}-${index + 1}`,
      kind,
      payload: { workMs: kind === 'render' ? 400 : 80 },
    };
  });
  return { id: createUuidV7(Date.now()), service: 'notesmith', home: 'dub1', tasks };
}

function printStarts(endpoints: readonly NamedEndpoint[]): void {
  print('  endpoint       speed  starts');
  for (const { name, speed, standin } of endpoints) {
    const starts = [...standin.starts().values()].reduce((sum, count) => sum + count, 0);
    print(`  ${name.padEnd(14)} ${String(speed).padEnd(6)} ${'#'.repeat(starts)} ${starts}`);
  }
}

function countDoubleStarts(endpoints: readonly NamedEndpoint[]): number {
  const totals = new Map<string, number>();
  for (const { standin } of endpoints) {
    for (const [task, starts] of standin.starts())
      totals.set(task, (totals.get(task) ?? 0) + starts);
  }
  return [...totals.values()].filter((starts) => starts > 1).length;
}

function createAnyPortAddress(): Address {
  return parseAddress('127.0.0.1:0') ?? { host: '127.0.0.1', port: 0 };
}

async function runDemo(): Promise<void> {
  print('celerybarrow: two data centres, three instances, six endpoints of different speeds');
  print();
  const platform = await startPlatformStandin(createAnyPortAddress());
  const endpoints = await startEndpoints(platform);
  const instances = await startInstances(platform.url);
  await publishService(platform.url);
  await waitUntilReady(instances);
  print('1. The service notesmith is published and in force at every instance.');

  const [first, , third] = instances;
  if (first === undefined || third === undefined) throw new Error('the instances did not start');
  const job = createJob();
  const startedMs = performance.now();
  const answer = await submit(third.settings.listen, job);
  const tookMs = Math.round(performance.now() - startedMs);
  print(
    `2. A job of ${TASK_COUNT} tasks for dub1 was submitted in dub2, and is ${answer.outcome} after ${tookMs} ms:`,
  );
  printStarts(endpoints);
  const isInOrder = answer.answers.every(
    (taskAnswer, index) => taskAnswer.name === job.tasks[index]?.name,
  );
  print(
    `   ${answer.answers.length} answers were returned, ${isInOrder ? 'in' : 'NOT in'} the order of the tasks.`,
  );

  const resubmitted = await submit(first.settings.listen, job);
  const isSame = JSON.stringify(resubmitted) === JSON.stringify(answer);
  print(
    `3. The same job was submitted again at e1: ${isSame ? 'the same answer' : 'ANOTHER answer'},`,
  );
  const startedTwice = countDoubleStarts(endpoints);
  print(`   and ${startedTwice} tasks were started twice.`);

  await Promise.all(instances.map(({ daemon }) => daemon.stop()));
  await Promise.all([platform.close(), ...endpoints.map(({ standin }) => standin.close())]);
  print('4. Every instance handed over and stopped.');
  if (!isInOrder || !isSame || startedTwice > 0) process.exitCode = 1;
}

await runDemo();
