/**
 * Documents that every instance needs even while it cannot reach the store: the configuration and
 * the list of endpoints. They are replicated with the heartbeats between gateways and dispatchers.
 * The higher version wins, so a running instance never returns to an older version.
 *
 * Load pattern: every dispatcher of a large fleet has a new list of endpoints at the same moment, and
 * would send the whole list to every gateway. A dispatcher therefore only announces versions. A
 * gateway fetches a document from one dispatcher at a time, skips a version whose text it already
 * has, and pauses after a long document, so that the documents never fill its link.
 *
 * The store may refuse the dispatcher while it serves the other instances. A dispatcher therefore
 * requests documents that a gateway has in a newer version. It requests each version from one gateway
 * at a time, because all gateways receive a change at the same moment.
 *
 * A document may concern one shard only. It is exchanged with the heartbeats of that shard alone, so
 * that a heartbeat does not grow with the number of shards.
 */
import { createHash } from 'node:crypto';
import type { Announcement, SharedDocument } from '@celerybarrow/protocol';
import type { MonotonicClock } from '@celerybarrow/timer';

/** Time after which a requested document that has not arrived is requested from another instance. */
const REQUEST_RETRY_MS = 200;
/** Time after which a fetch that has neither succeeded nor failed is repeated at another instance. */
const FETCH_RETRY_MS = 1_000;
/** Upper bound of the average rate at which an instance fetches versions of one document. */
const MAX_CHARACTERS_PER_MS = 100;
const DIGEST_CHARACTERS = 16;
const SHARD_SEPARATOR = '/';

/**
 * Receives a document and its source: `store`, or the name of an instance. Returns whether the
 * document is valid.
 */
export type DocumentSubscriber = (document: SharedDocument, source: string) => boolean;

export interface ReplicatedDocuments {
  /** Stores a document if it is newer than the current one of that name and every subscriber accepts it. */
  offer(name: string, document: SharedDocument, source: string): void;
  /** Returns the version of each document by name, without those that concern only another shard. */
  versions(shard?: number): Record<string, number>;
  /**
   * Returns the documents that are newer than the given versions, or absent from them, without those
   * that concern only another shard.
   */
  newerThan(
    versions: Readonly<Record<string, number>>,
    shard?: number,
  ): Record<string, SharedDocument>;
  /** Returns the same documents as `newerThan` without their texts. */
  announce(
    versions: Readonly<Record<string, number>>,
    shard?: number,
  ): Record<string, Announcement>;
  /**
   * Returns the names of the announced documents to fetch now, and marks them as requested. Adopts the
   * version of a document whose text is already here.
   */
  toFetch(announcements: Readonly<Record<string, Announcement>>): string[];
  /** Ends a fetch. After a failed one, the documents may be fetched elsewhere at once. */
  endFetch(names: readonly string[], isSuccessful: boolean): void;
  /**
   * Returns the names that are wanted here and whose given version is newer than the local one, and
   * marks them as requested. Skips a name if the same or a newer version was requested less than
   * `REQUEST_RETRY_MS` ago.
   */
  missing(versions: Readonly<Record<string, number>>): string[];
  /** Returns the documents with the given names. */
  select(names: readonly string[]): Record<string, SharedDocument>;
  /**
   * Registers a subscriber. While `isWanted` returns false, the document is neither fetched nor
   * requested from other instances; it is always wanted by default.
   */
  onDocument(name: string, subscriber: DocumentSubscriber, isWanted?: () => boolean): void;
}

interface Subscription {
  readonly subscriber: DocumentSubscriber;
  readonly isWanted: () => boolean;
}

interface StoredDocument extends SharedDocument {
  readonly digest: string;
}

/** The latest request for a document. */
interface DocumentRequest {
  readonly version: number;
  readonly requestedMs: number;
}

export function createReplicatedDocuments(clock: MonotonicClock): ReplicatedDocuments {
  const documents = new Map<string, StoredDocument>();
  const subscriptions = new Map<string, Subscription[]>();
  const requests = new Map<string, DocumentRequest>();
  /** When a fetch of the document may begin; while one is in progress, when it may be repeated. */
  const nextFetchMs = new Map<string, number>();
  /** The last rejected text by name. Heartbeats offer it repeatedly, so it is remembered. */
  const rejectedTexts = new Map<string, string>();

  function filterDocuments<T>(
    isIncluded: (name: string, version: number) => boolean,
    map: (document: StoredDocument) => T,
  ): Record<string, T> {
    return Object.fromEntries(
      [...documents]
        .filter(([name, { version }]) => isIncluded(name, version))
        .map(([name, document]) => [name, map(document)]),
    );
  }

  function isWanted(name: string): boolean {
    return subscriptions.get(name)?.some((subscription) => subscription.isWanted()) === true;
  }

  function isNewer(name: string, version: number): boolean {
    return version > (documents.get(name)?.version ?? -1);
  }

  function wasRecentlyRequested(name: string, version: number): boolean {
    const last = requests.get(name);
    if (last === undefined || last.version < version) return false;
    return clock.nowMs() - last.requestedMs < REQUEST_RETRY_MS;
  }

  /** Adopts an announced version if its text is the one that is already here. */
  function adoptVersion(name: string, { version, digest }: Announcement): boolean {
    const current = documents.get(name);
    if (current?.digest !== digest) return false;
    documents.set(name, { ...current, version });
    return true;
  }

  return {
    offer(name, document, source) {
      const { version, text } = document;
      if (!isNewer(name, version)) return;
      if (rejectedTexts.get(name) === text) return;
      const isAccepted = (subscriptions.get(name) ?? []).every(({ subscriber }) =>
        subscriber(document, source),
      );
      if (isAccepted) documents.set(name, { version, text, digest: digestOf(text) });
      else rejectedTexts.set(name, text);
    },
    versions: (shard) =>
      filterDocuments(
        (name) => concernsShard(name, shard),
        ({ version }) => version,
      ),
    newerThan: (versions, shard) =>
      filterDocuments(
        (name, version) => version > (versions[name] ?? -1) && concernsShard(name, shard),
        toSharedDocument,
      ),
    announce: (versions, shard) =>
      filterDocuments(
        (name, version) => version > (versions[name] ?? -1) && concernsShard(name, shard),
        ({ version, digest }) => ({ version, digest }),
      ),
    toFetch(announcements) {
      const nowMs = clock.nowMs();
      const names = Object.entries(announcements)
        .filter(([name, { version }]) => isNewer(name, version) && isWanted(name))
        .filter(([name, announcement]) => !adoptVersion(name, announcement))
        .map(([name]) => name)
        .filter((name) => nowMs >= (nextFetchMs.get(name) ?? -Infinity));
      for (const name of names) nextFetchMs.set(name, nowMs + FETCH_RETRY_MS);
      return names;
    },
    endFetch(names, isSuccessful) {
      for (const name of names) {
        const characters = isSuccessful ? (documents.get(name)?.text.length ?? 0) : 0;
        nextFetchMs.set(name, clock.nowMs() + characters / MAX_CHARACTERS_PER_MS);
      }
    },
    missing(versions) {
      const newer = Object.entries(versions)
        .filter(([name, version]) => isNewer(name, version))
        .filter(([name, version]) => isWanted(name) && !wasRecentlyRequested(name, version));
      for (const [name, version] of newer)
        requests.set(name, { version, requestedMs: clock.nowMs() });
      return newer.map(([name]) => name);
    },
    select: (names) => filterDocuments((name) => names.includes(name), toSharedDocument),
    onDocument(name, subscriber, isWantedHere = () => true) {
      const subscription = { subscriber, isWanted: isWantedHere };
      subscriptions.set(name, [...(subscriptions.get(name) ?? []), subscription]);
    },
  };
}

/** Returns the name of a document that concerns only one shard. */
export function shardDocumentName(name: string, shard: number): string {
  return `${name}${SHARD_SEPARATOR}${shard}`;
}

function concernsShard(name: string, shard: number | undefined): boolean {
  const separatorAt = name.indexOf(SHARD_SEPARATOR);
  if (separatorAt < 0 || shard === undefined) return true;
  return name.slice(separatorAt + SHARD_SEPARATOR.length) === String(shard);
}

function toSharedDocument({ version, text }: StoredDocument): SharedDocument {
  return { version, text };
}

function digestOf(text: string): string {
  return createHash('sha1').update(text).digest('hex').slice(0, DIGEST_CHARACTERS);
}
