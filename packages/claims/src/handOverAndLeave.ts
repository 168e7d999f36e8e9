/**
 * Hands over all records and leaves the roster on a planned stop. A handover is valid only in its
 * own epoch, because a member that accepted records may have been lost since. When the epoch
 * changes before this instance has left, the records are handed over again.
 */
import type { Result } from 'true-myth';
import type { Handover } from './handover.js';

/**
 * Number of handovers to attempt. If roster changes invalidate all of them, this instance leaves
 * without a handover.
 */
const MAX_ATTEMPTS = 5;

export interface HandOverAndLeaveOptions {
  readonly handover: Handover;
  /** Timeout of one handover. */
  readonly withinMs: number;
  /**
   * Removes this instance from the roster if the epoch is still `handedOverEpoch`. If that is
   * undefined, removes it in any epoch. Resolves with whether this instance is no longer in the
   * roster.
   */
  readonly leave: (handedOverEpoch: number | undefined) => Promise<Result<boolean, unknown>>;
}

/** Resolves with whether the remaining members have accepted all records of this instance. */
export async function handOverAndLeave({
  handover,
  withinMs,
  leave,
}: HandOverAndLeaveOptions): Promise<boolean> {
  for (let attempt = 1; attempt <= MAX_ATTEMPTS; attempt += 1) {
    const handedOverEpoch = await handover.cede(withinMs);
    const leaveResult = await leave(handedOverEpoch);
    if (leaveResult.isErr || leaveResult.value) return handedOverEpoch !== undefined;
  }
  await leave(undefined);
  return false;
}
