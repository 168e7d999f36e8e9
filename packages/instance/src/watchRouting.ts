/**
 * Keeps the configuration of an instance current. Each instance reads it from the store, and the
 * instances share it with each other as a document. The highest version is in force; an instance never
 * returns to a lower one.
 */
import { routingSchema, type Routing } from '@celerybarrow/entry';
import { createStoreContact, type ReplicatedDocuments } from '@celerybarrow/leadership';
import type { Random } from '@celerybarrow/shared';
import { followPrefix, type Entry, type Store } from '@celerybarrow/store';
import { createLogger, type Metrics } from '@celerybarrow/telemetry';
import type { ElapsedClock, TimerService } from '@celerybarrow/timer';
import { createFaultLog } from './faultLog.js';
import type { StoredSource } from './instance.js';
import { parseDocument } from './parseDocument.js';
import type { EvacuationWatcher } from './watchEvacuations.js';

const ROUTING_DOCUMENT = 'routing';
const FROM_STORE = 'store';

export interface RoutingWatcherOptions {
  readonly store: Store;
  readonly source: StoredSource<Routing>;
  readonly documents: ReplicatedDocuments;
  readonly timer: TimerService;
  readonly clock: ElapsedClock;
  readonly random: Random;
  readonly metrics: Metrics;
  readonly signal: AbortSignal;
  /**
   * Receives the entries of its wider prefix through the same watch, because each call to the store is
   * expensive.
   */
  readonly evacuations?: EvacuationWatcher | undefined;
}

/** The configuration that a routing decision was based on, and how fresh it is. */
export interface RoutingStatus {
  readonly version: number;
  /** Time since this version took effect on this instance. */
  readonly inForceForMs: number;
  /** Time since the store last answered a request for the configuration; undefined if it never did. */
  readonly storeSilentMs: number | undefined;
}

export interface RoutingWatcher {
  /** Returns undefined until a configuration is known. */
  routing(): Routing | undefined;
  status(): RoutingStatus | undefined;
  onRouting(subscriber: (routing: Routing) => void): void;
  /** Watches the store until the signal is aborted. */
  start(): void;
}

export function createRoutingWatcher(options: RoutingWatcherOptions): RoutingWatcher {
  const { store, source, documents, timer, clock, random, metrics, signal, evacuations } = options;
  const log = createLogger('configuration');
  const contact = createStoreContact(clock, log);
  const faultLog = createFaultLog(log, 'Configuration entry is malformed.');
  const subscribers = new Set<(routing: Routing) => void>();
  let routing: Routing | undefined;
  let inForceSinceMs = 0;

  function storeSilentMs(): number | undefined {
    const silentMs = clock.nowMs() - contact.lastAnswerMs();
    return Number.isFinite(silentMs) ? Math.round(silentMs) : undefined;
  }

  function apply(next: Routing, from: string): void {
    if (next.version <= (routing?.version ?? -1)) return;
    const earlier = routing?.version;
    routing = next;
    inForceSinceMs = clock.nowMs();
    metrics.increment(
      from === FROM_STORE ? 'configuration.from-store' : 'configuration.from-instance',
    );
    log.info('Configuration is in force.', {
      version: next.version,
      earlier,
      queues: next.queues.length,
      source: from,
      storeSilentMs: storeSilentMs(),
    });
    for (const subscriber of subscribers) subscriber(next);
  }

  documents.onDocument(ROUTING_DOCUMENT, ({ version, text }, from) => {
    const read = routingSchema.safeParse(parseDocument(text));
    if (read.success) apply(read.data, from);
    else log.warn('Configuration from another instance is malformed.', { version, source: from });
    return read.success;
  });

  function applyEntry(stored: Entry): void {
    const { value, faults } = source.read(stored);
    faultLog.record(stored.key, faults);
    if (value === undefined) return;
    const document = { version: value.version, text: JSON.stringify(value) };
    documents.offer(ROUTING_DOCUMENT, document, FROM_STORE);
  }

  return {
    routing: () => routing,
    status: () =>
      routing === undefined
        ? undefined
        : {
            version: routing.version,
            inForceForMs: Math.round(clock.nowMs() - inForceSinceMs),
            storeSilentMs: storeSilentMs(),
          },
    onRouting(subscriber) {
      subscribers.add(subscriber);
    },
    start() {
      void followPrefix({
        store,
        timer,
        random,
        prefix: evacuations?.prefix ?? source.prefix,
        onEntry: (stored) => {
          if (stored.key.startsWith(source.prefix)) applyEntry(stored);
          evacuations?.applyEntry(stored);
        },
        onRemoved: (key) => {
          evacuations?.applyRemoval(key);
        },
        onBatch: (revision) => {
          evacuations?.completeBatch(revision);
        },
        onContact: (isReachable) => {
          contact.record(isReachable);
          evacuations?.recordContact(isReachable);
        },
        signal,
      });
    },
  };
}
