/**
 * Starts the fleet of a scenario. Instances are real processes. The platform, the endpoints and the
 * links between instances are stand-ins inside the runner. Every process has its own loopback
 * addresses: a link can identify the sender of a connection, and concurrent scenarios never share
 * ports.
 */
import type { ChildProcess } from 'node:child_process';
import { createWriteStream } from 'node:fs';
import { once } from 'node:events';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { formatAddress, type Address } from '@celerybarrow/shared';
import { rosterSchema, type Roster } from '@celerybarrow/protocol';
import {
  startFaultProxy,
  startPlatformStandin,
  type FaultProxy,
  type PlatformStandin,
} from '@celerybarrow/standins';
import { isHealthy, waitUntil } from './conditions.js';
import { startDetached } from './detachedProcess.js';
import { startEndpoint, type FleetEndpoint } from './fleetEndpoint.js';
import { createLogTail } from './logTail.js';
import type { Scenario } from './scenarioSchema.js';

const DAEMON = fileURLToPath(new URL('../../../daemon/bin/celerybarrowd.js', import.meta.url));
const START_TIMEOUT_MS = 15_000;
const LISTEN_PORT = 8080;
const OPERATE_PORT = 8081;
const PEER_PORT = 8082;
const PLATFORM_PORT = 9000;
const LINK_HOST_OFFSET = 100;
const PLATFORM_LINK_HOST_OFFSET = 150;
const ENDPOINT_HOST_OFFSET = 200;
const PLATFORM_HOST = 99;
const FIRST_SUBNET = 64;
const SUBNET_COUNT = 128;

export interface FleetInstance {
  readonly name: string;
  readonly dataCentre: string;
  readonly host: string;
  readonly listen: string;
  readonly operate: string;
  start(): Promise<void>;
  signal(signal: NodeJS.Signals): void;
  isRunning(): boolean;
  /** Resolves with the exit status when the process exits. */
  ended(): Promise<number | null>;
  /** The last log lines of the process; empty in measurements that write no logs. */
  logLines(): readonly string[];
  readonly peerLink: () => FaultProxy | undefined;
  readonly platformLink: FaultProxy;
}

export interface Fleet {
  readonly platform: PlatformStandin;
  readonly instances: ReadonlyMap<string, FleetInstance>;
  readonly endpoints: ReadonlyMap<string, FleetEndpoint>;
  roster(dataCentre: string): Roster | undefined;
  setCut(between: readonly [string, string], isCut: boolean): void;
  close(): Promise<void>;
}

export interface FleetOptions {
  readonly scenario: Scenario;
  /** Third octet of the fleet's addresses, 1 to 250; unique among a process's running scenarios. */
  readonly number: number;
  /** Folder for the complete instance logs. When undefined, only the last lines are kept. */
  readonly logFolder?: string | undefined;
  /** Additional command-line flags of the daemon. */
  readonly extraFlags?: readonly string[];
  /** For measurements: every endpoint is a separate process and runs every service. */
  readonly isMeasured?: boolean;
}

export async function startFleet(options: FleetOptions): Promise<Fleet> {
  const { scenario } = options;
  const subnet = `127.${FIRST_SUBNET + (process.pid % SUBNET_COUNT)}.${options.number}`;
  const platform = await startPlatformStandin({
    host: `${subnet}.${PLATFORM_HOST}`,
    port: PLATFORM_PORT,
  });
  const instances = new Map<string, FleetInstance>();
  const endpoints = new Map<string, FleetEndpoint>();
  const initialInstances: FleetInstance[] = [];
  let nextHost = 1;

  for (const [dataCentre, dataCentrePlan] of Object.entries(scenario.fleet)) {
    for (const [index, behaviour] of dataCentrePlan.endpoints.entries()) {
      const id = `${dataCentre}-w${index + 1}`;
      const host = `${subnet}.${ENDPOINT_HOST_OFFSET + endpoints.size}`;
      const isSeparateProcess = options.isMeasured === true;
      const service = isSeparateProcess ? undefined : 'notesmith';
      const endpointOptions = { id, dataCentre, host, behaviour, service, isSeparateProcess };
      endpoints.set(id, await startEndpoint(platform, endpointOptions));
    }
    for (const name of [...dataCentrePlan.instances, ...dataCentrePlan.spare]) {
      const instance = await createInstance({
        name,
        dataCentre,
        subnet,
        host: nextHost,
        platform,
        options,
      });
      nextHost += 1;
      instances.set(name, instance);
      if (dataCentrePlan.instances.includes(name)) initialInstances.push(instance);
    }
  }
  await Promise.all(initialInstances.map((instance) => instance.start()));

  /** Returns the instance of that name, or all instances of the data centre of that name. */
  function findInstances(name: string): FleetInstance[] {
    const instance = instances.get(name);
    if (instance !== undefined) return [instance];
    const group = [...instances.values()].filter((instance) => instance.dataCentre === name);
    if (group.length === 0)
      throw new Error(`the scenario refers to ${name}, which the fleet does not contain`);
    return group;
  }

  function setCut([a, b]: readonly [string, string], isCut: boolean): void {
    if (b === 'platform') {
      for (const instance of findInstances(a)) instance.platformLink.setCut('*', isCut);
      return;
    }
    for (const left of findInstances(a)) {
      for (const right of findInstances(b)) {
        if (left === right) continue;
        left.peerLink()?.setCut(right.host, isCut);
        right.peerLink()?.setCut(left.host, isCut);
      }
    }
  }

  return {
    platform,
    instances,
    endpoints,
    roster(dataCentre) {
      const entry = platform.store.get(`celerybarrow/roster/${dataCentre}`);
      return entry === undefined ? undefined : rosterSchema.parse(JSON.parse(entry.value));
    },
    setCut,
    async close() {
      await Promise.all([...instances.values()].map(killInstance));
      await Promise.all([...endpoints.values()].map((endpoint) => endpoint.standin.close()));
      await platform.close();
    },
  };
}

async function killInstance(instance: FleetInstance): Promise<void> {
  instance.signal('SIGCONT');
  instance.signal('SIGKILL');
  await instance.ended();
  await Promise.all([instance.peerLink()?.close(), instance.platformLink.close()]);
}

interface InstanceOptions {
  readonly name: string;
  readonly dataCentre: string;
  readonly subnet: string;
  readonly host: number;
  readonly platform: PlatformStandin;
  readonly options: FleetOptions;
}

async function createInstance(instanceOptions: InstanceOptions): Promise<FleetInstance> {
  const { name, dataCentre, subnet, platform, options } = instanceOptions;
  const host = `${subnet}.${instanceOptions.host}`;
  const linkAddress: Address = {
    host: `${subnet}.${LINK_HOST_OFFSET + instanceOptions.host}`,
    port: PEER_PORT,
  };
  const platformLink = await startFaultProxy(
    { host: `${subnet}.${PLATFORM_LINK_HOST_OFFSET + instanceOptions.host}`, port: PLATFORM_PORT },
    platform.address,
  );
  const isStderrPiped = options.logFolder !== undefined || options.isMeasured !== true;
  const logTail = createLogTail();
  let child: ChildProcess | undefined;
  let peerLink: FaultProxy | undefined;
  let ended: Promise<number | null> = Promise.resolve(null);

  async function start(): Promise<void> {
    peerLink = await startFaultProxy(linkAddress, { host, port: PEER_PORT });
    const link = peerLink;
    const flags = {
      instance: name,
      'data-centre': dataCentre,
      listen: `${host}:${LISTEN_PORT}`,
      operate: `${host}:${OPERATE_PORT}`,
      peer: `${host}:${PEER_PORT}`,
      'advertise-peer': formatAddress(linkAddress),
      platform: `http://${formatAddress(platformLink.address)}`,
      'drain-grace-ms': '300',
    };
    const argv = Object.entries(flags).flatMap(([flag, value]) => [`--${flag}`, value]);
    const started = startDetached(
      process.execPath,
      [DAEMON, ...argv, ...(options.extraFlags ?? [])],
      ['ignore', 'inherit', isStderrPiped ? 'pipe' : 'ignore'],
    );
    if (started.stderr !== null) logTail.follow(started.stderr);
    if (options.logFolder !== undefined) {
      started.stderr?.pipe(
        createWriteStream(join(options.logFolder, `${name}.log`), { flags: 'a' }),
      );
    }
    child = started;
    ended = once(started, 'exit').then(async ([status]) => {
      // A host refuses connections to a process that has exited, so the link must refuse them too.
      await link.close();
      return status as number | null;
    });
    await waitUntil(`${name} is up`, START_TIMEOUT_MS, () =>
      isHealthy(`http://${host}:${OPERATE_PORT}`),
    );
  }

  return {
    name,
    dataCentre,
    host,
    listen: `http://${host}:${LISTEN_PORT}`,
    operate: `http://${host}:${OPERATE_PORT}`,
    start,
    signal: (signal) => child?.kill(signal),
    isRunning: () => child !== undefined && child.exitCode === null && child.signalCode === null,
    ended: () => ended,
    logLines: () => logTail.lines(),
    peerLink: () => peerLink,
    platformLink,
  };
}
