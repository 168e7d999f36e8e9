/**
 * The view of a shard in the store: one key that is written only by compare-and-swap. The first writer
 * wins. Other instances receive the view through the store watch, or by reading the key.
 */
import type { TimerService } from '@celerybarrow/timer';
import type { FleetMember, View } from '@celerybarrow/protocol';
import type { Entry, Store } from '@celerybarrow/store';
import type { Logger } from '@celerybarrow/telemetry';
import type { Patience } from './patience.js';
import type { StoreContact } from './storeContact.js';
import { parseView } from './views.js';

/** Limit for a read of the store. It is short, because a takeover decision waits for it. */
const READ_TIMEOUT_MS = 300;

/** Returns the store key that names the dispatcher of a shard. */
export function dispatcherKey(shard: number): string {
  return `celerybarrow/dispatchers/${shard}`;
}

export interface StoredView {
  /** Returns the newest stored view read so far; undefined if none is stored or none was read. */
  view(): View | undefined;
  /** Applies an entry received through the store watch. */
  take(entry: Entry): void;
  /** Reads the key. Resolves to false if the store did not answer in time. */
  read(): Promise<boolean>;
  /**
   * Writes a new dispatcher with an epoch above the given one. Resolves to undefined if the write
   * failed.
   */
  name(dispatcher: FleetMember, aboveEpoch: number): Promise<View | undefined>;
}

export interface StoredViewOptions {
  readonly shard: number;
  readonly store: Store;
  readonly contact: StoreContact;
  readonly patience: Patience;
  readonly timer: TimerService;
  readonly logger: Logger;
  readonly signal: AbortSignal;
  /** Called with each view that is read or received. */
  readonly onView: (view: View) => void;
}

export function createStoredView(options: StoredViewOptions): StoredView {
  const { store, contact, patience, timer, logger, signal } = options;
  const key = dispatcherKey(options.shard);
  let stored: { readonly view: View | undefined; readonly revision: number } | undefined;

  function applyEntry(entry: Entry): void {
    if (stored !== undefined && entry.revision <= stored.revision) return;
    const view = parseView(entry.value);
    stored = { view, revision: entry.revision };
    if (view === undefined) logger.error('Entry of the dispatcher cannot be read.');
    else options.onView(view);
  }

  async function read(): Promise<boolean> {
    const answer = await Promise.race([
      store.get(key),
      timer.sleep(patience.extend(READ_TIMEOUT_MS), signal),
    ]);
    if (answer === undefined || answer.isErr) {
      contact.record(false);
      return false;
    }
    contact.record(true);
    if (answer.value === undefined) stored = { view: undefined, revision: 0 };
    else applyEntry(answer.value);
    return true;
  }

  async function writeDispatcher(
    dispatcher: FleetMember,
    aboveEpoch: number,
  ): Promise<View | undefined> {
    if (stored === undefined && !(await read())) return undefined;
    const epoch = Math.max(aboveEpoch, stored?.view?.epoch ?? 0) + 1;
    const view: View = { epoch, round: 0, dispatcher };
    const revision = stored?.revision ?? 0;
    const swapped = await store.compareAndSwap(key, revision, JSON.stringify(view));
    if (swapped.isErr) {
      logger.warn('Dispatcher could not be named.', { reason: swapped.error.message, epoch });
      await read();
      return undefined;
    }
    stored = { view, revision: swapped.value.revision };
    return view;
  }

  return { view: () => stored?.view, take: applyEntry, read, name: writeDispatcher };
}
