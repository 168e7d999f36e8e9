/**
 * Logs and counts changes of the fencing token of a running dispatcher.
 *
 * Fault pattern: another dispatcher had a higher token for a while, and may have started tasks of jobs
 * that still wait here. The new token frees their endpoints, so the line tells how many jobs wait.
 */
import type { Logger, Metrics } from '@celerybarrow/telemetry';
import type { JobRecord } from './jobRecord.js';
import type { EarlierToken } from './tokenChanges.js';

export interface FenceChange {
  readonly earlier: EarlierToken;
  readonly fence: number;
  readonly nowMs: number;
}

export interface FenceLogOptions {
  /** Name of this instance; the jobs of other gateways are counted if it is given. */
  readonly instance?: string | undefined;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/** Logs a change of the token, with the open jobs at that time. */
export function logFenceChange(
  { earlier, fence, nowMs }: FenceChange,
  open: readonly JobRecord[],
  { instance, logger, metrics }: FenceLogOptions,
): void {
  const isRunning = ({ tasks }: JobRecord) => tasks.some(({ run }) => run !== undefined);
  const withRuns = open.filter(isRunning);
  const waiting = open.filter((record) => record.waiting > 0 && !isRunning(record));
  const oldestMs = Math.min(...waiting.map(({ arrivedMs }) => arrivedMs));
  const others = open.filter(({ gateway }) => gateway !== instance);
  logger.warn('Fencing token of the dispatcher has changed.', {
    earlierFence: earlier.fence,
    fence,
    earlierForMs: Math.round(nowMs - earlier.sinceMs),
    openJobs: open.length,
    jobsWithRuns: withRuns.length,
    waitingJobs: waiting.length,
    // A job with runs may have other tasks that wait.
    waitingTasks: open.reduce((sum, record) => sum + record.waiting, 0),
    oldestWaitingMs: waiting.length === 0 ? undefined : Math.round(nowMs - oldestMs),
    reconcilingJobs: open.filter((record) => record.reconcileUntilMs !== undefined).length,
    resubmittedJobs: open.filter((record) => record.mayHaveRun).length,
    jobsOfOtherGateways: instance === undefined ? undefined : others.length,
  });
  metrics.increment('fence-changes');
  metrics.increment('fence-changes/open-jobs-with-runs', withRuns.length);
  metrics.increment('fence-changes/waiting-jobs', waiting.length);
}
