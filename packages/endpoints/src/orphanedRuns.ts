/**
 * Tracks the orphaned runs on one endpoint, and the ends that the earlier dispatcher had not read.
 */
import { RunEnds, taskKey, type RunEnd, type RunningTask, type TaskRef } from './leasedEndpoint.js';

/** How long a job can claim the end of an orphaned run. */
const END_RETENTION_MS = 2_000;

/**
 * A run that an earlier dispatcher started, or one whose end this controller had inferred before a
 * report listed it again.
 */
export interface OrphanedRun {
  readonly task: TaskRef;
  readonly run: number;
  readonly firstSeenMs: number;
  /**
   * Whether this dispatcher sent its start, and the run counted as ended. No job is resubmitted to
   * claim it, so it is stopped at once.
   */
  readonly isLate: boolean;
  percent: number;
  stopSentMs?: number;
}

export interface OrphanedRuns {
  recordRunning(listed: RunningTask, nowMs: number, isLate: boolean): Readonly<OrphanedRun>;
  recordEnd(key: string, run: number, end: RunEnd, nowMs: number): void;
  /** Drops the runs that are no longer listed. Returns whether there were any. */
  retain(isListed: (key: string) => boolean): boolean;
  /**
   * Returns the late runs, and the runs that no job claimed within `claimWindowMs`, that were sent no
   * stop within `retryMs`, and records that a stop is sent to them now.
   */
  dueForStop(nowMs: number, retryMs: number, claimWindowMs: number): readonly OrphanedRun[];
  /**
   * Removes a run and returns it to the job that claims it. A run that is being stopped is returned
   * as well, because its task must not start again before that run has ended.
   */
  take(key: string): OrphanedRun | undefined;
  hasSucceeded(key: string): boolean;
  isEmpty(): boolean;
  /** Whether no run is recorded, neither a running nor an ended one. */
  hasNoRecords(): boolean;
  /** Returns the listed runs, claimable or being stopped. */
  all(): Iterable<Readonly<OrphanedRun>>;
  size(): number;
  clear(): void;
}

export function createOrphanedRuns(): OrphanedRuns {
  const running = new Map<string, OrphanedRun>();
  const doneAtMs = new Map<string, number>();

  function removeExpiredEnds(nowMs: number): void {
    for (const [key, atMs] of doneAtMs) if (nowMs - atMs > END_RETENTION_MS) doneAtMs.delete(key);
  }

  return {
    recordRunning(listed, nowMs, isLate) {
      const key = taskKey(listed.task);
      const known = running.get(key);
      if (known?.run === listed.run) {
        known.percent = listed.percent;
        return known;
      }
      const { task, run, percent } = listed;
      const orphan = { task, run, percent, firstSeenMs: nowMs, isLate };
      running.set(key, orphan);
      return orphan;
    },
    recordEnd(key, run, end, nowMs) {
      if (running.get(key)?.run === run) running.delete(key);
      if (end === RunEnds.DONE) doneAtMs.set(key, nowMs);
    },
    retain(isListed) {
      const before = running.size;
      for (const key of [...running.keys()]) if (!isListed(key)) running.delete(key);
      return running.size !== before;
    },
    dueForStop(nowMs, retryMs, claimWindowMs) {
      removeExpiredEnds(nowMs);
      const due = [...running.values()].filter(
        (orphan) =>
          (orphan.isLate || nowMs - orphan.firstSeenMs >= claimWindowMs) &&
          (orphan.stopSentMs === undefined || nowMs - orphan.stopSentMs >= retryMs),
      );
      for (const orphan of due) orphan.stopSentMs = nowMs;
      return due;
    },
    take(key) {
      const orphan = running.get(key);
      running.delete(key);
      return orphan;
    },
    hasSucceeded: (key) => doneAtMs.has(key),
    isEmpty: () => running.size === 0,
    hasNoRecords: () => running.size === 0 && doneAtMs.size === 0,
    all: () => running.values(),
    size: () => running.size,
    clear() {
      running.clear();
      doneAtMs.clear();
    },
  };
}
