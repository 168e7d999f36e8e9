/**
 * Shares the endpoints of each shard that get no new tasks but may still run some, so that the next
 * dispatcher asks them for runs although no list of endpoints has them any more.
 *
 * The document of a shard is written by its dispatcher and replicated with the heartbeats of that
 * shard. It exists once an endpoint with runs has left, and is written again only when an endpoint is
 * added or has become empty.
 */
import {
  coversDepartures,
  describeDepartures,
  FIRST_ANNOUNCEMENT_MS,
  type Dispatcher,
} from '@celerybarrow/dispatch';
import { departingEndpointSchema, type DepartingEndpoint } from '@celerybarrow/endpoints';
import { shardDocumentName, type ReplicatedDocuments } from '@celerybarrow/leadership';
import type { Logger } from '@celerybarrow/telemetry';
import type { MonotonicClock } from '@celerybarrow/timer';
import { parseDocument } from './parseDocument.js';

/** Least interval between two checks. */
const CHECK_INTERVAL_MS = 50;
/** Versions of one epoch; an epoch changes long before it has that many. */
const VERSIONS_PER_EPOCH = 65_536;
const OWN_SOURCE = 'dispatcher';

/** What the exchange needs of a dispatcher. */
export type DepartureSource = Pick<Dispatcher, 'departures' | 'inherit'>;

/** A dispatcher that runs on this instance. */
export interface RunningSource {
  readonly shard: number;
  readonly epoch: number;
  readonly dispatcher: DepartureSource;
}

export interface DepartureSharingOptions {
  readonly documents: ReplicatedDocuments;
  readonly clock: MonotonicClock;
  readonly logger: Logger;
  readonly dispatchers: () => readonly RunningSource[];
}

export interface DepartureSharing {
  /** Receives the documents of these shards. */
  subscribe(shards: number): void;
  /** Passes the known departures to a dispatcher that begins. */
  introduce(shard: number, dispatcher: DepartureSource): void;
  /** Returns the version of the document of a shard, 0 if there is none. */
  version(shard: number): number;
  /** Returns the same version if the document names endpoints, undefined otherwise. */
  versionWithEndpoints(shard: number): number | undefined;
  /**
   * Shares what has changed. Dispatchers call it with their reviews, which spares every instance a timer
   * of its own.
   */
  check(): void;
}

export function createDepartureSharing(options: DepartureSharingOptions): DepartureSharing {
  const { documents, clock, logger } = options;
  const known = new Map<number, readonly DepartingEndpoint[]>();
  const startedAtMs = new WeakMap<DepartureSource, number>();
  let checkedAtMs = -Infinity;

  function subscribe(shards: number): void {
    for (let shard = 0; shard < shards; shard += 1) {
      documents.onDocument(nameOf(shard), ({ text, version }, source) => {
        if (source === OWN_SOURCE) return true;
        const rows = parseDocument(text);
        if (!Array.isArray(rows)) {
          logger.warn('Departing endpoints from another instance are malformed.', {
            shard,
            version,
            source,
          });
          return false;
        }
        const departures = rows.flatMap((row) => departingEndpointSchema.safeParse(row).data ?? []);
        known.set(shard, departures);
        inherit(shard, departures);
        return true;
      });
    }
  }

  function inherit(shard: number, departures: readonly DepartingEndpoint[]): void {
    if (departures.length === 0) return;
    for (const running of options.dispatchers())
      if (running.shard === shard) running.dispatcher.inherit(departures);
  }

  function offer({ shard, epoch, dispatcher }: RunningSource): void {
    if (clock.nowMs() - (startedAtMs.get(dispatcher) ?? -Infinity) < FIRST_ANNOUNCEMENT_MS) return;
    const departures = dispatcher.departures();
    const shared = known.get(shard) ?? [];
    if (departures.length === shared.length && coversDepartures(shared, departures)) return;
    const version = Math.max(versionOf(shard) + 1, epoch * VERSIONS_PER_EPOCH);
    known.set(shard, departures);
    documents.offer(nameOf(shard), { version, text: JSON.stringify(departures) }, OWN_SOURCE);
    logger.info('Departing endpoints are shared.', {
      shard,
      version,
      ...describeDepartures(departures),
    });
  }

  function versionOf(shard: number): number {
    return documents.versions(shard)[nameOf(shard)] ?? 0;
  }

  return {
    subscribe,
    introduce(shard, dispatcher) {
      startedAtMs.set(dispatcher, clock.nowMs());
      const departures = known.get(shard) ?? [];
      if (departures.length > 0) dispatcher.inherit(departures);
    },
    version: versionOf,
    versionWithEndpoints: (shard) =>
      (known.get(shard) ?? []).length === 0 ? undefined : versionOf(shard),
    check() {
      const nowMs = clock.nowMs();
      if (nowMs - checkedAtMs < CHECK_INTERVAL_MS) return;
      checkedAtMs = nowMs;
      for (const running of options.dispatchers()) offer(running);
    },
  };
}

function nameOf(shard: number): string {
  return shardDocumentName('departures', shard);
}
