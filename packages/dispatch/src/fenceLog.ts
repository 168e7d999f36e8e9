/**
 * Logs and counts changes of the fencing token of a running dispatcher.
 *
 * Fault pattern: another dispatcher had a higher token for a while, and may have started tasks of jobs
 * that still wait here. The new token frees their endpoints, so the line tells how many jobs wait.
 */
import type { Logger, Metrics } from '@celerybarrow/telemetry';
import type { ElapsedClock } from '@celerybarrow/timer';
import type { JobRecord } from './jobRecord.js';

export interface FenceLog {
  /** Compares the token with that of the last call. Call it before each placement pass. */
  check(): void;
}

export interface FenceLogOptions {
  readonly fence: () => number;
  /** Name of this instance; the jobs of other gateways are counted if it is given. */
  readonly instance?: string | undefined;
  readonly jobs: () => Iterable<JobRecord>;
  readonly clock: ElapsedClock;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

export function createFenceLog(options: FenceLogOptions): FenceLog {
  const { clock, metrics, instance } = options;
  let fence = options.fence();
  let sinceMs = clock.nowMs();

  function logChange(earlierFence: number, nowMs: number): void {
    const open = [...options.jobs()].filter((record) => record.outcome === undefined);
    const isRunning = ({ tasks }: JobRecord) => tasks.some(({ run }) => run !== undefined);
    const withRuns = open.filter(isRunning);
    const waiting = open.filter((record) => record.waiting > 0 && !isRunning(record));
    const oldestMs = Math.min(...waiting.map(({ arrivedMs }) => arrivedMs));
    const others = open.filter(({ gateway }) => gateway !== instance);
    options.logger.warn('Fencing token of the dispatcher has changed.', {
      earlierFence,
      fence,
      earlierForMs: Math.round(nowMs - sinceMs),
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

  return {
    check() {
      const current = options.fence();
      if (current === fence) return;
      const earlierFence = fence;
      const nowMs = clock.nowMs();
      fence = current;
      logChange(earlierFence, nowMs);
      sinceMs = nowMs;
    },
  };
}
