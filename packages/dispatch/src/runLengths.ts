/**
 * Keeps apart how long the jobs are and how fast the endpoints are, from the reports and the ends of
 * all runs. `jobLengths.ts`, `endpointSpeed.ts` and `slownessCause.ts` explain the parts.
 */
import type { Run } from '@celerybarrow/endpoints';
import type { Logger, Metrics } from '@celerybarrow/telemetry';
import {
  createEndpointSpeeds,
  speedOf,
  type EndpointSpeed,
  type LogSample,
} from './endpointSpeed.js';
import { lengthsElsewhere, type EndpointLength } from './jobLength.js';
import { createJobLengths } from './jobLengths.js';
import type { JobRecord, TaskRecord } from './jobRecord.js';
import { JOB_SPREAD, longJobChance } from './slownessCause.js';

/** Factor on the expected time from which the cause of a slow run is determined. */
const SLOW_FACTOR = 1.8;
/** Probability from which a cause counts as certain. */
const CERTAIN_CHANCE = 0.95;
/**
 * Shares of the projected length at which a job counts as that long, for its prior probability: the
 * smaller one above `LONG_FACTOR`, because early projections are too high. A stalled run looks far
 * longer than any job of its team.
 */
const LENGTH_SHARE = 0.8;
const MIN_LENGTH_SHARE = 0.4;
const LONG_FACTOR = 2.5;
/** Spread of a task's time around the length of its job. */
const TASK_SPREAD = 0.15;
/** Spread of the length that a run on another endpoint shows. */
const SIBLING_SPREAD = 0.2;
/**
 * Speed of an endpoint before any of its runs is known: what was learned, within its normal range.
 * One other run that is slow may belong to a long job itself, and does not outweigh this.
 */
const LEARNED_SPEED: LogSample = { logFactor: 0, spread: 0.3 };
/** Spread of the length that the projection of the run itself shows. */
const OWN_SPREAD = 0.2;
/** Share of one run's deviation that is the length of its job; the rest differs by task. */
const SINGLE_RUN_SHARE = JOB_SPREAD ** 2 / (JOB_SPREAD ** 2 + TASK_SPREAD ** 2);
/** An endpoint is slow if its log factor is above this by two standard deviations. */
const SLOW_LOG_FACTOR = 0.5;
/** Runs after which the length of a job is not computed again: it hardly changes any more. */
const MAX_LENGTH_SAMPLES = 8;

/** Why a run is slow, with the numbers that the decision is based on. */
export interface SlownessCause {
  /** Probability that its job is long, and not its endpoint slow. */
  readonly longChance: number;
  /** Whether the job is long beyond doubt, by evidence of other runs and not only by its odds. */
  readonly isCertain: boolean;
  /** Run time relative to the prediction, and the length of its job by all its runs. */
  readonly factor: number;
  readonly length: number;
  /** Factor of the endpoint by the runs of other jobs on it, its spread and number of runs. */
  readonly endpointFactor: number;
  readonly endpointSpread: number;
  readonly neighbours: number;
  /** Endpoints on which other runs of the job were seen. */
  readonly siblings: number;
  readonly longShare: number;
  readonly slowShare: number;
}

/** A running or completed run, with its time relative to the prediction. */
export interface AssessedRun {
  readonly run: Run;
  readonly record: JobRecord;
  readonly task: TaskRecord;
  /** Predicted run time on its endpoint. */
  readonly expectedMs: number;
  /** Actual or projected run time. */
  readonly totalMs: number;
}

export interface RunLengths {
  /** Whether the lengths of a service's jobs have a tail, so that they are used. */
  hasTail(service: string): boolean;
  /** Whether the runs of a job show that it is long, and its service has such jobs. */
  isLong(record: JobRecord): boolean;
  /** Adds the progress of a run from the newest report. */
  observe(run: Run, record: JobRecord, task: TaskRecord, expectedMs: number, nowMs: number): void;
  /**
   * Returns the cause of a slow run; undefined if it is not slow, or if the lengths of the service's
   * jobs have no tail.
   */
  causeOf(assessed: AssessedRun): SlownessCause | undefined;
  /** Adds a completed run, and returns its cause if it was slow. */
  observeEnd(assessed: AssessedRun, nowMs: number): SlownessCause | undefined;
  /** Adds the length of a job that has ended. */
  recordJob(record: JobRecord): void;
  forget(endpoint: string): void;
}

export interface RunLengthsOptions {
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Returns the job of a task that is open. */
  readonly find: (key: string) => JobRecord | undefined;
}

export function createRunLengths({ logger, metrics, find }: RunLengthsOptions): RunLengths {
  const lengths = createJobLengths();
  const speeds = createEndpointSpeeds();

  /** Returns the runs of other jobs on an endpoint, each relative to the length of its own job. */
  function neighboursOf(endpoint: string, job: string, sinceMs: number): LogSample[] {
    return speeds.neighbours(endpoint, job, sinceMs).map(({ key, logFactor, spread }) => {
      const lengthSamples = find(key)?.lengthSamples;
      const elsewhere =
        lengthSamples === undefined ? [] : lengthsElsewhere(lengthSamples.values(), endpoint);
      const length = speedOf(elsewhere.map(toSample));
      if (length === undefined) return { logFactor, spread: Math.hypot(spread, JOB_SPREAD) };
      return {
        logFactor: logFactor - length.logFactor,
        spread: Math.hypot(spread, length.spread, TASK_SPREAD),
      };
    });
  }

  /** Returns the lengths that runs elsewhere show, without the slowness of their endpoints. */
  function siblingsOf(record: JobRecord, endpoint: string | undefined, sinceMs: number) {
    return lengthsElsewhere(record.lengthSamples.values(), endpoint).map((length) => {
      const sample = toSample(length);
      if (sample.logFactor < Math.log(SLOW_FACTOR)) return sample;
      const speed = speedAmong(neighboursOf(length.endpoint, record.job.id, sinceMs));
      const isSlow = speed.logFactor - 2 * speed.spread > SLOW_LOG_FACTOR;
      return isSlow ? { ...sample, logFactor: sample.logFactor - speed.logFactor } : sample;
    });
  }

  function assess({
    run,
    record,
    task,
    expectedMs,
    totalMs,
  }: AssessedRun): SlownessCause | undefined {
    // A stalled run says nothing about the length of its job.
    if (!Number.isFinite(totalMs)) return undefined;
    const endpoint = task.endpoint ?? '';
    const rate = speeds.find(endpoint, run.key);
    // A delayed start order makes the run look longer than its rate shows.
    const byTime = Math.log(totalMs / Math.max(1, expectedMs));
    const byRate = rate === undefined ? byTime : Math.max(rate.logFactor, rate.first.logFactor);
    const logFactor = Math.min(byTime, byRate);
    if (!(logFactor >= Math.log(SLOW_FACTOR))) return undefined;
    const sinceMs = run.sentMs;
    const neighbours = neighboursOf(endpoint, record.job.id, sinceMs);
    const siblings = siblingsOf(record, endpoint, sinceMs);
    const { service, team } = record.job;
    const factor = Math.exp(logFactor);
    const from = Math.max(factor * MIN_LENGTH_SHARE, Math.min(factor * LENGTH_SHARE, LONG_FACTOR));
    const longShare = lengths.shareAbove(service, team, from);
    const slowShare = speeds.slowShare();
    const rateChange =
      rate === undefined || rate.first.logFactor === rate.logFactor
        ? undefined
        : {
            logFactor: rate.logFactor - rate.first.logFactor,
            spread: Math.hypot(rate.spread, rate.first.spread),
          };
    const evidence = { logFactor, neighbours, siblings, rateChange, longShare, slowShare };
    const longChance = longJobChance(evidence);
    const speed = speedAmong(neighbours);
    const length = lengthOf(logFactor, speed, siblings);
    const hasEvidence = neighbours.length + siblings.length > 0;
    const isCertain = hasEvidence && longChance >= CERTAIN_CHANCE;
    if (isCertain) {
      // An endpoint that is faster than learned does not make the job longer than was seen.
      record.knownLength = Math.min(length, factor);
      // Counts while the job runs, so that the service gets its tail before the next long job.
      recordJob(record);
    }
    if (hasEvidence) countCause(task, run, longChance);
    return {
      longChance,
      isCertain,
      factor,
      length,
      endpointFactor: Math.exp(speed.logFactor),
      endpointSpread: speed.spread,
      neighbours: neighbours.length,
      siblings: siblings.length,
      longShare,
      slowShare,
    };
  }

  /** Counts the cause of a run once, when it is certain. */
  function countCause(task: TaskRecord, run: Run, longChance: number): void {
    if (task.countedRun === run.number) return;
    const isLong = longChance >= CERTAIN_CHANCE;
    if (!isLong && longChance > 1 - CERTAIN_CHANCE) return;
    task.countedRun = run.number;
    speeds.recordCause(!isLong);
    metrics.increment(isLong ? 'slow-run/long-job' : 'slow-run/slow-endpoint');
  }

  /** Updates the known length of a job. Slow runs on one endpoint do not show it by themselves. */
  function updateLength(record: JobRecord, sinceMs: number): void {
    if (record.lengthSamples.size > MAX_LENGTH_SAMPLES) return;
    const byEndpoint = siblingsOf(record, undefined, sinceMs);
    const [only] = byEndpoint;
    if (byEndpoint.length > 1) {
      record.knownLength = Math.exp(speedOf(byEndpoint)?.logFactor ?? 0);
    } else if (only !== undefined && only.logFactor < Math.log(SLOW_FACTOR)) {
      record.knownLength = Math.exp(only.logFactor * SINGLE_RUN_SHARE);
    }
  }

  function recordJob(record: JobRecord): void {
    if (record.knownLength === undefined || record.isLengthRecorded === true) return;
    record.isLengthRecorded = true;
    const { service, team } = record.job;
    const hadTail = lengths.hasTail(service);
    lengths.record(service, team, record.knownLength);
    const hasTail = lengths.hasTail(service);
    if (hadTail === hasTail) return;
    metrics.increment(hasTail ? 'job-lengths/tail' : 'job-lengths/no-tail');
    const sentence = hasTail
      ? 'Job lengths of a service have a tail.'
      : 'Job lengths of a service have no tail.';
    const job = { service, job: record.job.id, factor: record.knownLength };
    logger.info(sentence, { ...job, ...lengths.summarize(service) });
  }

  return {
    hasTail: lengths.hasTail,
    isLong: ({ job: { service }, knownLength = 1 }) =>
      lengths.hasTail(service) && knownLength >= lengths.longFactor(service),
    causeOf(assessed) {
      const cause = assess(assessed);
      return lengths.hasTail(assessed.record.job.service) ? cause : undefined;
    },
    observe(run, record, task, expectedMs, nowMs) {
      const { newestListing } = run;
      if (newestListing === undefined || task.endpoint === undefined) return;
      const { clockMs, percent } = newestListing;
      const progress = { key: run.key, job: record.job.id, clockMs, percent, expectedMs };
      speeds.observe(task.endpoint, progress, nowMs);
    },
    observeEnd(assessed, nowMs) {
      const { run, record, task, expectedMs, totalMs } = assessed;
      const cause = assess(assessed);
      const logFactor = Math.log(Math.max(1, totalMs) / Math.max(1, expectedMs));
      const end = {
        key: run.key,
        job: record.job.id,
        logFactor,
        spread: TASK_SPREAD,
        fromMs: run.sentMs,
      };
      if (task.endpoint !== undefined) speeds.observeEnd(task.endpoint, end, nowMs);
      if (cause === undefined) {
        speeds.recordCause(false);
        updateLength(record, run.sentMs);
      }
      return lengths.hasTail(record.job.service) ? cause : undefined;
    },
    recordJob,
    forget: speeds.forget,
  };
}

function speedAmong(neighbours: readonly LogSample[]): EndpointSpeed {
  return speedOf([LEARNED_SPEED, ...neighbours]) ?? { ...LEARNED_SPEED, runs: 0 };
}

/**
 * Returns the length of a task by its run, without the speed of its endpoint, and by the runs of its
 * job on other endpoints.
 */
function lengthOf(logFactor: number, speed: EndpointSpeed, siblings: readonly LogSample[]): number {
  const ownLog = logFactor - speed.logFactor;
  const others = speedOf(siblings);
  if (others === undefined) return Math.exp(ownLog);
  const ownWeight = 1 / OWN_SPREAD ** 2;
  const othersWeight = 1 / (others.spread ** 2 + TASK_SPREAD ** 2);
  const sum = ownLog * ownWeight + others.logFactor * othersWeight;
  return Math.exp(sum / (ownWeight + othersWeight));
}

function toSample({ logFactor }: EndpointLength): LogSample {
  return { logFactor, spread: SIBLING_SPREAD };
}
