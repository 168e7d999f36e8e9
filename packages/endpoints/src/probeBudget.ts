/**
 * Limits the stops that are sent to endpoints which do not answer.
 *
 * Load: a data centre fails while starts are under way, and many endpoints with unacknowledged starts
 * are probed at once. An endpoint that gets no probe is still polled.
 */
import type { MonotonicClock } from '@celerybarrow/timer';

const WINDOW_MS = 100;
/** 1,000 a second; a refused connection costs some 0.1 ms of processor time. */
const MAX_PROBES_PER_WINDOW = 100;

export interface ProbeBudget {
  /** Whether one more probe may be sent now; if so, counts it. */
  take(): boolean;
}

export function createProbeBudget(clock: MonotonicClock): ProbeBudget {
  let windowStartMs = -Infinity;
  let sent = 0;

  return {
    take() {
      const nowMs = clock.nowMs();
      if (nowMs - windowStartMs >= WINDOW_MS) {
        windowStartMs = nowMs;
        sent = 0;
      }
      if (sent >= MAX_PROBES_PER_WINDOW) return false;
      sent += 1;
      return true;
    },
  };
}
