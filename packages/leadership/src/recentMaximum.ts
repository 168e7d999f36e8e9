/** The largest value recorded during the last few seconds. */
import type { MonotonicClock } from '@celerybarrow/timer';

/** Values count for one to two windows. */
const WINDOW_MS = 2_000;

export interface RecentMaximum {
  record(value: number): void;
  /** Returns 0 if no value was recorded recently. */
  value(): number;
}

export function createRecentMaximum(clock: MonotonicClock): RecentMaximum {
  let windowStartMs = clock.nowMs();
  let previousMaximum = 0;
  let currentMaximum = 0;

  function rotate(): void {
    const elapsedMs = clock.nowMs() - windowStartMs;
    if (elapsedMs < WINDOW_MS) return;
    previousMaximum = elapsedMs < 2 * WINDOW_MS ? currentMaximum : 0;
    currentMaximum = 0;
    windowStartMs = clock.nowMs();
  }

  return {
    record(value) {
      rotate();
      currentMaximum = Math.max(currentMaximum, value);
    },
    value() {
      rotate();
      return Math.max(previousMaximum, currentMaximum);
    },
  };
}
