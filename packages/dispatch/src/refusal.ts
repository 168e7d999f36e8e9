/**
 * Load shedding: decides whether to refuse a job, when it arrives and in each planning pass until
 * one of its tasks has started.
 *
 * Load pattern: more work arrives than the endpoints can process, and an unbounded queue would make
 * every job miss its deadline. A job that is expected to end after its deadline is refused at once,
 * with a retry time after which the queue ahead of it has drained. A job that could start now is
 * never refused.
 *
 * Load pattern: callers wait for several seconds. A queue that is as long as they wait would serve most
 * jobs late, and lets work of less use hold the endpoints. A job is refused as well if it is expected
 * to wait for longer than the timeout of its queue.
 */
import type { Random } from '@celerybarrow/shared';

/**
 * Share of the time to the deadline that an expected end may use; the rest covers estimate errors.
 */
const USABLE_DEADLINE_SHARE = 0.95;
const MIN_RETRY_MS = 1_000;
/** Spreads the retries of refused callers over this share of the drain time to avoid a burst. */
const RETRY_SPREAD = 0.5;

/** Expected wait and run time of a job that waits for capacity. */
export interface CompletionEstimate {
  /** Expected wait until the work ahead of it in the queue has drained. */
  readonly waitMs: number;
  /** Expected run time of its critical path on the fastest endpoint. */
  readonly runMs: number;
  /** Lower bound of its makespan: the time its work takes on all endpoints together. */
  readonly makespanMs: number;
}

export interface WaitingJob extends CompletionEstimate {
  readonly nowMs: number;
  readonly deadlineMs: number;
  readonly arrivedMs: number;
  /** Longest expected wait for its start with which it is not refused. */
  readonly maxWaitMs: number;
  /** Whether there is free capacity for it now. */
  readonly hasFreeCapacity: boolean;
}

/** Whether the job is expected to wait too long or to end too late, and has to be refused. */
export function isRefused(job: WaitingJob): boolean {
  if (job.hasFreeCapacity) return false;
  const { nowMs, arrivedMs, deadlineMs, waitMs, maxWaitMs } = job;
  const usableMs = (deadlineMs - arrivedMs) * USABLE_DEADLINE_SHARE;
  return waitMs > maxWaitMs || nowMs + expectedEndInMs(job) > arrivedMs + usableMs;
}

/**
 * Returns the expected time until the job ends. The wait already includes all work ahead of the job
 * and the expected arrivals of higher priority. The job's own work is not added to the wait,
 * because it does not have to drain through the capacity that those arrivals leave. The result is
 * at least `makespanMs`, because the pool cannot finish the job in less time.
 */
export function expectedEndInMs({ waitMs, runMs, makespanMs }: CompletionEstimate): number {
  return Math.max(waitMs + runMs, makespanMs);
}

/** Returns the time after which a refused job would find the queue drained, with jitter. */
export function retryAfterMs(drainMs: number, random: Random): number {
  return Math.max(MIN_RETRY_MS, drainMs) * (1 + RETRY_SPREAD * random.next());
}
