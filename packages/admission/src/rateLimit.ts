/**
 * A token bucket that may run into debt: a job is admitted while tokens are left and then pays for
 * all its tasks, so that a large job is delayed by its size and never refused for it.
 */
export interface RateLimit {
  /** Takes tokens for a job; otherwise returns the milliseconds until the next may be admitted. */
  tryTake(tokens: number, nowMs: number): number;
  setRate(ratePerSecond: number, burst: number): void;
}

export function createRateLimit(ratePerSecond: number, burst: number): RateLimit {
  let rate = ratePerSecond;
  let largest = burst;
  let tokens = burst;
  let filledMs: number | undefined;

  function fill(nowMs: number): void {
    const sinceMs = nowMs - (filledMs ?? nowMs);
    filledMs = nowMs;
    tokens = Math.min(largest, tokens + (sinceMs * rate) / 1_000);
  }

  return {
    tryTake(wanted, nowMs) {
      fill(nowMs);
      if (tokens <= 0) return ((1 - tokens) / rate) * 1_000;
      tokens -= wanted;
      return 0;
    },
    setRate(nextRate, nextBurst) {
      rate = nextRate;
      largest = nextBurst;
    },
  };
}
