/**
 * Shares the endpoints of each shard that get no new tasks but may still run some, so that the next
 * dispatcher asks them for runs although no list of endpoints has them any more.
 *
 * The document of a shard is written by its dispatcher and replicated with the heartbeats of that
 * shard. It exists once an endpoint with runs has left, and is written again only when an endpoint is
 * added or has become empty.
 *
 * Load pattern: all endpoints join when a large fleet starts, so that each dispatcher shares a long
 * list several times a second with every instance. Instances read the rows only once they dispatch,
 * and endpoints are dropped from the document less often than they are added.
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
/** Least interval between two documents of which the second one only drops endpoints or jobs. */
const REDUCTION_INTERVAL_MS = 1_000;
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

interface KnownDepartures {
  readonly rows: readonly unknown[];
  departures?: readonly DepartingEndpoint[];
}

export function createDepartureSharing(options: DepartureSharingOptions): DepartureSharing {
  const { documents, clock, logger } = options;
  /** The rows of the newest document by shard, and the endpoints that they describe once they are read. */
  const known = new Map<number, KnownDepartures>();
  const offeredAtMs = new Map<number, number>();
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
        known.set(shard, { rows });
        inherit(shard);
        return true;
      });
    }
  }

  function inherit(shard: number): void {
    for (const running of options.dispatchers()) {
      if (running.shard !== shard) continue;
      const departures = knownDepartures(shard);
      if (departures.length > 0) running.dispatcher.inherit(departures);
    }
  }

  function knownDepartures(shard: number): readonly DepartingEndpoint[] {
    const document = known.get(shard);
    if (document === undefined) return [];
    document.departures ??= document.rows.flatMap(
      (row) => departingEndpointSchema.safeParse(row).data ?? [],
    );
    return document.departures;
  }

  function offer({ shard, epoch, dispatcher }: RunningSource): void {
    const nowMs = clock.nowMs();
    if (nowMs - (startedAtMs.get(dispatcher) ?? -Infinity) < FIRST_ANNOUNCEMENT_MS) return;
    const departures = dispatcher.departures();
    const shared = knownDepartures(shard);
    if (coversDepartures(shared, departures)) {
      if (departures.length === shared.length) return;
      if (nowMs - (offeredAtMs.get(shard) ?? -Infinity) < REDUCTION_INTERVAL_MS) return;
    }
    const version = Math.max(versionOf(shard) + 1, epoch * VERSIONS_PER_EPOCH);
    offeredAtMs.set(shard, nowMs);
    known.set(shard, { rows: departures, departures });
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
      const departures = knownDepartures(shard);
      if (departures.length > 0) dispatcher.inherit(departures);
    },
    version: versionOf,
    versionWithEndpoints: (shard) =>
      (known.get(shard)?.rows ?? []).length === 0 ? undefined : versionOf(shard),
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
