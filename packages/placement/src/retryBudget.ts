/**
 * Limits retries to a share of the started tasks. A small reserve allows retries while few tasks
 * start.
 */
const RETRIES_PER_START = 0.2;
const MAX_RESERVE = 200;

export interface RetryBudget {
  /** Records a started task, which adds to the budget. */
  onStart(): void;
  /** Whether another retry is allowed. Charges an allowed retry to the budget. */
  tryRetry(): boolean;
}

export function createRetryBudget(): RetryBudget {
  let reserve = MAX_RESERVE;
  return {
    onStart() {
      reserve = Math.min(MAX_RESERVE, reserve + RETRIES_PER_START);
    },
    tryRetry() {
      if (reserve < 1) return false;
      reserve -= 1;
      return true;
    },
  };
}
