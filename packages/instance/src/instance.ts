/**
 * One instance of the fleet under leased dispatch. It is always a gateway for callers, and it is the
 * dispatcher of each shard that it leads. The names and formats of the platform reach it only through
 * the interfaces in the options.
 */
import { describeError, parseAddress, type Random } from '@celerybarrow/shared';
import { createElapsedClock, type TimerService } from '@celerybarrow/timer';
import {
  createPeerServer,
  createTraffic,
  JobStates,
  PROTOCOL_VERSION,
  type FleetMember,
} from '@celerybarrow/protocol';
import type { Entry as StoreEntry, Store } from '@celerybarrow/store';
import type { EndpointEntry, EndpointNetwork } from '@celerybarrow/endpoints';
import {
  createReplicatedDocuments,
  createFleetLeadership,
  type FleetLeadership,
  type Leadership,
} from '@celerybarrow/leadership';
import { createEntry, type Entry, type Routing } from '@celerybarrow/entry';
import { createLogger, type Metrics } from '@celerybarrow/telemetry';
import { applyEvacuations } from './applyEvacuations.js';
import { createShardChooser } from './chooseShard.js';
import { createEndpointWatcher } from './watchEndpoints.js';
import { createEvacuationWatcher } from './watchEvacuations.js';
import { createRoutingWatcher, type RoutingStatus } from './watchRouting.js';
import { createDepartureSharing } from './shareDepartures.js';
import { createPairSharing } from './sharePairs.js';
import { createShardDispatchers } from './shardDispatchers.js';
import { warmUp, type LoopbackEndpoints } from './warmUp.js';

/** How long a planned stop waits for open jobs before it continues without them. */
const DRAIN_LIMIT_MS = 4_000;
const DRAIN_POLL_MS = 50;

/** A key prefix of the store and the parser of the entries below it. */
export interface StoredSource<T> {
  readonly prefix: string;
  /** Parses an entry. Never throws. */
  read(entry: StoreEntry): ParsedEntry<T>;
}

export interface ParsedEntry<T> {
  /** Undefined if the entry is unusable. */
  readonly value?: T;
  /** Short descriptions of malformed parts. An entry with faults can still be usable. */
  readonly faults: readonly string[];
}

export interface InstanceOptions {
  readonly self: FleetMember;
  readonly store: Store;
  readonly network: EndpointNetwork;
  readonly routing: StoredSource<Routing>;
  readonly endpoints: StoredSource<EndpointEntry>;
  /**
   * The evacuated data centres. The prefix contains that of `routing`. If undefined, data centres are
   * not evacuated.
   */
  readonly evacuations?: StoredSource<string> | undefined;
  readonly timer: TimerService;
  readonly random: Random;
  readonly metrics: Metrics;
  /** Opens endpoints to warm up the dispatcher with. If undefined, there is no warm-up. */
  readonly openLoopback?: () => Promise<LoopbackEndpoints>;
  /**
   * Whether the dispatchers learn which tasks slow each other down, and keep them apart; off by
   * default.
   */
  readonly isInterferenceEnabled?: boolean;
  /** Factor on the run time outside the rack that holds the data of a task; 1.5 by default. */
  readonly otherRackFactor?: number | undefined;
}

export interface Instance {
  readonly entry: Entry;
  readonly leadership: FleetLeadership;
  /** Returns undefined until a configuration is known. */
  routing(): Routing | undefined;
  /** Returns the version and freshness of the configuration in force. */
  routingStatus(): RoutingStatus | undefined;
  onRouting(subscriber: (routing: Routing) => void): void;
  /** Whether jobs can be served now. */
  isReady(): boolean;
  start(): Promise<void>;
  /** Hands over the shards. Resolves when no job is open, or after the drain limit. */
  stop(): Promise<void>;
  /** Closes immediately without handover, like a crash. */
  close(): Promise<void>;
}

export function createInstance(options: InstanceOptions): Instance {
  const { self, store, timer, random, metrics, isInterferenceEnabled = false } = options;
  const closing = new AbortController();
  const clock = createElapsedClock(timer);
  const documents = createReplicatedDocuments(timer);
  const traffic = createTraffic();
  const log = createLogger('instance');
  const greeting = {
    version: PROTOCOL_VERSION,
    instance: self.instance,
    incarnation: self.incarnation,
    dataCentre: self.dataCentre,
  };
  const address = parseAddress(self.peer) ?? { host: '127.0.0.1', port: 0 };
  const server = createPeerServer({
    self: greeting,
    timer,
    traffic,
    onProtocolError: (fault, remote) => {
      log.warn('Closed a peer connection after a protocol error.', {
        remote,
        reason: fault.message,
      });
    },
  });
  let isStopping = false;

  const evacuations =
    options.evacuations &&
    createEvacuationWatcher({ source: options.evacuations, documents, clock, metrics });
  const routing = createRoutingWatcher({
    store,
    source: options.routing,
    documents,
    timer,
    clock,
    random,
    metrics,
    signal: closing.signal,
    evacuations,
  });
  const chooser = createShardChooser(timer);
  const endpoints = createEndpointWatcher({
    store,
    source: options.endpoints,
    documents,
    timer,
    clock,
    random,
    onEntries: updateEndpoints,
  });
  const dispatchers = createShardDispatchers({
    self,
    network: options.network,
    timer,
    clock,
    random,
    metrics,
    shards: () => leadership.shards().length,
    entries: usableEntries,
    areEntriesCurrent: endpoints.isCurrent,
    isInterferenceEnabled,
    otherRackFactor: options.otherRackFactor,
    onStart: (dispatcher, shard) => {
      pairSharing?.introduce(dispatcher);
      departures.introduce(shard, dispatcher);
    },
    onReview: () => {
      departures.check();
    },
    departuresVersion: (shard) => departures.version(shard),
  });
  const departures = createDepartureSharing({
    documents,
    clock: timer,
    logger: createLogger('departures'),
    dispatchers: dispatchers.all,
  });
  const pairSharing = isInterferenceEnabled
    ? createPairSharing({
        documents,
        timer,
        logger: createLogger('interference'),
        dispatchers: () => dispatchers.all().map(({ dispatcher }) => dispatcher),
      })
    : undefined;
  const leadership = createFleetLeadership({
    self,
    greeting,
    localHost: address.host,
    store,
    server,
    documents,
    timer,
    clock,
    random,
    traffic,
    logger: createLogger('leadership'),
    waiting: (shard) => dispatchers.get(shard)?.waiting() ?? {},
    onHeartbeat: (shard, { instance: gateway, incarnation }, sender) =>
      dispatchers.get(shard)?.renewGatewayLease(gateway, { incarnation, sender }),
    cancellationsAfter: (shard, position) =>
      dispatchers.get(shard)?.cancellationsAfter(position) ?? { jobs: [], position },
    onCancellations: (jobs) => {
      entry.learnCancelled(jobs);
    },
  });
  const entry = createEntry({
    instance: self.instance,
    shardOf: (job) => (leadership.shards().length === 0 ? undefined : chooser.choose(job)),
    earlierShardsOf: (job) => chooser.earlierShards(job),
    routes: () =>
      leadership.shards().map((shardLeadership) => ({
        leadership: shardLeadership,
        local: dispatchers.get(shardLeadership.shard),
        departuresVersion: departures.versionWithEndpoints(shardLeadership.shard),
      })),
    timer,
    clock,
    logger: createLogger('entry'),
  });

  /** Returns the endpoints with those marked on which nothing may start. */
  function usableEntries(): readonly EndpointEntry[] {
    const entries = endpoints.entries();
    return evacuations === undefined ? entries : applyEvacuations(entries, evacuations.evacuated());
  }

  function updateEndpoints(): void {
    const entries = usableEntries();
    chooser.updateEndpoints(entries, leadership.shards().length);
    dispatchers.updateEndpoints(entries);
  }

  evacuations?.onChange(() => {
    updateEndpoints();
    const entries = usableEntries();
    const evacuated = entries.filter((entry) => entry.isEvacuated === true).length;
    log.info('Evacuations are applied.', { endpoints: entries.length, evacuated });
  });

  function applyView(shardLeadership: Leadership): void {
    const isNewDispatcher =
      shardLeadership.isDispatching() && dispatchers.get(shardLeadership.shard) === undefined;
    const { shard } = shardLeadership;
    if (shardLeadership.isDispatching()) dispatchers.start(shardLeadership);
    else {
      entry.rememberCancelled(dispatchers.get(shard)?.cancelledJobs() ?? []);
      dispatchers.stop(shard);
    }
    void entry.repeatCancellations(shard);
    if (dispatchers.isEmpty()) endpoints.stop();
    else if (isNewDispatcher) endpoints.start();
    log.info(shardLeadership.isDispatching() ? 'Dispatches.' : 'Follows.', {
      shard,
      epoch: shardLeadership.view()?.epoch,
    });
  }

  leadership.onShards((shards) => {
    departures.subscribe(shards.length);
    chooser.updateEndpoints(usableEntries(), shards.length);
    startWarmUp();
    for (const shardLeadership of shards) {
      shardLeadership.onView(() => {
        applyView(shardLeadership);
      });
    }
  });

  async function start(): Promise<void> {
    server.onRequest('dispatch', ({ shard, ...submission }, { incarnation }) => {
      const moved = { state: JobStates.MOVED, reason: 'does not dispatch' };
      return dispatchers.get(shard)?.submit({ ...submission, incarnation }) ?? moved;
    });
    server.onRequest('withdraw', ({ shard, job, gateway }) => {
      const notHere = { found: false, isUncertain: true };
      return dispatchers.get(shard)?.withdraw(job, gateway) ?? notHere;
    });
    server.onRequest('cancellations', ({ shard, jobs }) => {
      const dispatcher = dispatchers.get(shard);
      for (const job of jobs) dispatcher?.withdraw(job);
      return { isRecorded: dispatcher !== undefined };
    });
    server.onRequest('limitJobs', ({ shard, gateway, remainingMs }) => {
      dispatchers.get(shard)?.limitJobs(gateway, remainingMs);
      return {};
    });
    server.onRequest('lookUp', ({ shard, job }) => ({
      isKnown: dispatchers.get(shard)?.isKnown(job) ?? true,
    }));
    await server.listen(address);
    leadership.start();
    routing.start();
    log.info('Started.', { peer: self.peer, dataCentre: self.dataCentre });
  }

  function startWarmUp(): void {
    if (options.openLoopback === undefined || !leadership.isLikelyToDispatch()) return;
    const isBusy = () => isStopping || (!dispatchers.isEmpty() && entry.openJobs() > 0);
    const { openLoopback } = options;
    warmUp({ openLoopback, timer, random, logger: log, isBusy }).catch((error: unknown) => {
      log.warn('Warm-up failed.', { reason: describeError(error) });
    });
  }

  async function stop(): Promise<void> {
    isStopping = true;
    const sinceMs = clock.nowMs();
    log.info('Stopping.', { openJobs: entry.openJobs() });
    await leadership.cede();
    while (entry.openJobs() > 0 && clock.nowMs() - sinceMs < DRAIN_LIMIT_MS) {
      await timer.sleep(DRAIN_POLL_MS);
    }
    log.info('Stopped.', {
      openJobs: entry.openJobs(),
      tookMs: Math.round(clock.nowMs() - sinceMs),
    });
  }

  return {
    entry,
    leadership,
    routing: routing.routing,
    routingStatus: routing.status,
    onRouting: routing.onRouting,
    isReady: () =>
      !isStopping &&
      routing.routing() !== undefined &&
      (evacuations === undefined || evacuations.evacuated() !== undefined) &&
      leadership.isComplete(),
    start,
    stop,
    async close() {
      isStopping = true;
      closing.abort();
      pairSharing?.stop();
      leadership.close();
      endpoints.stop();
      dispatchers.stopAll();
      await server.close();
    },
  };
}
