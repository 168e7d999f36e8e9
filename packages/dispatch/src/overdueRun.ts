/**
 * Whether a run is taken back to be started elsewhere.
 *
 * Fault pattern: an endpoint on which tasks stand still or run many times slower, while it answers
 * and looks healthy. Progress tells: a run whose progress would need far longer than a fresh run on
 * a sound endpoint is stopped, provided that the fresh one can still end in the caller's time.
 */

/** A run is overdue when it needs this many times the time of a fresh run. */
const WORTH_MOVING = 1.6;
/** Time for the proof that the old run has stopped. */
const MOVE_COST_MS = 60;
/** Silence of the progress, in expected run times, after which a run stands still. */
const STILL_RUNS = 0.6;
const SHORTEST_STILL_MS = 150;
/** Progress and time below which its rate says too little. */
const TELLING_PERCENT = 4;
const TELLING_MS = 100;
const MAX_MOVES = 2;

export interface RunProgress {
  readonly nowMs: number;
  readonly startedMs: number;
  readonly percent: number;
  readonly percentAtMs: number;
  /** Expected run time where it runs, and on the best endpoint that is free now. */
  readonly expectedMs: number;
  readonly freshMs: number;
  readonly deadlineMs: number;
  readonly moves: number;
}

export function isOverdue(run: RunProgress): boolean {
  if (run.moves >= MAX_MOVES) return false;
  const freshEndMs = run.freshMs + MOVE_COST_MS;
  if (run.nowMs + freshEndMs > run.deadlineMs) return false;
  return remainingMs(run) > WORTH_MOVING * freshEndMs;
}

/** Expected time until the run ends. */
export function remainingMs(run: RunProgress): number {
  const elapsedMs = run.nowMs - run.startedMs;
  const stillMs = run.nowMs - run.percentAtMs;
  const standsStill = stillMs > Math.max(SHORTEST_STILL_MS, STILL_RUNS * run.expectedMs);
  if (standsStill && elapsedMs > run.expectedMs) return Infinity;
  const untilPercentMs = run.percentAtMs - run.startedMs;
  if (run.percent >= TELLING_PERCENT && untilPercentMs >= TELLING_MS) {
    return Math.max(0, (untilPercentMs * 100) / run.percent - elapsedMs);
  }
  return Math.max(run.expectedMs - elapsedMs, elapsedMs - run.expectedMs);
}
