/**
 * The order in which waiting jobs get room.
 *
 * Load pattern: more work than room for seconds on end, in jobs of several tasks that count only
 * when the last task has ended. First go jobs that can still meet their objective, by priority;
 * within a priority those that have started, then those with the least work left, so that started
 * jobs end whole; at last the older one. Jobs that are late already take what room is left.
 */

export interface OrderedJob {
  readonly priority: number;
  /** Whether it can still meet its objective if it gets room now. */
  readonly isInTime: boolean;
  readonly hasStarted: boolean;
  /** Core-milliseconds that have not started. */
  readonly workLeft: number;
  readonly arrivedMs: number;
}

export function compareJobs(a: OrderedJob, b: OrderedJob): number {
  if (a.isInTime !== b.isInTime) return a.isInTime ? -1 : 1;
  if (a.priority !== b.priority) return a.priority - b.priority;
  if (a.hasStarted !== b.hasStarted) return a.hasStarted ? -1 : 1;
  if (a.isInTime && a.workLeft !== b.workLeft) return a.workLeft - b.workLeft;
  return a.arrivedMs - b.arrivedMs;
}
