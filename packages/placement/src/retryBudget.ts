/** Bounds retries to a share of the starts, with a small reserve for quiet times. */
const RETRIES_FOR_A_START = 0.2;
const LARGEST_RESERVE = 200;

export interface RetryBudget {
  onStart(): void;
  /** Whether one more retry is allowed; counts it when it is. */
  tryRetry(): boolean;
}

export function createRetryBudget(): RetryBudget {
  let reserve = LARGEST_RESERVE;
  return {
    onStart() {
      reserve = Math.min(LARGEST_RESERVE, reserve + RETRIES_FOR_A_START);
    },
    tryRetry() {
      if (reserve < 1) return false;
      reserve -= 1;
      return true;
    },
  };
}
