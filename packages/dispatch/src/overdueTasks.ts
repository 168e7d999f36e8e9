/**
 * Finds the tasks on an endpoint whose runs should be restarted elsewhere, and those that cannot
 * meet their deadline on any endpoint, from the reports of its controller.
 */
import { RunStates, type Run, type EndpointController } from '@celerybarrow/endpoints';
import type { Logger, Metrics } from '@celerybarrow/telemetry';
import type { JobRecord, TaskRecord } from './jobRecord.js';
import { lengthFactorOfOthers, recordLength, adjustedObjectiveMs } from './jobLength.js';
import {
  cannotMeetDeadline,
  isOverdue,
  isWorthRestarting,
  extrapolatedRunMs,
  type RunProgress,
} from './overdueRun.js';
import type { Placer } from './placer.js';
import type { RunLengths, SlownessCause } from './runLengths.js';

/** Probability of a long job from which its run is treated as one. */
const LIKELY_CHANCE = 0.5;

/** A task with the record of its job. */
export interface JobTask {
  readonly record: JobRecord;
  readonly task: TaskRecord;
}

/** A task whose run should be stopped. */
export interface OverdueTask extends JobTask {
  /** Whether its progress has stopped, which counts as a failure of the endpoint. */
  readonly isStalled: boolean;
  /** Whether it cannot end before its deadline on any endpoint. */
  readonly cannotMeetDeadline: boolean;
}

export interface OverdueOptions {
  readonly placer: Placer;
  readonly runLengths: RunLengths;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly find: (run: Run) => JobTask | undefined;
}

export function findOverdueTasks(
  controller: EndpointController | undefined,
  nowMs: number,
  options: OverdueOptions,
): OverdueTask[] {
  const overdue: OverdueTask[] = [];
  for (const run of controller?.runs() ?? []) {
    const jobTask = options.find(run);
    if (run.state !== RunStates.RUNNING || jobTask === undefined) continue;
    const overdueTask = evaluate(run, jobTask, nowMs, options);
    if (overdueTask !== undefined) overdue.push(overdueTask);
  }
  return overdue;
}

function evaluate(
  run: Run,
  jobTask: JobTask,
  nowMs: number,
  options: OverdueOptions,
): OverdueTask | undefined {
  const { placer, runLengths, logger, metrics } = options;
  const { record, task } = jobTask;
  const expectedMs = placer.expectedMs(record, task);
  const lengthFactor = lengthFactorOfOthers(record, task);
  const progress: RunProgress = {
    nowMs,
    startedMs: run.sentMs,
    percent: run.percent,
    percentAtMs: run.percentAtMs,
    seenMs: run.seenMs,
    expectedMs,
    objectiveMs: adjustedObjectiveMs(record, lengthFactor),
    deadlineMs: record.deadlineMs,
    restarts: task.restarts,
    firstListing: run.firstListing,
    newestListing: run.newestListing,
    lengthFactor,
  };
  runLengths.observe(run, record, task, expectedMs, nowMs);
  const extrapolatedMs = extrapolatedRunMs(progress);
  if (extrapolatedMs !== undefined) recordLength(record, task, extrapolatedMs, expectedMs);
  const cause =
    extrapolatedMs === undefined
      ? undefined
      : runLengths.causeOf({ run, record, task, expectedMs, totalMs: extrapolatedMs });
  const isStalled = run.seenMs - run.percentAtMs > expectedMs;
  const judged = withCause(progress, record, cause);
  if (
    cannotMeetDeadline(withCertainLength(judged, progress, cause, placer), () =>
      placer.fastestRunMs(record, task),
    )
  ) {
    metrics.increment('overdue/ended-early');
    logger.info('Job cannot end before its deadline.', {
      ...describe(run, task, nowMs, expectedMs),
      fastestMs: Math.round(placer.fastestRunMs(record, task)),
      deadlineInMs: Math.round(record.deadlineMs - nowMs),
      lengthFactor,
      ...cause,
    });
    return { ...jobTask, isStalled, cannotMeetDeadline: true };
  }
  if (!isOverdue(progress)) return undefined;
  const freshMs = placer.freshMs(record, task);
  if (freshMs === undefined) return undefined;
  const context = {
    ...describe(run, task, nowMs, expectedMs),
    freshMs: Math.round(freshMs),
    lengthFactor,
    ...cause,
  };
  const isWorthIt = () =>
    isWorthRestarting(
      cause === undefined ? judged : { ...judged, speedTrust: placer.speedTrust() },
      freshMs,
    );
  if (!isOverdue(judged) || !isWorthIt()) {
    if (judged === progress || task.loggedRun === run.number) return undefined;
    if (!isWorthRestarting(progress, freshMs)) return undefined;
    task.loggedRun = run.number;
    metrics.increment('overdue/kept');
    logger.info('Overdue run is kept because its job is long.', context);
    return undefined;
  }
  metrics.increment('overdue/restarted');
  logger.warn('Overdue run is stopped for a restart elsewhere.', context);
  return { ...jobTask, isStalled, cannotMeetDeadline: false };
}

/** Returns the progress with the cause of the slowness, and with the objective of a long job. */
function withCause(
  progress: RunProgress,
  record: JobRecord,
  cause: SlownessCause | undefined,
): RunProgress {
  if (cause === undefined) return progress;
  const { longChance, longShare, length } = cause;
  const lengthFactor = longChance >= LIKELY_CHANCE ? length : progress.lengthFactor;
  const objectiveMs = adjustedObjectiveMs(record, lengthFactor);
  return {
    ...progress,
    lengthFactor,
    objectiveMs,
    longChance,
    longShare,
    length,
  };
}

/**
 * Returns the progress for a decision that is final: a length counts only if it is certain, and if
 * the speeds of the other endpoints are known.
 */
function withCertainLength(
  judged: RunProgress,
  progress: RunProgress,
  cause: SlownessCause | undefined,
  placer: Placer,
): RunProgress {
  if (cause === undefined) return progress;
  if (!cause.isCertain) return { ...progress, lengthFactor: undefined };
  return placer.areSpeedsKnown() ? judged : progress;
}

function describe(run: Run, task: TaskRecord, nowMs: number, expectedMs: number) {
  return {
    task: task.key,
    endpoint: task.endpoint,
    percent: run.percent,
    ranMs: Math.round(nowMs - run.sentMs),
    reportAgeMs: Math.round(nowMs - run.seenMs),
    expectedMs: Math.round(expectedMs),
  };
}
