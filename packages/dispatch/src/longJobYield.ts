/**
 * Ends long jobs when shorter jobs would be refused for want of room.
 *
 * Load pattern: more work arrives than there is room for, and a few percent of the jobs take several
 * times as long as the others. Each of them holds room for seconds, in which many jobs of usual length
 * could be served.
 *
 * A long job yields only to a job of its priority or a more urgent one, with far less work than it has
 * left, and not once it is half done. While nobody would be refused, long jobs run to their ends.
 */

/** Least ratio of the work that a yielding job has left to the work of the job that would be refused. */
const MIN_WORK_RATIO = 2;
/** Time in which the runs of a yielding job stop, and in which waiting jobs take their room. */
const ROOM_MS = 150;

/** A long job that holds room. Work is in thousandths of core-milliseconds, cores in thousandths. */
export interface LongJob<T> {
  readonly job: T;
  /** Lower values are dispatched first. */
  readonly priority: number;
  readonly workDone: number;
  readonly workLeft: number;
  /** Cores that its runs hold. */
  readonly cores: number;
}

/** What a job needs that would be refused, in the same units. */
export interface RefusedWork {
  readonly priority: number;
  readonly work: number;
  /** Cores that all its tasks take at a time. */
  readonly cores: number;
}

export interface LongJobYieldOptions<T> {
  readonly longJobs: () => Iterable<LongJob<T>>;
  readonly end: (job: T) => void;
}

export interface LongJobYield<T> {
  /**
   * Whether a job that would be refused is to wait, because long jobs make room for it. Ends such jobs
   * as needed. A job waits only once.
   */
  makesRoomFor(job: T, refused: RefusedWork, nowMs: number): boolean;
}

export function createLongJobYield<T extends object>({
  longJobs,
  end,
}: LongJobYieldOptions<T>): LongJobYield<T> {
  /** Until when a job waits for room. */
  const waitsUntilMs = new WeakMap<T, number>();
  /** Cores of ended jobs that no waiting job has been given yet. */
  let spareCores = 0;
  let spareUntilMs = -Infinity;

  return {
    makesRoomFor(job, refused, nowMs) {
      const untilMs = waitsUntilMs.get(job);
      if (untilMs !== undefined) return nowMs < untilMs;
      if (nowMs >= spareUntilMs) spareCores = 0;
      const missingCores = refused.cores - spareCores;
      const yielding = missingCores > 0 ? findYieldingJobs(longJobs(), refused, missingCores) : [];
      if (yielding === undefined) return false;
      for (const longJob of yielding) {
        end(longJob.job);
        spareCores += longJob.cores;
        spareUntilMs = nowMs + ROOM_MS;
      }
      spareCores -= refused.cores;
      waitsUntilMs.set(job, spareUntilMs);
      return true;
    },
  };
}

/**
 * Returns the long jobs that yield to a job which would be refused, those with the most work left first;
 * undefined if all of them together do not hold the cores that it misses.
 */
function findYieldingJobs<T>(
  longJobs: Iterable<LongJob<T>>,
  { priority, work }: RefusedWork,
  missingCores: number,
): readonly LongJob<T>[] | undefined {
  const candidates = [...longJobs]
    .filter((longJob) => longJob.priority >= priority)
    .filter(({ workDone, workLeft }) => workLeft >= Math.max(workDone, work * MIN_WORK_RATIO))
    .sort((a, b) => b.workLeft - a.workLeft);
  const yielding: LongJob<T>[] = [];
  let cores = 0;
  for (const candidate of candidates) {
    if (cores >= missingCores) break;
    yielding.push(candidate);
    cores += candidate.cores;
  }
  return cores >= missingCores ? yielding : undefined;
}
