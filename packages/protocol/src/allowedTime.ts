/**
 * Decides how long a job may take.
 *
 * Load pattern: the tasks of some jobs take several times as long as those of the others in their queue,
 * and the callers of these jobs state that they wait for longer. The timeout of the queue is one figure
 * for all of its jobs, so it applies only to callers that state nothing.
 */

export interface TimeLimits {
  /** How long the caller waits for its answer; undefined if it does not state it. */
  readonly callerWaitsMs: number | undefined;
  /** The timeout that the configuration gives all jobs of the queue. */
  readonly queueTimeoutMs: number;
}

/**
 * Longest time that a job may take by what its caller states, which bounds how long records of jobs are
 * kept. Tasks are sub-second ones, and the longest jobs take 10 s.
 */
export const MAX_ALLOWED_MS = 30_000;

/**
 * Returns the time in which a job has to end, from the arrival of its request. It exceeds
 * `MAX_ALLOWED_MS` only if the queue allows that.
 */
export function allowedTimeMs({ callerWaitsMs, queueTimeoutMs }: TimeLimits): number {
  return Math.min(callerWaitsMs ?? queueTimeoutMs, Math.max(queueTimeoutMs, MAX_ALLOWED_MS));
}
