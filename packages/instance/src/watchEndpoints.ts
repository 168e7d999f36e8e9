/**
 * Keeps the list of endpoints current. Instances that dispatch read it from the store and share it
 * with the others as a document, so that a data centre that cannot reach the store knows its endpoints.
 */
import { createEndpointDirectory, type EndpointDirectory } from '@celerybarrow/dispatch';
import { endpointEntrySchema, type EndpointEntry } from '@celerybarrow/endpoints';
import { createStoreContact, type ReplicatedDocuments } from '@celerybarrow/leadership';
import type { SharedDocument } from '@celerybarrow/protocol';
import type { Random } from '@celerybarrow/shared';
import { followPrefix, type Store } from '@celerybarrow/store';
import { createLogger } from '@celerybarrow/telemetry';
import type { ElapsedClock, TimerService } from '@celerybarrow/timer';
import { createFaultLog } from './faultLog.js';
import type { StoredSource } from './instance.js';
import { parseDocument } from './parseDocument.js';

/** Pause between polls of the endpoint entries, which change with every heartbeat. */
const POLL_PAUSE_MS = 400;
/** Interval for marking and dropping entries that remain missing from the store. */
const EXPIRY_CHECK_INTERVAL_MS = 200;
/** Minimum time between two documents. Each one is sent in full to every instance. */
const DOCUMENT_INTERVAL_MS = 1_000;
const ENDPOINTS_DOCUMENT = 'endpoints';
const FROM_STORE = 'store';

export interface EndpointWatcherOptions {
  readonly store: Store;
  readonly source: StoredSource<EndpointEntry>;
  readonly documents: ReplicatedDocuments;
  readonly timer: TimerService;
  readonly clock: ElapsedClock;
  readonly random: Random;
  readonly onEntries: (entries: readonly EndpointEntry[]) => void;
}

export interface EndpointWatcher {
  entries(): readonly EndpointEntry[];
  /** Whether the full list was read from the store after the last call of start. */
  isCurrent(): boolean;
  /** Reads the full list from the store and watches it. */
  start(): void;
  stop(): void;
}

/** Orders entries by id, as the store lists them. */
function compareIds(a: EndpointEntry, b: EndpointEntry): number {
  return a.id < b.id ? -1 : Number(a.id > b.id);
}

export function createEndpointWatcher(options: EndpointWatcherOptions): EndpointWatcher {
  const { store, source, documents, timer, clock, random } = options;
  const log = createLogger('endpoints');
  const contact = createStoreContact(clock, log);
  const faultLog = createFaultLog(log, 'Endpoint entry is malformed.');
  const directory: EndpointDirectory = createEndpointDirectory(timer);
  let watchAbort: AbortController | undefined;
  let isCurrent = false;
  let publishedText = '';
  /** The state of the directory that `publishedText` shows. */
  let publishedChanges: number | undefined;
  let sharedText = '';
  let sharedAtMs = -Infinity;

  async function watchStore(signal: AbortSignal): Promise<void> {
    let lastRevision = 0;
    let isListComplete = false;
    const listedIds = new Set<string>();
    const idOf = (key: string) => key.slice(source.prefix.length);
    const stopExpiryChecks = timer.onEvery(EXPIRY_CHECK_INTERVAL_MS, () => {
      publish(lastRevision);
    });
    await followPrefix({
      store,
      timer,
      random,
      prefix: source.prefix,
      pauseMs: POLL_PAUSE_MS,
      onEntry: (stored) => {
        if (!isListComplete) listedIds.add(idOf(stored.key));
        const { value, faults } = source.read(stored);
        faultLog.record(stored.key, faults);
        directory.take(idOf(stored.key), value);
      },
      onRemoved: (key) => {
        directory.markRemoved(idOf(key));
      },
      onBatch: (revision) => {
        if (!isListComplete) removeUnlisted(listedIds);
        isListComplete = true;
        isCurrent = true;
        lastRevision = revision;
        publish(revision);
      },
      onContact: contact.record,
      signal,
    });
    stopExpiryChecks();
  }

  /**
   * Treats entries that another instance shared and the store does not list as removed. They may have
   * been deleted before the list was read.
   */
  function removeUnlisted(listedIds: ReadonlySet<string>): void {
    for (const { id } of directory.entries()) if (!listedIds.has(id)) directory.markRemoved(id);
  }

  function publish(revision: number): void {
    const changes = directory.changes();
    if (changes === publishedChanges) {
      shareDocument(revision);
      return;
    }
    publishedChanges = changes;
    const entries = directory.entries();
    // In one order for all instances, so that equal lists have equal digests.
    const text = JSON.stringify([...entries].sort(compareIds));
    if (text !== publishedText) {
      publishedText = text;
      options.onEntries(entries);
      const leaving = entries.filter((entry) => entry.isLeaving).length;
      log.info('Endpoints have changed.', { endpoints: entries.length, leaving, revision });
    }
    shareDocument(revision);
  }

  function shareDocument(revision: number): void {
    const nowMs = clock.nowMs();
    if (publishedText === sharedText || nowMs - sharedAtMs < DOCUMENT_INTERVAL_MS) return;
    sharedText = publishedText;
    sharedAtMs = nowMs;
    documents.offer(ENDPOINTS_DOCUMENT, { version: revision, text: publishedText }, FROM_STORE);
  }

  documents.onDocument(ENDPOINTS_DOCUMENT, takeDocument, () => watchAbort === undefined);

  function takeDocument({ text, version }: SharedDocument, from: string): boolean {
    const rows = parseDocument(text);
    if (!Array.isArray(rows)) {
      log.warn('Endpoint list from another instance is malformed.', {
        revision: version,
        source: from,
      });
      return false;
    }
    if (watchAbort !== undefined) return true;
    const entries = rows.flatMap((row) => endpointEntrySchema.safeParse(row).data ?? []);
    directory.replace(entries);
    options.onEntries(directory.entries());
    const malformed = rows.length - entries.length;
    log.info('Endpoint list received.', {
      endpoints: directory.entries().length,
      odd: malformed === 0 ? undefined : malformed,
      revision: version,
      source: from,
    });
    return true;
  }

  return {
    entries: () => directory.entries(),
    isCurrent: () => isCurrent,
    start() {
      watchAbort?.abort();
      watchAbort = new AbortController();
      isCurrent = false;
      publishedText = '';
      publishedChanges = undefined;
      void watchStore(watchAbort.signal);
    },
    stop() {
      watchAbort?.abort();
      watchAbort = undefined;
    },
  };
}
