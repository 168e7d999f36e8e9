/** Starts the endpoints of a fleet: stand-ins in the runner, or processes for measurements. */
import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { fileURLToPath } from 'node:url';
import { request } from 'undici';
import { formatAddress } from '@celerybarrow/shared';
import {
  startEndpointStandin,
  type EndpointStandin,
  type PlatformStandin,
} from '@celerybarrow/standins';
import { waitUntil } from './conditions.js';
import type { Scenario } from './scenarioSchema.js';

const STANDIN = fileURLToPath(
  new URL('../../../standins/bin/celerybarrow-standin.js', import.meta.url),
);
const ENDPOINT_PORT = 9100;
const START_TIMEOUT_MS = 15_000;

export interface FleetEndpoint {
  readonly id: string;
  readonly dataCentre: string;
  readonly standin: EndpointHandle;
  setState(state: 'live' | 'leaving'): void;
  kill(): Promise<void>;
}

type EndpointHandle = Pick<EndpointStandin, 'starts' | 'setBehaviour' | 'close'>;

export interface EndpointOptions {
  readonly id: string;
  readonly dataCentre: string;
  readonly host: string;
  readonly behaviour: Scenario['fleet'][string]['endpoints'][number];
  /** The service that the endpoint runs; every service when undefined. */
  readonly service: string | undefined;
  /** Whether the endpoint is a separate process. Its starts are not counted in that case. */
  readonly isSeparateProcess: boolean;
}

export async function startEndpoint(
  platform: PlatformStandin,
  options: EndpointOptions,
): Promise<FleetEndpoint> {
  const { id, dataCentre, host, behaviour, service } = options;
  const address = { host, port: ENDPOINT_PORT };
  const standin = options.isSeparateProcess
    ? await startEndpointProcess(options)
    : await startEndpointStandin({ listen: address, behaviour });

  function setState(state: 'live' | 'leaving'): void {
    platform.store.putInstance({
      id,
      role: 'endpoint',
      ...(service === undefined ? {} : { service }),
      dataCentre,
      rack: 'r1',
      address: formatAddress(address),
      state,
      slots: behaviour.slots,
    });
  }

  setState('live');
  return { id, dataCentre, standin, setState, kill: () => standin.close() };
}

async function startEndpointProcess({ host, behaviour }: EndpointOptions): Promise<EndpointHandle> {
  const address = `${host}:${ENDPOINT_PORT}`;
  const flags = {
    listen: address,
    slots: String(behaviour.slots),
    speed: String(behaviour.speed),
    'fail-ratio': String(behaviour.failRatio),
  };
  const argv = Object.entries(flags).flatMap(([flag, value]) => [`--${flag}`, value]);
  const child = spawn(process.execPath, [STANDIN, 'endpoint', ...argv], { stdio: 'ignore' });
  await waitUntil(`endpoint ${address} is up`, START_TIMEOUT_MS, () => isResponding(address));
  return {
    starts: () => new Map(),
    setBehaviour(change) {
      void request(`http://${address}/v1/behaviour`, {
        method: 'PUT',
        body: JSON.stringify(change),
      });
    },
    async close() {
      const ended = once(child, 'exit');
      child.kill('SIGKILL');
      await ended;
    },
  };
}

async function isResponding(address: string): Promise<boolean> {
  try {
    const response = await request(`http://${address}/v1/starts`);
    await response.body.dump();
    return true;
  } catch {
    return false;
  }
}
