/**
 * Timeouts of calls to the store. Connections can stall without a reset, so these timeouts determine
 * how soon an instance detects that it no longer receives changes.
 */

/** The store normally answers within milliseconds, and within a second when it is slow. */
export const CALL_TIMEOUT_MS = 1_000;
/** Time allowed for the answer to a watch after its wait has ended. */
const WATCH_GRACE_MS = 500;

/** Returns the timeout of a watch that waits for `waitMs`. */
export function watchTimeoutMs(waitMs: number): number {
  return Math.max(CALL_TIMEOUT_MS, waitMs + WATCH_GRACE_MS);
}
