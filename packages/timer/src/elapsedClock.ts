/**
 * Time since the process started, also counting the time during which the machine was suspended.
 * The steady clock stands still while a machine is suspended; the wall clock goes on but may be
 * stepped. Whichever of the two moved further since the last reading is believed, so this clock
 * never runs late. It may run early after a step of the wall clock.
 *
 * Which clock measures a span depends on what its end allows. A span that ends a right, or the own
 * patience, is measured by this clock: a right that ends too early only costs time. A span that proves
 * that something is over (a lease given by another, an order without an answer, an instance that is
 * not heard) is measured by the steady clock of the timer, which never runs early.
 */
import type { TimerService } from './timerService.js';

export interface ElapsedClock {
  /** Milliseconds; comparable only within one process. */
  nowMs(): number;
}

/** A difference between the two clocks below this is drift or rounding. */
const DRIFT_MS = 50;

export function createElapsedClock(timer: TimerService): ElapsedClock {
  let steadyMs = timer.nowMs();
  let wallMs = timer.wallMs();
  let elapsedMs = 0;

  function nowMs(): number {
    const steadyStep = timer.nowMs() - steadyMs;
    const wallStep = timer.wallMs() - wallMs;
    steadyMs += steadyStep;
    wallMs += wallStep;
    elapsedMs += wallStep > steadyStep + DRIFT_MS ? wallStep : steadyStep;
    return elapsedMs;
  }

  return { nowMs };
}
