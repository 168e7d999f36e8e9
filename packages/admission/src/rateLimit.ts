/**
 * A token bucket with a balance that may become negative. A job is admitted if any tokens are left,
 * and is then charged for all its tasks. A job is therefore never refused because of its own size;
 * its cost delays the jobs after it.
 */
export interface RateLimit {
  /**
   * Returns the milliseconds until the next job may be admitted, or 0 if it may be admitted now.
   */
  waitMs(nowMs: number): number;
  /** Charges the tokens of an admitted job. */
  take(tokens: number): void;
  /** Changes the rate and the maximum balance. */
  setRate(ratePerSecond: number, burst: number): void;
}

export function createRateLimit(ratePerSecond: number, burst: number): RateLimit {
  let rate = ratePerSecond;
  let maxTokens = burst;
  let tokens = burst;
  let refilledMs: number | undefined;

  function refill(nowMs: number): void {
    const elapsedMs = nowMs - (refilledMs ?? nowMs);
    refilledMs = nowMs;
    tokens = Math.min(maxTokens, tokens + (elapsedMs * rate) / 1_000);
  }

  return {
    waitMs(nowMs) {
      refill(nowMs);
      return tokens > 0 ? 0 : ((1 - tokens) / rate) * 1_000;
    },
    take(cost) {
      tokens -= cost;
    },
    setRate(nextRate, nextBurst) {
      rate = nextRate;
      maxTokens = nextBurst;
    },
  };
}
