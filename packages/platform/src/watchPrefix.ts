/**
 * Follows all keys under a prefix with one waiting watch. After a failure it waits with jittered
 * backoff and goes on from the revision it had reached.
 */
import { spreadDelay, type Random } from '@celerybarrow/shared';
import type { TimerService } from '@celerybarrow/timer';
import type { Change, Entry, Platform } from './platform.js';

const FIRST_RETRY_MS = 200;
const LARGEST_RETRY_MS = 3_000;

export interface WatchOptions {
  readonly platform: Platform;
  readonly timer: TimerService;
  readonly random: Random;
  readonly prefix: string;
  readonly onEntry: (entry: Entry) => void;
  /** Told after each call whether the platform answered. */
  readonly onContact: (isReachable: boolean) => void;
  readonly signal: AbortSignal;
}

/** Runs until the signal is aborted. */
export async function watchPrefix(options: WatchOptions): Promise<void> {
  const { platform, timer, random, signal } = options;
  let revision = 0;
  let failures = 0;
  while (!signal.aborted) {
    const change = await platform.watch(options.prefix, revision, signal);
    if (signal.aborted) return;
    options.onContact(change.isOk);
    if (change.isErr) {
      failures += 1;
      const delay = Math.min(LARGEST_RETRY_MS, FIRST_RETRY_MS * 2 ** failures);
      await timer.sleep(spreadDelay(delay, random), signal);
      continue;
    }
    failures = 0;
    revision = apply(change.value, revision, options.onEntry);
  }
}

function apply(change: Change, revision: number, onEntry: (entry: Entry) => void): number {
  for (const entry of change.entries) onEntry(entry);
  // A platform restored from a backup counts from a lower revision; the watch starts over then.
  return change.revision < revision ? 0 : change.revision;
}
