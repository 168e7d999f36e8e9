/**
 * Detects that this process was stalled, so that input read now may be outdated.
 *
 * Fault pattern: a dispatcher that was frozen reads submissions that are seconds old when it
 * resumes. They contain durations instead of timestamps, so each looks new. Its gateway has closed
 * the connection meanwhile, and its caller may be served elsewhere.
 */
import type { ElapsedClock } from '@celerybarrow/timer';

/** Less than the 700 ms without contact after which a gateway resubmits an open job elsewhere. */
const STALL_THRESHOLD_MS = 500;
/** Time to read the input that arrived during a stall. */
const STALE_INPUT_MS = 100;

export interface StallDetector {
  /** Records that the process is running; has to be called at a short interval. */
  tick(): void;
  /** Whether the process resumed so recently that input may date from the stall. */
  wasStalled(): boolean;
}

export function createStallDetector(clock: ElapsedClock): StallDetector {
  let lastTickMs = clock.nowMs();
  let resumedMs = -Infinity;

  /**
   * Checks the time since the last call. Input may be read before timers fire, so `tick` and
   * `wasStalled` both call this.
   */
  function detectStall(nowMs: number): void {
    if (nowMs - lastTickMs > STALL_THRESHOLD_MS) resumedMs = nowMs;
    lastTickMs = nowMs;
  }

  return {
    tick() {
      detectStall(clock.nowMs());
    },
    wasStalled() {
      const nowMs = clock.nowMs();
      detectStall(nowMs);
      return nowMs - resumedMs < STALE_INPUT_MS;
    },
  };
}
