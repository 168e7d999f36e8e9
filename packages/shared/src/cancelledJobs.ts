/**
 * Remembers which jobs were cancelled. A cancelled job can arrive again: its gateway hands it over
 * after a change of dispatcher, or its caller submits it again after the answer to the first
 * submission. It must not run then. Dispatchers remember the jobs, and so do gateways, for the next
 * dispatcher.
 */

/** Longer than a caller waits and submits a job again, also one that waits for longer than a job may take. */
const TTL_MS = 60_000;
const MAX_JOBS = 20_000;
/** Jobs that are returned together after a position. */
const MAX_RETURNED_JOBS = 1_000;

export interface CancelledJobs {
  record(job: string): void;
  has(job: string): boolean;
  /** Records that the job was open when it was cancelled, or arrived afterwards. */
  recordFound(job: string): void;
  wasFound(job: string): boolean;
  /** Returns the jobs, the oldest first. */
  all(): string[];
  /** Returns the first of the jobs that were recorded after a position; all are after position 0. */
  recordedAfter(position: number): RecordedJobs;
}

export interface RecordedJobs {
  readonly jobs: string[];
  /** The position after these jobs. */
  readonly position: number;
}

interface CancelledJob {
  readonly atMs: number;
  readonly position: number;
  wasFound: boolean;
}

export function createCancelledJobs(clock: { nowMs(): number }): CancelledJobs {
  /** The oldest first. */
  const cancelled = new Map<string, CancelledJob>();
  let lastPosition = 0;

  function find(job: string): CancelledJob | undefined {
    const found = cancelled.get(job);
    return found !== undefined && clock.nowMs() - found.atMs < TTL_MS ? found : undefined;
  }

  return {
    record(job) {
      const nowMs = clock.nowMs();
      const wasFound = find(job)?.wasFound ?? false;
      cancelled.delete(job);
      lastPosition += 1;
      cancelled.set(job, { atMs: nowMs, position: lastPosition, wasFound });
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
    recordedAfter(position) {
      // Heartbeats ask for them, and are far more frequent than cancellations.
      if (position === lastPosition) return { jobs: [], position };
      const later = [...cancelled]
        .filter(([job, record]) => record.position > position && find(job) !== undefined)
        .slice(0, MAX_RETURNED_JOBS);
      const jobs = later.map(([job]) => job);
      return { jobs, position: later.at(-1)?.[1].position ?? lastPosition };
    },
  };
}
