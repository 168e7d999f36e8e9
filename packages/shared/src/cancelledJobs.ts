/**
 * Remembers which jobs were cancelled. A cancelled job can arrive again: its gateway hands it over
 * after a change of dispatcher, or its caller submits it again after the answer to the first
 * submission. It must not run then. Dispatchers remember the jobs, and so do the gateways that have
 * acknowledged a cancellation, for the next dispatcher.
 */

/** Longer than a caller waits and submits a job again. */
const TTL_MS = 30_000;
const MAX_JOBS = 20_000;

export interface CancelledJobs {
  record(job: string): void;
  has(job: string): boolean;
  /** Records that the job was open when it was cancelled, or arrived afterwards. */
  recordFound(job: string): void;
  wasFound(job: string): boolean;
  /** Returns the jobs, the oldest first. */
  all(): string[];
}

interface CancelledJob {
  readonly atMs: number;
  wasFound: boolean;
}

export function createCancelledJobs(clock: { nowMs(): number }): CancelledJobs {
  /** The oldest first. */
  const cancelled = new Map<string, CancelledJob>();

  function find(job: string): CancelledJob | undefined {
    const found = cancelled.get(job);
    return found !== undefined && clock.nowMs() - found.atMs < TTL_MS ? found : undefined;
  }

  return {
    record(job) {
      const nowMs = clock.nowMs();
      const wasFound = find(job)?.wasFound ?? false;
      cancelled.delete(job);
      cancelled.set(job, { atMs: nowMs, wasFound });
      for (const [other, { atMs }] of cancelled) {
        if (nowMs - atMs < TTL_MS && cancelled.size <= MAX_JOBS) return;
        cancelled.delete(other);
      }
    },
    has: (job) => find(job) !== undefined,
    recordFound(job) {
      const found = find(job);
      if (found !== undefined) found.wasFound = true;
    },
    wasFound: (job) => find(job)?.wasFound ?? false,
    all: () => [...cancelled.keys()].filter((job) => find(job) !== undefined),
  };
}
