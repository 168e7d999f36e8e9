/**
 * Log contexts and counter of a job that has ended: its size, its starts, its last estimate, and whether
 * a job that was not served was too long for its caller.
 */
import { JobStates, type JobOutcome } from '@celerybarrow/protocol';
import type { LogContext } from '@celerybarrow/telemetry';
import { longestTaskMs } from './jobLength.js';
import { describeRuns, type JobRecord } from './jobRecord.js';
import type { FreeCapacity } from './placer.js';

/** Maximum number of runs that a log line names; a job can have thousands. */
const MAX_NAMED_RUNS = 4;

/** Why a job expired, as far as its runs have shown. */
export const ExpiryCauses = {
  /** Its longest task takes longer than the job had, so that no order of starts could serve it. */
  TOO_LONG: 'too-long',
  MISSED: 'missed',
  /** No run has shown the length of a task. */
  UNKNOWN: 'unknown',
} as const;
export type ExpiryCause = (typeof ExpiryCauses)[keyof typeof ExpiryCauses];

export function expiryCauseOf(record: JobRecord): ExpiryCause {
  const longestMs = longestTaskMs(record);
  if (longestMs === undefined) return ExpiryCauses.UNKNOWN;
  return longestMs > allowedMsOf(record) ? ExpiryCauses.TOO_LONG : ExpiryCauses.MISSED;
}

/** Returns the name of an outcome in the counters: its state, and for an expired job the cause. */
export function outcomeName(record: JobRecord, { state, isCancelled }: JobOutcome): string {
  const hasExpired = state === JobStates.EXPIRED && isCancelled !== true;
  return hasExpired ? `${state}-${expiryCauseOf(record)}` : state;
}

function allowedMsOf({ deadlineMs, arrivedMs }: JobRecord): number {
  return deadlineMs - arrivedMs;
}

/** Returns the log context of a job that has ended, whatever its outcome. */
export function describeEnd(record: JobRecord, outcome: JobOutcome, nowMs: number): LogContext {
  const { job, size, work, firstStartMs, lastStartMs, arrivedMs, tasks } = record;
  const afterArrival = (ms: number | undefined) =>
    ms === undefined ? undefined : Math.round(ms - arrivedMs);
  return {
    job: job.id,
    team: job.team,
    state: outcome.state,
    reason: outcome.reason,
    tookMs: Math.round(nowMs - arrivedMs),
    slackMs: Math.round(record.objectiveMs - nowMs),
    tasks: tasks.length,
    gateway: record.gateway,
    priority: job.priority,
    size,
    coreMs: Math.round(work / 1_000),
    allowedMs: Math.round(allowedMsOf(record)),
    longestMs: Math.round(Math.max(...job.steps.map((step) => step.estimateMs))),
    longestTaskMs: roundedOrNone(longestTaskMs(record)),
    restarts: tasks.reduce((sum, task) => sum + task.restarts, 0),
    failures: tasks.reduce((sum, task) => sum + task.failures, 0),
    firstStartMs: afterArrival(firstStartMs),
    lastStartMs: afterArrival(lastStartMs),
  };
}

/**
 * Returns the log context that explains an unserved job: its last estimate and the free capacity. It is
 * a line of its own, since both contexts together exceed the length of a log line.
 */
export function describeUnserved(record: JobRecord, free: FreeCapacity, nowMs: number): LogContext {
  const { tasks, lastEstimate, lengthSamples } = record;
  const factors = [...lengthSamples.values()].map((sample) => sample.factor);
  return {
    job: record.job.id,
    started: tasks.filter((task) => task.isDone || task.endpoint !== undefined).length,
    done: tasks.filter((task) => task.isDone).length,
    expectedWaitMs: roundedOrNone(lastEstimate?.waitMs),
    expectedRunMs: roundedOrNone(lastEstimate?.runMs),
    expectedSpanMs: roundedOrNone(lastEstimate?.makespanMs),
    aheadCoreMs:
      lastEstimate === undefined ? undefined : Math.round(lastEstimate.workAhead / 1_000),
    expectedAgoMs: lastEstimate === undefined ? undefined : Math.round(nowMs - lastEstimate.atMs),
    longestFactor: factors.length === 0 ? undefined : Number(Math.max(...factors).toFixed(2)),
    freeEndpoints: free.endpoints,
    freeSlowness: free.slowness === undefined ? undefined : Number(free.slowness.toFixed(2)),
    usableEndpoints: free.usable,
    listedEndpoints: free.listed,
    runs: describeRuns(record, MAX_NAMED_RUNS),
  };
}

function roundedOrNone(value: number | undefined): number | undefined {
  return value === undefined ? undefined : Math.round(value);
}
