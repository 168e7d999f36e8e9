/**
 * One instance of the fleet under leased dispatch: a gateway for callers, always; the dispatcher of
 * the fleet, when leadership falls to it. The platform's names and formats reach it only through the
 * interfaces in the options.
 */
import { describeError, parseAddress, type Random } from '@celerybarrow/shared';
import { createElapsedClock, type TimerService } from '@celerybarrow/timer';
import {
  createPeerServer,
  createTraffic,
  PROTOCOL_VERSION,
  type FleetMember,
  type View,
} from '@celerybarrow/protocol';
import { followPrefix, type Entry as StoreEntry, type Store } from '@celerybarrow/store';
import type { EndpointEntry, EndpointNetwork } from '@celerybarrow/endpoints';
import { createDispatcher, createEndpointDirectory, type Dispatcher } from '@celerybarrow/dispatch';
import {
  createDocuments,
  createLeadership,
  fenceOf,
  type Leadership,
} from '@celerybarrow/leadership';
import { createEntry, type Entry, type Routing } from '@celerybarrow/entry';
import { createLogger, type Metrics } from '@celerybarrow/telemetry';

import { warmUp, type LoopbackEndpoints } from './warmUp.js';

/** Pause between looks at the endpoints' entries, which change with every heartbeat. */
const DIRECTORY_PAUSE_MS = 400;
/** Interval at which the own gateway's right is renewed; below a third of the lease. */
const OWN_PULSE_MS = 150;
/** Interval at which entries that stay missing are given up. */
const DIRECTORY_REVIEW_MS = 500;
/** How long open jobs may take to end before a planned stop goes on without them. */
const DRAIN_LIMIT_MS = 4_000;
const DRAIN_LOOK_MS = 50;
const ROUTING_DOCUMENT = 'routing';
const ENDPOINTS_DOCUMENT = 'endpoints';

/** Where the store keeps something, and how an entry is read; undefined for one that cannot be. */
export interface StoredSource<T> {
  readonly prefix: string;
  read(entry: StoreEntry): T | undefined;
}

export interface InstanceOptions {
  readonly self: FleetMember;
  readonly store: Store;
  readonly network: EndpointNetwork;
  readonly routing: StoredSource<Routing>;
  readonly endpoints: StoredSource<EndpointEntry>;
  readonly timer: TimerService;
  readonly random: Random;
  readonly metrics: Metrics;
  /** Opens endpoints against which the dispatcher is warmed up; it is not without them. */
  readonly openLoopback?: () => Promise<LoopbackEndpoints>;
}

export interface Instance {
  readonly entry: Entry;
  readonly leadership: Leadership;
  /** Undefined until a configuration is known. */
  routing(): Routing | undefined;
  onRouting(subscriber: (routing: Routing) => void): void;
  /** Whether jobs can be served now. */
  isReady(): boolean;
  start(): Promise<void>;
  /** Hands over, and resolves when no job is open or the limit has passed. */
  stop(): Promise<void>;
  /** Ends at once and hands over nothing, as a crash would. */
  close(): Promise<void>;
}

export function createInstance(options: InstanceOptions): Instance {
  const { self, store, timer, random, metrics } = options;
  const closing = new AbortController();
  const clock = createElapsedClock(timer);
  const documents = createDocuments();
  const directory = createEndpointDirectory(clock);
  const traffic = createTraffic();
  const log = createLogger('instance');
  const greeting = {
    version: PROTOCOL_VERSION,
    instance: self.instance,
    incarnation: self.incarnation,
    dataCentre: self.dataCentre,
  };
  const address = parseAddress(self.peer) ?? { host: '127.0.0.1', port: 0 };
  const server = createPeerServer({ self: greeting, timer, traffic });
  const routingSubscribers = new Set<(routing: Routing) => void>();
  let routing: Routing | undefined;
  let dispatcher: Dispatcher | undefined;
  let directoryFollowing: AbortController | undefined;
  let stopOwnPulse: (() => void) | undefined;
  let listedText = '';
  let isStopping = false;

  const leadership = createLeadership({
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
    waiting: () => dispatcher?.waiting() ?? {},
    onPulse: (gateway) => dispatcher?.noteGateway(gateway),
  });
  const entry = createEntry({
    instance: self.instance,
    leadership,
    local: () => dispatcher,
    timer,
    clock,
    logger: createLogger('entry'),
  });

  function takeView(view: View): void {
    if (leadership.isDispatching()) startDispatching();
    else stopDispatching();
    log.info(leadership.isDispatching() ? 'Dispatches.' : 'Follows.', { epoch: view.epoch });
  }

  function startDispatching(): void {
    if (dispatcher !== undefined) return;
    dispatcher = createDispatcher({
      network: options.network,
      timer,
      clock,
      random,
      logger: createLogger('dispatch'),
      metrics,
      fence: () => fenceOf(leadership.view() ?? { epoch: 0, round: 0, dispatcher: self }),
      onFenced: () => {
        leadership.noteFenced();
      },
    });
    dispatcher.follow(directory.entries());
    stopOwnPulse = timer.onEvery(OWN_PULSE_MS, () => dispatcher?.noteGateway(self.instance));
    directoryFollowing = new AbortController();
    void followDirectory(directoryFollowing.signal);
  }

  function stopDispatching(): void {
    stopOwnPulse?.();
    directoryFollowing?.abort();
    directoryFollowing = undefined;
    dispatcher?.close();
    dispatcher = undefined;
  }

  async function followDirectory(signal: AbortSignal): Promise<void> {
    const { prefix } = options.endpoints;
    const idOf = (key: string) => key.slice(prefix.length);
    let reached = 0;
    const stopReviews = timer.onEvery(DIRECTORY_REVIEW_MS, () => {
      publishDirectory(reached);
    });
    await followPrefix({
      store,
      timer,
      random,
      prefix,
      pauseMs: DIRECTORY_PAUSE_MS,
      onEntry: (one) => {
        directory.take(idOf(one.key), options.endpoints.read(one));
      },
      onRemoved: (key) => {
        directory.takeRemoval(idOf(key));
      },
      onBatch: (revision) => {
        reached = revision;
        publishDirectory(revision);
      },
      onContact: () => undefined,
      signal,
    });
    stopReviews();
  }

  function publishDirectory(revision: number): void {
    const entries = directory.entries();
    const text = JSON.stringify(entries);
    if (text === listedText) return;
    listedText = text;
    dispatcher?.follow(entries);
    log.info('Endpoints have changed.', {
      endpoints: entries.length,
      leaving: entries.filter((one) => one.isLeaving).length,
      revision,
    });
    documents.offer(ENDPOINTS_DOCUMENT, { version: revision, text });
  }

  function takeRouting(next: Routing): void {
    if (next.version <= (routing?.version ?? -1)) return;
    routing = next;
    log.info('Configuration is in force.', { version: next.version, queues: next.queues.length });
    for (const subscriber of routingSubscribers) subscriber(next);
  }

  documents.onDocument(ROUTING_DOCUMENT, ({ text }) => {
    takeRouting(JSON.parse(text) as Routing);
  });
  documents.onDocument(ENDPOINTS_DOCUMENT, ({ text }) => {
    if (leadership.isDispatching()) return;
    directory.replace(JSON.parse(text) as EndpointEntry[]);
  });
  leadership.onView(takeView);

  async function start(): Promise<void> {
    server.onRequest('dispatch', (ask) =>
      dispatcher === undefined
        ? { state: 'moved', reason: 'does not dispatch' }
        : dispatcher.submit(ask),
    );
    server.onRequest('withdraw', ({ job, gateway }) => ({
      found: dispatcher?.withdraw(job, gateway) ?? false,
    }));
    await server.listen(address);
    leadership.start();
    void followPrefix({
      store,
      timer,
      random,
      prefix: options.routing.prefix,
      onEntry: (one) => {
        const read = options.routing.read(one);
        if (read === undefined) log.warn('Configuration cannot be read.', { key: one.key });
        else
          documents.offer(ROUTING_DOCUMENT, { version: read.version, text: JSON.stringify(read) });
      },
      onContact: () => undefined,
      signal: closing.signal,
    });
    log.info('Started.', { peer: self.peer, dataCentre: self.dataCentre });
    startWarmUp();
  }

  function startWarmUp(): void {
    if (options.openLoopback === undefined) return;
    const isBusy = () => isStopping || (dispatcher !== undefined && entry.openJobs() > 0);
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
      await timer.sleep(DRAIN_LOOK_MS);
    }
    log.info('Stopped.', {
      openJobs: entry.openJobs(),
      tookMs: Math.round(clock.nowMs() - sinceMs),
    });
  }

  return {
    entry,
    leadership,
    routing: () => routing,
    onRouting(subscriber) {
      routingSubscribers.add(subscriber);
    },
    isReady: () => !isStopping && routing !== undefined && leadership.view() !== undefined,
    start,
    stop,
    async close() {
      isStopping = true;
      closing.abort();
      leadership.close();
      stopDispatching();
      await server.close();
    },
  };
}
