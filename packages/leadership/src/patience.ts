/**
 * How long this instance tolerates the silence of others before it suspects them.
 *
 * Load pattern: a full link or a busy processor, here or at a dispatcher, delays heartbeat replies.
 * Seen as the loss of the dispatcher, it causes a takeover, whose new connections and orders add to
 * the load, so that the next dispatcher is slower still. Time limits therefore grow with the delays
 * of this instance's own event loop, and double with each suspicion that turned out to be false.
 */
import type { MonotonicClock } from '@celerybarrow/timer';
import { createRecentMaximum } from './recentMaximum.js';

/** A longer delay is not load; this machine was suspended. */
const MAX_OWN_DELAY_MS = 1_000;
/** Time after which a false suspicion no longer counts. */
const FALSE_SUSPICION_RETENTION_MS = 12_000;
const MAX_DOUBLINGS = 3;

export interface Patience {
  /** Records by how much a callback of this process ran later than requested. */
  recordOwnDelay(delayMs: number): void;
  /** Records that a dispatcher replied after this instance had suspected it. */
  recordFalseSuspicion(): void;
  /** Extends a time limit for the silence of another process. */
  extend(limitMs: number): number;
}

export function createPatience(clock: MonotonicClock): Patience {
  const ownDelayMs = createRecentMaximum(clock);
  let falseSuspicionsMs: number[] = [];

  function countFalseSuspicions(): number {
    const nowMs = clock.nowMs();
    falseSuspicionsMs = falseSuspicionsMs.filter(
      (atMs) => nowMs - atMs < FALSE_SUSPICION_RETENTION_MS,
    );
    return falseSuspicionsMs.length;
  }

  return {
    recordOwnDelay(delayMs) {
      ownDelayMs.record(Math.min(delayMs, MAX_OWN_DELAY_MS));
    },
    recordFalseSuspicion() {
      falseSuspicionsMs.push(clock.nowMs());
    },
    extend: (limitMs) =>
      limitMs * 2 ** Math.min(countFalseSuspicions(), MAX_DOUBLINGS) + ownDelayMs.value(),
  };
}
