/**
 * The order in which waiting jobs get capacity.
 *
 * Load pattern: for seconds there is more work than capacity, and a job of several tasks is served
 * only when its last task has ended.
 *
 * Jobs that can still meet their latency objective come first, ordered by priority. Within a
 * priority, started jobs come first so that they complete, then the jobs with the least remaining
 * work, then the oldest. Jobs that will miss their objective get the capacity that is left, unless they
 * have started: the rest of such a job comes before the jobs of lower priority, because without it the
 * work done for the job is wasted.
 */

export interface QueuedJob {
  readonly priority: number;
  /** Whether it can still meet its latency objective if it gets capacity now. */
  readonly canMeetObjective: boolean;
  readonly hasStarted: boolean;
  /** Core-milliseconds of the tasks that have not started, in thousandths. */
  readonly workLeft: number;
  readonly arrivedMs: number;
}

/** Compares two waiting jobs for sorting; the one that gets capacity first sorts first. */
export function compareJobs(a: QueuedJob, b: QueuedJob): number {
  const isLeftoverA = !a.canMeetObjective && !a.hasStarted;
  const isLeftoverB = !b.canMeetObjective && !b.hasStarted;
  if (isLeftoverA !== isLeftoverB) return isLeftoverA ? 1 : -1;
  if (a.priority !== b.priority) return a.priority - b.priority;
  if (a.canMeetObjective !== b.canMeetObjective) return a.canMeetObjective ? -1 : 1;
  if (a.hasStarted !== b.hasStarted) return a.hasStarted ? -1 : 1;
  if (a.canMeetObjective && a.workLeft !== b.workLeft) return a.workLeft - b.workLeft;
  return a.arrivedMs - b.arrivedMs;
}
