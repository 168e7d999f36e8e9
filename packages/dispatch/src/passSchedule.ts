/**
 * Runs at most one placement pass in a turn of the event loop.
 *
 * Load pattern: the processor of the dispatcher is the bottleneck, so that a turn takes longer than the
 * review interval. Each turn then has a review and a pass for its other events. Both would plan all
 * waiting jobs, the second time with nothing new but what the first one has started.
 */

/** What calls for a pass. */
export const PassCauses = {
  /** Jobs or capacity may have changed. Such a pass is of no use without free capacity. */
  CHANGE: 'change',
  /** Waiting jobs are checked, also without free capacity, and refused if they would be late. */
  REVIEW: 'review',
} as const;
export type PassCause = (typeof PassCauses)[keyof typeof PassCauses];

export interface PassSchedule {
  /** Has a pass run after the events of this turn. */
  request(cause: PassCause): void;
  close(): void;
}

/** Creates a schedule that calls `runPass` with `REVIEW` if one of the requests of a turn is for that. */
export function createPassSchedule(runPass: (cause: PassCause) => void): PassSchedule {
  let due: PassCause | undefined;
  let isClosed = false;

  function runDuePass(): void {
    const cause = due;
    due = undefined;
    if (!isClosed && cause !== undefined) runPass(cause);
  }

  return {
    request(cause) {
      if (isClosed) return;
      if (due === undefined) setImmediate(runDuePass);
      if (due !== PassCauses.REVIEW) due = cause;
    },
    close() {
      isClosed = true;
    },
  };
}
