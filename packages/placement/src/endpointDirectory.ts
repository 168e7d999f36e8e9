/**
 * Provides the endpoints of this data centre, read from the platform's list of instances. The last
 * list stays in use while the platform does not answer.
 */
import type { Random } from '@celerybarrow/shared';
import { spreadDelay } from '@celerybarrow/shared';
import type { TimerService } from '@celerybarrow/timer';
import {
  InstanceRoles,
  InstanceStates,
  type Instance,
  type InstanceList,
} from '@celerybarrow/store';
import type { Logger } from '@celerybarrow/telemetry';

const REFRESH_INTERVAL_MS = 1_000;
const DEFAULT_SLOTS = 8;

export interface Endpoint {
  readonly id: string;
  readonly address: string;
  readonly rack: string;
  /** The only service that the endpoint runs, or undefined if it runs any service. */
  readonly service: string | undefined;
  readonly slots: number;
}

export interface EndpointDirectory {
  /** Returns the endpoints that may receive new tasks. */
  live(): readonly Endpoint[];
  /** Whether the list of instances has been read at least once. */
  hasBeenRead(): boolean;
  /** Whether an earlier list contained the instance and the current list does not. */
  isDelisted(instance: string): boolean;
  /** Adds a subscriber that is called when the list of endpoints changes. */
  onChange(subscriber: () => void): void;
}

export interface EndpointDirectoryOptions {
  readonly dataCentre: string;
  readonly platform: InstanceList;
  readonly timer: TimerService;
  readonly random: Random;
  readonly logger: Logger;
  readonly signal: AbortSignal;
}

/** Creates the directory and starts refreshing it periodically until the signal is aborted. */
export function createEndpointDirectory(options: EndpointDirectoryOptions): EndpointDirectory {
  const { platform, timer, random, logger, signal } = options;
  const everListed = new Set<string>();
  const subscribers = new Set<() => void>();
  let listed = new Set<string>();
  let endpoints: readonly Endpoint[] = [];
  let hasRead = false;

  async function refreshRepeatedly(): Promise<void> {
    while (!signal.aborted) {
      const list = await platform.instances();
      if (list.isOk) applyList(list.value);
      await timer.sleep(spreadDelay(REFRESH_INTERVAL_MS, random), signal);
    }
  }

  function applyList(list: readonly Instance[]): void {
    listed = new Set(list.map((instance) => instance.id));
    for (const id of listed) everListed.add(id);
    const liveEndpoints = list.filter(isLiveEndpoint).map(toEndpoint);
    const hasChanged = !hasRead || serialize(liveEndpoints) !== serialize(endpoints);
    hasRead = true;
    endpoints = liveEndpoints;
    if (!hasChanged) return;
    logger.info('Read a new list of endpoints.', { endpoints: liveEndpoints.length });
    for (const subscriber of subscribers) subscriber();
  }

  function isLiveEndpoint(instance: Instance): boolean {
    return (
      instance.role === InstanceRoles.ENDPOINT &&
      instance.state === InstanceStates.LIVE &&
      instance.dataCentre === options.dataCentre
    );
  }

  void refreshRepeatedly();

  return {
    live: () => endpoints,
    hasBeenRead: () => hasRead,
    isDelisted: (instance) => everListed.has(instance) && !listed.has(instance),
    onChange(subscriber) {
      subscribers.add(subscriber);
    },
  };
}

function toEndpoint(instance: Instance): Endpoint {
  return {
    id: instance.id,
    address: instance.address,
    rack: instance.rack,
    service: instance.service,
    slots: instance.slots ?? DEFAULT_SLOTS,
  };
}

function serialize(endpoints: readonly Endpoint[]): string {
  return JSON.stringify([...endpoints].sort((a, b) => a.id.localeCompare(b.id)));
}
