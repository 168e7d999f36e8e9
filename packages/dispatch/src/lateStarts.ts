/**
 * Keeps a task from running while an earlier start of it may be carried out on another endpoint.
 *
 * Failure: an endpoint leaves a start unanswered and answers its stop, so the task is started
 * elsewhere. The endpoint then loses power. Its next incarnation does not know the stop, and carries
 * out the start before any call from here can reach it. Once an endpoint with such starts no longer
 * answers, the runs of their tasks elsewhere are therefore stopped, and the tasks wait until the
 * endpoint answers the stops again, or until the start is too old to be carried out.
 */
import { MAX_ORDER_DELAY_MS, RunStates, type UnacknowledgedStart } from '@celerybarrow/endpoints';
import type { Logger, Metrics } from '@celerybarrow/telemetry';
import type { MonotonicClock } from '@celerybarrow/timer';
import type { EndpointPool } from './endpointPool.js';
import type { JobRecord, TaskRecord } from './jobRecord.js';

export interface LateStarts {
  /** Handles that an endpoint may have restarted, and that it may carry out these starts. */
  suspect(endpoint: string, starts: readonly UnacknowledgedStart[]): void;
  /** Whether a waiting task of the job must not start yet. */
  isHeld(record: JobRecord): boolean;
}

export interface LateStartsOptions {
  readonly pool: Pick<EndpointPool, 'find'>;
  readonly clock: MonotonicClock;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly find: (key: string) => { record: JobRecord; task: TaskRecord } | undefined;
  readonly stop: (task: TaskRecord) => void;
}

interface SuspectedStart {
  readonly key: string;
  readonly endpoint: string;
  readonly run: number;
  readonly expiryMs: number;
}

export function createLateStarts(options: LateStartsOptions): LateStarts {
  const { pool, clock, logger, metrics } = options;
  /** By job, so that a job without any costs one look-up in a placement pass. */
  const suspected = new Map<string, SuspectedStart[]>();

  function suspect(endpoint: string, starts: readonly UnacknowledgedStart[]): void {
    for (const start of starts) {
      const found = options.find(start.key);
      if (found === undefined || found.record.outcome !== undefined || found.task.isDone) continue;
      add(endpoint, start);
      const { task } = found;
      const isElsewhere = task.run !== undefined && task.endpoint !== endpoint;
      if (isElsewhere && task.run?.state !== RunStates.STOPPING) stopElsewhere(endpoint, task);
    }
  }

  function add(endpoint: string, { key, task, run, sentMs }: UnacknowledgedStart): void {
    const known = suspected.get(task.job) ?? [];
    const isKnown = known.some(
      (start) => start.key === key && start.run === run && start.endpoint === endpoint,
    );
    if (isKnown) return;
    const expiryMs = sentMs + MAX_ORDER_DELAY_MS;
    suspected.set(task.job, [...known, { key, endpoint, run, expiryMs }]);
  }

  function stopElsewhere(endpoint: string, task: TaskRecord): void {
    metrics.increment('late-start/stopped-elsewhere');
    logger.warn('Run is stopped because an earlier start of its task may be carried out.', {
      job: task.ref.job,
      task: task.key,
      run: task.run?.number,
      endpoint: task.endpoint,
      earlierEndpoint: endpoint,
    });
    options.stop(task);
  }

  function mayBeCarriedOut({ key, endpoint, run, expiryMs }: SuspectedStart): boolean {
    if (clock.nowMs() >= expiryMs) return false;
    // Without a controller, nothing has stopped the start since the endpoint was suspected.
    return pool.find(endpoint)?.mayCarryOut(key, run) !== false;
  }

  function isWaiting({ key }: SuspectedStart): boolean {
    const task = options.find(key)?.task;
    return task !== undefined && task.run === undefined && !task.isDone;
  }

  /** Drops the starts of jobs that have ended, of which no pass asks any more. */
  function removeEnded(): void {
    for (const [job, starts] of suspected)
      if (starts.every(({ key }) => options.find(key) === undefined)) suspected.delete(job);
  }

  return {
    suspect(endpoint, starts) {
      removeEnded();
      suspect(endpoint, starts);
    },
    isHeld({ job }) {
      const starts = suspected.get(job.id);
      if (starts === undefined) return false;
      const left = starts.filter(mayBeCarriedOut);
      if (left.length > 0) suspected.set(job.id, left);
      else suspected.delete(job.id);
      return left.some(isWaiting);
    },
  };
}
