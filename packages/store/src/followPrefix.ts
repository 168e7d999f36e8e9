/**
 * Follows all keys under a prefix: lists them once, then keeps one waiting watch. After a failure it
 * waits with jittered backoff and goes on from the revision it had reached; when the store has
 * forgotten the changes since then, or counts from a lower revision, it lists again.
 */
import { ErrorCodes, spreadDelay, type Random } from '@celerybarrow/shared';
import type { TimerService } from '@celerybarrow/timer';
import type { Change, Entry, Store } from './store.js';
import type { StoreError } from './storeError.js';

const FIRST_RETRY_MS = 100;
const LARGEST_RETRY_MS = 800;

export interface FollowOptions {
  readonly store: Store;
  readonly timer: TimerService;
  readonly random: Random;
  readonly prefix: string;
  readonly onEntry: (entry: Entry) => void;
  readonly onRemoved?: (key: string) => void;
  /** Told after each batch of changes, the first list included, with the revision reached. */
  readonly onBatch?: (revision: number) => void;
  /** Told after each call whether the store answered. */
  readonly onContact: (isReachable: boolean) => void;
  /** Pause before each watch, for prefixes that change all the time; none by default. */
  readonly pauseMs?: number;
  readonly signal: AbortSignal;
}

/** Runs until the signal is aborted. */
export async function followPrefix(options: FollowOptions): Promise<void> {
  const { store, timer, random, prefix, signal } = options;
  const known = new Set<string>();
  let revision: number | undefined;
  let failures = 0;
  while (!signal.aborted) {
    const isList = revision === undefined;
    const change =
      revision === undefined
        ? await store.list(prefix, { isStaleAllowed: false })
        : await store.watch(prefix, revision, signal);
    if (signal.aborted) return;
    options.onContact(change.isOk || isHistoryLost(change.error));
    if (change.isErr) {
      if (isHistoryLost(change.error)) revision = undefined;
      failures += 1;
      const delayMs = Math.min(LARGEST_RETRY_MS, FIRST_RETRY_MS * 2 ** failures);
      await timer.sleep(spreadDelay(delayMs, random), signal);
      continue;
    }
    failures = 0;
    if (isList) removeMissing(change.value);
    apply(change.value);
    // A platform restored from a backup counts from a lower revision; the list starts over then.
    revision = change.value.revision < (revision ?? 0) ? undefined : change.value.revision;
    if (options.pauseMs !== undefined) await timer.sleep(options.pauseMs, signal);
  }

  function removeMissing({ entries }: Change): void {
    const listed = new Set(entries.map((entry) => entry.key));
    for (const key of [...known]) if (!listed.has(key)) remove(key);
  }

  function apply(change: Change): void {
    for (const entry of change.entries) {
      known.add(entry.key);
      options.onEntry(entry);
    }
    for (const key of change.removed) remove(key);
    options.onBatch?.(change.revision);
  }

  function remove(key: string): void {
    known.delete(key);
    options.onRemoved?.(key);
  }
}

function isHistoryLost(error: StoreError): boolean {
  return error.code === ErrorCodes.PLATFORM_HISTORY_LOST;
}
