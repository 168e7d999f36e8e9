/**
 * How much work arrives, by priority.
 *
 * Load pattern: more work arrives for seconds on end than the endpoints can do. What waits behind
 * the newcomers then never gets its turn, however short the queue in front of it is now; only the
 * capacity that the newcomers leave drains it. Work counts from when its caller sent it: after a
 * change of dispatcher all that waits is handed over at once, and is no sudden rate.
 */

/** Time constant of the average. */
const WINDOW_MS = 800;

export interface ArrivalRates {
  /** Notes work that was sent at a moment up to now. */
  record(priority: number, work: number, sentMs: number, nowMs: number): void;
  /** Work per millisecond of priorities that go before the given one, or of all. */
  before(priority: number | undefined, nowMs: number): number;
}

interface Rate {
  perMs: number;
  atMs: number;
}

export function createArrivalRates(): ArrivalRates {
  const rates = new Map<number, Rate>();

  function decay(rate: Rate, nowMs: number): number {
    return rate.perMs * Math.exp((rate.atMs - nowMs) / WINDOW_MS);
  }

  return {
    record(priority, work, sentMs, nowMs) {
      const known = rates.get(priority) ?? { perMs: 0, atMs: nowMs };
      const added = decay({ perMs: work / WINDOW_MS, atMs: sentMs }, nowMs);
      rates.set(priority, { perMs: decay(known, nowMs) + added, atMs: nowMs });
    },
    before(priority, nowMs) {
      let sum = 0;
      for (const [other, rate] of rates) {
        if (priority === undefined || other < priority) sum += decay(rate, nowMs);
      }
      return sum;
    },
  };
}
