/**
 * A clock of the time since its creation, including time during which the machine was suspended.
 * The monotonic clock stops while a machine is suspended; the wall clock continues but can be
 * stepped. This clock advances by the larger of the two differences since the last reading, so it
 * never runs late. It can run early after a step of the wall clock.
 *
 * Use this clock for what expires in this process, such as its own lease and its own time limits:
 * stopping too early only costs time. Use the monotonic clock of the timer, which never runs early,
 * where the end of an interval is proof about another process: that its lease has expired, that it
 * no longer carries out an unanswered order, or that it has been without contact for too long.
 */
import type { TimerService } from './timerService.js';

export interface ElapsedClock {
  /** Milliseconds; comparable only within one process. */
  nowMs(): number;
}

/** Differences between the two clocks up to this size are drift or rounding. */
const MAX_CLOCK_DRIFT_MS = 50;

export function createElapsedClock(timer: TimerService): ElapsedClock {
  let monotonicMs = timer.nowMs();
  let wallMs = timer.wallMs();
  let elapsedMs = 0;

  function nowMs(): number {
    const monotonicStep = timer.nowMs() - monotonicMs;
    const wallStep = timer.wallMs() - wallMs;
    monotonicMs += monotonicStep;
    wallMs += wallStep;
    elapsedMs += wallStep > monotonicStep + MAX_CLOCK_DRIFT_MS ? wallStep : monotonicStep;
    return elapsedMs;
  }

  return { nowMs };
}
