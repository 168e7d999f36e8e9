/**
 * Keeps the evacuated data centres of an instance current. The keys arrive with the watch that reads
 * the configuration, and the instances share the list with each other as a document.
 *
 * Fault patterns:
 * - The store is unreachable, or refuses this instance: the newest list of the other instances holds,
 *   and the last known one if none arrives.
 * - The store restarts at a lower revision, so that its list seems older than the shared document. What
 *   an instance reads from the store itself is always in force there. It shares its list under a higher
 *   version if the document still differs after a further answer of the store. The answer before may
 *   have been sent before a change that another instance has read already.
 */
import type { ReplicatedDocuments } from '@celerybarrow/leadership';
import type { Entry } from '@celerybarrow/store';
import { createLogger, type Metrics } from '@celerybarrow/telemetry';
import type { ElapsedClock } from '@celerybarrow/timer';
import { createFaultLog } from './faultLog.js';
import type { StoredSource } from './instance.js';
import { parseDocument } from './parseDocument.js';

const EVACUATIONS_DOCUMENT = 'evacuations';
const FROM_STORE = 'store';
/** Far above the number of data centres of any fleet; bounds the memory and the shared document. */
const MAX_EVACUATIONS = 256;
const MAX_NAME_CHARACTERS = 200;
const MAX_LOGGED_NAMES = 8;

export interface EvacuationWatcherOptions {
  /** Reads the name of the data centre from an entry; no value and no fault for other entries. */
  readonly source: StoredSource<string>;
  readonly documents: ReplicatedDocuments;
  readonly clock: ElapsedClock;
  readonly metrics: Metrics;
}

export interface EvacuationWatcher {
  /** Prefix of the keys that the owner of the watch has to pass on. */
  readonly prefix: string;
  /** Returns the evacuated data centres; undefined until a list is known. */
  evacuated(): ReadonlySet<string> | undefined;
  onChange(subscriber: () => void): void;
  /** Records an entry; it takes effect at the end of its batch. */
  applyEntry(entry: Entry): void;
  applyRemoval(key: string): void;
  /** Applies the changes since the last batch. */
  completeBatch(revision: number): void;
  /** Records whether the store answered a call of the watch. */
  recordContact(isReachable: boolean): void;
}

interface EvacuationList {
  /** Sorted names as JSON. */
  readonly text: string;
  readonly dataCentres: ReadonlySet<string>;
}

export function createEvacuationWatcher(options: EvacuationWatcherOptions): EvacuationWatcher {
  const { source, documents, clock, metrics } = options;
  const log = createLogger('evacuation');
  const faultLog = createFaultLog(log, 'Evacuation entry is ignored.');
  const subscribers = new Set<() => void>();
  /** The evacuated data centre of each key in the store. */
  const byKey = new Map<string, string>();
  /** The list that was read from the store while the store answers. */
  let stored: EvacuationList | undefined;
  let shared: EvacuationList | undefined;
  let inForce: EvacuationList | undefined;
  /** Version of the shared document that differed from the store's list at the last batch. */
  let disputedVersion: number | undefined;
  let lastAnswerMs: number | undefined;

  function sharedVersion(): number {
    return documents.versions()[EVACUATIONS_DOCUMENT] ?? -1;
  }

  function share(list: EvacuationList, revision: number): void {
    const version = sharedVersion();
    if (list.text === shared?.text) {
      disputedVersion = undefined;
      return;
    }
    if (revision <= version && disputedVersion !== version) {
      disputedVersion = version;
      return;
    }
    disputedVersion = undefined;
    const document = { version: Math.max(revision, version + 1), text: list.text };
    documents.offer(EVACUATIONS_DOCUMENT, document, FROM_STORE);
  }

  function update(revision: number, from: string): void {
    const next = stored ?? shared;
    if (next === undefined || next.text === inForce?.text) return;
    const earlier = inForce?.dataCentres;
    inForce = next;
    metrics.increment(from === FROM_STORE ? 'evacuations.from-store' : 'evacuations.from-instance');
    log.info('Evacuated data centres have changed.', {
      evacuated: next.dataCentres.size,
      names: namesOf(next.dataCentres),
      ended: namesOf([...(earlier ?? [])].filter((name) => !next.dataCentres.has(name))),
      isFirst: earlier === undefined,
      revision,
      source: from,
      storeSilentMs:
        lastAnswerMs === undefined ? undefined : Math.round(clock.nowMs() - lastAnswerMs),
    });
    for (const subscriber of subscribers) subscriber();
  }

  documents.onDocument(EVACUATIONS_DOCUMENT, ({ version, text }, from) => {
    const names = readNames(parseDocument(text));
    if (names === undefined) {
      log.warn('Evacuations from another instance are malformed.', { version, source: from });
      return false;
    }
    shared = toList(names);
    if (from !== FROM_STORE) update(version, from);
    return true;
  });

  return {
    prefix: source.prefix,
    evacuated: () => inForce?.dataCentres,
    onChange(subscriber) {
      subscribers.add(subscriber);
    },
    applyEntry(entry) {
      const { value, faults } = source.read(entry);
      const isFull = byKey.size >= MAX_EVACUATIONS && !byKey.has(entry.key);
      const isKept = value !== undefined && !isFull;
      faultLog.record(entry.key, value !== undefined && isFull ? ['too many entries'] : faults);
      if (isKept) byKey.set(entry.key, value);
    },
    applyRemoval(key) {
      byKey.delete(key);
    },
    completeBatch(revision) {
      stored = toList(byKey.values());
      share(stored, revision);
      update(revision, FROM_STORE);
    },
    recordContact(isReachable) {
      if (isReachable) lastAnswerMs = clock.nowMs();
      else {
        stored = undefined;
        update(sharedVersion(), 'instances');
      }
    },
  };
}

function toList(names: Iterable<string>): EvacuationList {
  const dataCentres = new Set([...names].sort());
  return { text: JSON.stringify([...dataCentres]), dataCentres };
}

/** Returns the names of a shared document; undefined if it is malformed. */
function readNames(value: unknown): string[] | undefined {
  if (!Array.isArray(value) || value.length > MAX_EVACUATIONS) return undefined;
  return value.every(isName) ? value : undefined;
}

function isName(value: unknown): value is string {
  return typeof value === 'string' && value.length > 0 && value.length <= MAX_NAME_CHARACTERS;
}

function namesOf(names: Iterable<string>): string | undefined {
  const logged = [...names].slice(0, MAX_LOGGED_NAMES).join(' ');
  return logged === '' ? undefined : logged;
}
