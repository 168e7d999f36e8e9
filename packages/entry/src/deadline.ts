/**
 * Decides whether a job can still finish before its caller's deadline.
 *
 * After the loss of all instances, callers resubmit jobs with little time left while no dispatcher
 * is known yet. Keeping a job that cannot finish in time until its deadline serves nobody. It is
 * refused at once, and nothing has run.
 */
import type { LeasedJob } from '@celerybarrow/protocol';

/**
 * Share of its estimate that a task takes at least. Estimates are up to 1.6 times too long, and the
 * fastest endpoints take 0.6 of the usual time.
 */
const MIN_ESTIMATE_SHARE = 0.35;

/** Whether a job cannot finish within the remaining time, even on the fastest endpoints. */
export function isDeadlineUnreachable(job: LeasedJob, remainingMs: number): boolean {
  return remainingMs < shortestRunMs(job);
}

/** Returns the shortest time in which the tasks of a job can finish, by their estimates. */
function shortestRunMs({ steps }: LeasedJob): number {
  const longestMs = Math.max(0, ...steps.map((step) => step.estimateMs));
  return longestMs * MIN_ESTIMATE_SHARE;
}
