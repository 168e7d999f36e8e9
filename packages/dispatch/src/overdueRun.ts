/**
 * Straggler detection: decides from the reported progress whether to restart a run elsewhere, or to
 * end its job because it cannot meet its deadline.
 *
 * Fault pattern: tasks on an endpoint stall or run many times slower, while the endpoint answers
 * and reports itself healthy. A run that would miss its objective or deadline is stopped and
 * restarted if a fresh run on a healthy endpoint would meet that limit. A restart that does not
 * change the result for the caller would waste work and is not made.
 *
 * Load pattern: a few percent of the jobs take several times as long on every endpoint. Where a
 * service has such jobs, the probability that this is the cause decides on a restart; see
 * `runLengths.ts`. Elsewhere a run far behind its prediction counts as one on a slow endpoint.
 *
 * Load pattern: a task needs more time than its deadline allows on every endpoint. Its result is of
 * no use, and the runs of its job take capacity from other jobs until the deadline. The job ends
 * early once the progress shows that this run is too long and that a fresh run on the fastest
 * endpoint would be, too. That decision is final, so its progress rate is measured by the clock of
 * the endpoint: a delayed start order or report must not look like a slow run.
 */
import type { Listing } from '@celerybarrow/endpoints';

/** Time until the old run is known to have terminated. */
const RESTART_COST_MS = 60;
/** Safety factor on the expected time of a fresh run. */
const FRESH_MARGIN = 1.15;
/** A run is stalled when its progress is unchanged for this factor of the expected run time. */
const STALL_FACTOR = 0.6;
const MIN_STALL_MS = 150;
/** Minimum progress and time for a projection of the run time. */
const MIN_PROGRESS_PERCENT = 4;
const MIN_PROGRESS_MS = 100;
const MAX_RESTARTS = 2;
/**
 * Up to this factor on the expected time, the estimate is assumed to be wrong; above, the endpoint
 * slow.
 */
const MAX_ESTIMATE_ERROR_FACTOR = 2.5;
/** Least gain in the probability of a limit that justifies a restart; more for the objective. */
const MIN_DEADLINE_GAIN = 0.35;
const MIN_OBJECTIVE_GAIN = 0.5;
/** Spread of the time of a fresh run: tasks of a job differ by 0.15, learned speeds by 0.1. */
const FRESH_SPREAD = 0.18;
/** Loss in the probability of the deadline that a restart for the objective may cause. */
const MAX_LOSS = 0.05;
/** Standard deviation of the projected end: half a percent of progress, and the report's delay. */
const ROUNDING_PERCENT = 0.5;
const MIN_END_SPREAD_MS = 15;
/** Ratio of the scales of the logistic and the normal distribution. */
const LOGISTIC_SCALE = 1.7;

/** Progress of a run as reported by its endpoint. */
export interface ReportedProgress {
  readonly nowMs: number;
  readonly startedMs: number;
  readonly percent: number;
  /** When the progress last changed, and when it was last reported. */
  readonly percentAtMs: number;
  readonly seenMs: number;
  /** Expected run time on its endpoint. */
  readonly expectedMs: number;
}

/** Progress of a run, with the limits of its job. */
export interface RunProgress extends ReportedProgress {
  readonly objectiveMs: number;
  readonly deadlineMs: number;
  readonly restarts: number;
  /** The first and the latest report that listed the run. */
  readonly firstListing?: Listing | undefined;
  readonly newestListing?: Listing | undefined;
  /** Median factor of the job's other runs on their expected time; undefined if there are none. */
  readonly lengthFactor?: number | undefined;
  /**
   * Probability that its job is long, not its endpoint slow; undefined where the run is not slow or
   * the service has no long jobs.
   */
  readonly longChance?: number | undefined;
  /** Length of its job if that is the cause, relative to the prediction. */
  readonly length?: number | undefined;
  /** Share of the differences between the learned speeds that are not noise. */
  readonly speedTrust?: number | undefined;
  /** Share of the team's jobs that are as long as this run. */
  readonly longShare?: number | undefined;
}

/** Whether the run may be restarted and is expected to miss its objective or deadline. */
export function isOverdue(run: RunProgress): boolean {
  if (run.restarts >= MAX_RESTARTS) return false;
  return run.nowMs + remainingMs(run) > Math.min(run.objectiveMs, run.deadlineMs);
}

/**
 * Whether a fresh run would meet the objective or deadline that this run misses. `freshMs` is its
 * expected run time on an endpoint with free capacity.
 */
export function isWorthRestarting(run: RunProgress, freshMs: number): boolean {
  if (run.longChance !== undefined) return isLikelyWorthRestarting(run, run.longChance, freshMs);
  const endMs = run.nowMs + remainingMs(run);
  const freshEndMs = run.nowMs + correctedMs(run, freshMs) * FRESH_MARGIN + RESTART_COST_MS;
  const wouldMeet = (limitMs: number) => endMs > limitMs && freshEndMs <= limitMs;
  return wouldMeet(run.objectiveMs) || wouldMeet(run.deadlineMs);
}

/**
 * Whether a restart makes it clearly more likely that the task meets its objective or deadline, and
 * not less likely that it meets its deadline. A fresh run of a long job takes as long as this
 * one, and one on a sound endpoint the time that the other runs of the job show.
 */
function isLikelyWorthRestarting(run: RunProgress, longChance: number, freshMs: number): boolean {
  const startMs = run.nowMs + RESTART_COST_MS;
  const { length = 1, longShare = 0, speedTrust = 1 } = run;
  // The fastest of many endpoints seems faster than it is, so the difference counts in part.
  const expectedMs = Math.max(1, run.expectedMs);
  const longMs = length * expectedMs * (freshMs / expectedMs) ** speedTrust;
  const usualMs = correctedMs(run, freshMs);
  const freshChance = (runMs: number, limitMs: number) =>
    chanceBefore(startMs + runMs, limitMs, runMs * FRESH_SPREAD);
  const gain = (limitMs: number) =>
    longChance * freshChance(longMs, limitMs) +
    (1 - longChance) * (1 - longShare) * freshChance(usualMs, limitMs) -
    chanceToMeet(run, limitMs);
  const deadlineGain = gain(run.deadlineMs);
  if (deadlineGain >= MIN_DEADLINE_GAIN) return true;
  return gain(run.objectiveMs) >= MIN_OBJECTIVE_GAIN && deadlineGain >= -MAX_LOSS;
}

/** Returns the probability that the run meets a limit, with the rounding of its progress. */
function chanceToMeet(run: RunProgress, limitMs: number): number {
  const remaining = remainingMs(run);
  if (!Number.isFinite(remaining)) return 0;
  const spreadMs = Math.max(
    MIN_END_SPREAD_MS,
    (projectedRunMs(run) * ROUNDING_PERCENT) / Math.max(1, run.percent),
  );
  // The percentage is rounded down, so the run ends before the projected time on average.
  const endMs = run.nowMs + remaining - spreadMs;
  return chanceBefore(endMs, limitMs, spreadMs);
}

function chanceBefore(endMs: number, limitMs: number, spreadMs: number): number {
  return 1 / (1 + Math.exp((LOGISTIC_SCALE * (endMs - limitMs)) / Math.max(1, spreadMs)));
}

/**
 * Whether neither this run nor a fresh one can end before the deadline. `expectFastestMs` returns
 * the expected run time of a fresh run on the fastest endpoint.
 */
export function cannotMeetDeadline(run: RunProgress, expectFastestMs: () => number): boolean {
  if (!hasEnoughProgress(run) || earliestEndMs(run) <= run.deadlineMs) return false;
  // Without other runs to compare with, the cause may be a slow endpoint rather than a long task.
  const fastestMs = expectFastestMs();
  const freshMs = run.lengthFactor === undefined ? fastestMs : correctedMs(run, fastestMs);
  return run.nowMs + freshMs > run.deadlineMs;
}

/**
 * Returns the earliest end of the run at the rate between its first and latest report. The
 * percentage is rounded down, so the progress counts as if it was about to reach the next percent.
 */
function earliestEndMs({ firstListing: first, newestListing: newest }: RunProgress): number {
  if (first === undefined || newest === undefined) return -Infinity;
  const spanMs = newest.clockMs - first.clockMs;
  if (spanMs < MIN_PROGRESS_MS) return -Infinity;
  const msPerPercent = spanMs / (newest.percent - first.percent + 1);
  return newest.writtenMs + msPerPercent * (99 - newest.percent);
}

/**
 * Returns the expected time of a fresh run, scaled by the task length that the progress indicates.
 */
function correctedMs(run: RunProgress, freshMs: number): number {
  const factor = projectedRunMs(run) / Math.max(1, run.expectedMs);
  if (run.lengthFactor !== undefined) {
    return freshMs * Math.max(1, Math.min(factor, run.lengthFactor));
  }
  return freshMs * (factor <= MAX_ESTIMATE_ERROR_FACTOR ? Math.max(1, factor) : 1);
}

/** Returns the expected time of the whole run. */
function projectedRunMs(run: RunProgress): number {
  return run.nowMs - run.startedMs + remainingMs(run);
}

/**
 * Returns the run time projected from the progress; undefined while there is too little progress.
 */
export function extrapolatedRunMs(run: RunProgress): number | undefined {
  return hasEnoughProgress(run) ? projectedRunMs(run) : undefined;
}

/** Returns the expected time until the run ends; infinite if it is stalled. */
export function remainingMs(run: ReportedProgress): number {
  const elapsedMs = run.nowMs - run.startedMs;
  const unchangedMs = run.seenMs - run.percentAtMs;
  const isStalled = unchangedMs > Math.max(MIN_STALL_MS, STALL_FACTOR * run.expectedMs);
  if (isStalled && elapsedMs > run.expectedMs) return Infinity;
  if (hasEnoughProgress(run)) {
    return Math.max(0, ((run.percentAtMs - run.startedMs) * 100) / run.percent - elapsedMs);
  }
  return Math.max(0, run.expectedMs - elapsedMs);
}

function hasEnoughProgress({ percent, percentAtMs, startedMs }: ReportedProgress): boolean {
  return percent >= MIN_PROGRESS_PERCENT && percentAtMs - startedMs >= MIN_PROGRESS_MS;
}
