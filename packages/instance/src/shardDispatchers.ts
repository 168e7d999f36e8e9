/**
 * The dispatchers of this instance: one for each shard that it leads, with the endpoints of that shard.
 */
import type { EndpointEntry, EndpointNetwork } from '@celerybarrow/endpoints';
import { createDispatcher, type Dispatcher } from '@celerybarrow/dispatch';
import { fenceOf, shardOfEndpoint, type Leadership } from '@celerybarrow/leadership';
import type { FleetMember } from '@celerybarrow/protocol';
import type { Random } from '@celerybarrow/shared';
import { createLogger, withContext, type Metrics } from '@celerybarrow/telemetry';
import type { ElapsedClock, TimerService } from '@celerybarrow/timer';

/** Interval for renewing the lease of this instance's own gateway; less than a third of the lease. */
const OWN_GATEWAY_RENEWAL_MS = 150;

export interface ShardDispatchersOptions {
  readonly self: FleetMember;
  readonly network: EndpointNetwork;
  readonly timer: TimerService;
  readonly clock: ElapsedClock;
  readonly random: Random;
  readonly metrics: Metrics;
  readonly shards: () => number;
  /** Returns all endpoints of the fleet. */
  readonly entries: () => readonly EndpointEntry[];
  /** Whether the endpoints were read from the store after the last start of a dispatcher here. */
  readonly areEntriesCurrent: () => boolean;
  /** Whether the dispatchers keep tasks apart that slow each other down. */
  readonly isInterferenceEnabled: boolean;
  readonly otherRackFactor: number | undefined;
  /** Called with a new dispatcher that has its listed endpoints. */
  readonly onStart: (dispatcher: Dispatcher, shard: number) => void;
  /** Called with each periodic review of a dispatcher. */
  readonly onReview: () => void;
  /** Returns the version of the departing endpoints of a shard that this instance knows. */
  readonly departuresVersion: (shard: number) => number;
}

export interface RunningDispatcher {
  readonly shard: number;
  readonly epoch: number;
  readonly dispatcher: Dispatcher;
}

export interface ShardDispatchers {
  /** Returns the running dispatcher of a shard. */
  get(shard: number): Dispatcher | undefined;
  all(): RunningDispatcher[];
  isEmpty(): boolean;
  /** Starts the dispatcher of a shard, unless it is running. */
  start(leadership: Leadership): void;
  stop(shard: number): void;
  stopAll(): void;
  /** Passes each dispatcher the endpoints of its shard. */
  updateEndpoints(entries: readonly EndpointEntry[]): void;
}

export function createShardDispatchers(options: ShardDispatchersOptions): ShardDispatchers {
  const { self, timer, clock, random, metrics } = options;
  const running = new Map<
    number,
    { dispatcher: Dispatcher; leadership: Leadership; stopRenewal: () => void }
  >();

  function entriesOf(shard: number, entries: readonly EndpointEntry[]): readonly EndpointEntry[] {
    const shards = options.shards();
    return entries.filter((entry) => shardOfEndpoint(entry.address, shards) === shard);
  }

  function start(leadership: Leadership): void {
    const { shard } = leadership;
    if (running.has(shard)) return;
    const dispatcher = createDispatcher({
      network: options.network,
      timer,
      clock,
      random,
      logger: withContext(createLogger('dispatch'), { shard }),
      metrics,
      fence: () => fenceOf(leadership.view() ?? { epoch: 0, round: 0, dispatcher: self }),
      instance: self.instance,
      onFenced: (endpoint) => {
        leadership.handleFenced(endpoint);
      },
      isInterferenceEnabled: options.isInterferenceEnabled,
      otherRackFactor: options.otherRackFactor,
      // In a round above 0 the store is unreachable, and the last list that the instances read from
      // it is the only one available.
      isListCurrent: () => options.areEntriesCurrent() || (leadership.view()?.round ?? 0) > 0,
      departuresVersion: () => options.departuresVersion(shard),
      onReview: options.onReview,
    });
    const stopRenewal = timer.onEvery(OWN_GATEWAY_RENEWAL_MS, () => {
      dispatcher.renewGatewayLease(self.instance);
    });
    running.set(shard, { dispatcher, leadership, stopRenewal });
    dispatcher.setEndpoints(entriesOf(shard, options.entries()));
    options.onStart(dispatcher, shard);
  }

  function stop(shard: number): void {
    const active = running.get(shard);
    if (active === undefined) return;
    running.delete(shard);
    active.stopRenewal();
    active.dispatcher.close();
  }

  return {
    get: (shard) => running.get(shard)?.dispatcher,
    all: () =>
      [...running].map(([shard, { dispatcher, leadership }]) => {
        return { shard, epoch: leadership.view()?.epoch ?? 0, dispatcher };
      }),
    isEmpty: () => running.size === 0,
    start,
    stop,
    stopAll() {
      for (const shard of [...running.keys()]) stop(shard);
    },
    updateEndpoints(entries) {
      for (const [shard, { dispatcher }] of running)
        dispatcher.setEndpoints(entriesOf(shard, entries));
    },
  };
}
