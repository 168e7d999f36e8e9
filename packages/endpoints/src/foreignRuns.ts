/** Runs on an endpoint that an earlier dispatcher started, and the ends that it had not read. */
import { RunEnds, taskKey, type RunEnd, type RunningTask, type TaskRef } from './leasedEndpoint.js';

/** How long an end of an earlier dispatcher's run can be claimed. */
const END_KEPT_MS = 2_000;

export interface ForeignRun {
  readonly task: TaskRef;
  readonly run: number;
  readonly firstSeenMs: number;
  percent: number;
  stoppedMs?: number;
}

export interface ForeignRuns {
  noteRunning(one: RunningTask, nowMs: number): Readonly<ForeignRun>;
  noteEnd(key: string, run: number, end: RunEnd, nowMs: number): void;
  /** Forgets the runs that are not listed any more; true if that changed anything. */
  retain(isListed: (key: string) => boolean): boolean;
  /** Runs that nobody claimed in time and for which no stop was sent lately. */
  unstopped(nowMs: number, retryMs: number, claimWindowMs: number): readonly ForeignRun[];
  /** Hands a run over, also one that is being stopped: the task may not start before it has ended. */
  take(key: string): ForeignRun | undefined;
  hasEndedDone(key: string): boolean;
  isEmpty(): boolean;
  /** Whether nothing is known of any run, ended ones included. */
  isBlank(): boolean;
  /** What is listed, claimable or being stopped. */
  all(): Iterable<Readonly<ForeignRun>>;
  size(): number;
  clear(): void;
}

export function createForeignRuns(): ForeignRuns {
  const running = new Map<string, ForeignRun>();
  const done = new Map<string, number>();

  function forgetOldEnds(nowMs: number): void {
    for (const [key, atMs] of done) if (nowMs - atMs > END_KEPT_MS) done.delete(key);
  }

  return {
    noteRunning(one, nowMs) {
      const key = taskKey(one.task);
      const known = running.get(key);
      if (known?.run === one.run) {
        known.percent = one.percent;
        return known;
      }
      const { task, run, percent } = one;
      const found = { task, run, percent, firstSeenMs: nowMs };
      running.set(key, found);
      return found;
    },
    noteEnd(key, run, end, nowMs) {
      if (running.get(key)?.run === run) running.delete(key);
      if (end === RunEnds.DONE) done.set(key, nowMs);
    },
    retain(isListed) {
      const before = running.size;
      for (const key of [...running.keys()]) if (!isListed(key)) running.delete(key);
      return running.size !== before;
    },
    unstopped(nowMs, retryMs, claimWindowMs) {
      forgetOldEnds(nowMs);
      const due = [...running.values()].filter(
        (one) =>
          nowMs - one.firstSeenMs >= claimWindowMs &&
          (one.stoppedMs === undefined || nowMs - one.stoppedMs >= retryMs),
      );
      for (const one of due) one.stoppedMs = nowMs;
      return due;
    },
    take(key) {
      const found = running.get(key);
      running.delete(key);
      return found;
    },
    hasEndedDone: (key) => done.has(key),
    isEmpty: () => running.size === 0,
    isBlank: () => running.size === 0 && done.size === 0,
    all: () => running.values(),
    size: () => running.size,
    clear() {
      running.clear();
      done.clear();
    },
  };
}
