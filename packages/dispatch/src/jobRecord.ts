/** State of one job, which the dispatcher keeps until all runs of the job have terminated. */
import { RunStates, type Run, type TaskRef } from '@celerybarrow/endpoints';
import type { JobOutcome, LeasedJob, Step } from '@celerybarrow/protocol';
import type { LeaseAge } from './gatewayLeases.js';
import type { LengthSample } from './jobLength.js';
import { JobSizes, type JobSize } from './jobSizes.js';

/** A process that is a gateway. */
export interface GatewayProcess {
  readonly gateway: string;
  readonly incarnation?: string | undefined;
}

/** A gateway whose submission of an open job was old, or was sent under another token. */
export interface Claimant extends GatewayProcess {
  readonly unanswered: number;
  /** Until when its confirmation is awaited if the gateway of the job is lost. */
  readonly untilMs: number;
}

export interface TaskRecord {
  readonly ref: TaskRef;
  readonly key: string;
  run?: Run | undefined;
  endpoint?: string | undefined;
  isDone: boolean;
  /** Number of the next run of the task. */
  nextRun: number;
  failures: number;
  /** How often the task was restarted on another endpoint. */
  restarts: number;
  /** Number of the last run whose cause of slowness was counted, and of the last one logged. */
  countedRun?: number;
  loggedRun?: number;
  /** Endpoints on which it failed, stalled or was overdue. */
  readonly avoided: Set<string>;
}

export interface JobRecord {
  readonly job: LeasedJob;
  /** Instance at which the caller waits. Its lease allows the job to run. */
  gateway: string;
  /** Incarnation of its process; undefined if it is this instance. */
  incarnation?: string | undefined;
  /**
   * The job may run only while the gateway's lease has been uninterrupted since this time; undefined
   * before the gateway has confirmed a job that was old when it arrived.
   */
  leasedSinceMs: number | undefined;
  /** Another gateway that submitted the open job and has not confirmed that yet. */
  claimant?: Claimant | undefined;
  readonly arrivedMs: number;
  deadlineMs: number;
  /** Longest expected wait for its start with which the job is not refused. */
  readonly maxWaitMs: number;
  readonly objectiveMs: number;
  /**
   * Expected time of the critical path of steps, from the estimates and earlier runs of the team.
   */
  readonly criticalPathMs: number;
  /** Relative run times of its runs, by task and endpoint. */
  readonly lengthSamples: Map<string, LengthSample>;
  /**
   * Length of its tasks relative to the prediction, once its runs show it. It is used only for
   * services whose job lengths have a tail.
   */
  knownLength?: number;
  isLengthRecorded?: boolean;
  readonly tasks: readonly TaskRecord[];
  /** Expected core-milliseconds of the whole job in thousandths, and its size within the team. */
  readonly work: number;
  readonly size: JobSize;
  readonly admission: Admission | undefined;
  /** Fencing token of its last start. */
  startFence?: number;
  firstStartMs?: number;
  lastStartMs?: number;
  /**
   * Estimate of the last planning pass that left tasks waiting; logged if the job is not served.
   */
  lastEstimate?: JobEstimate;
  /** Tasks that are neither done nor running. */
  waiting: number;
  hasStarted: boolean;
  /** Whether tasks may have run for an earlier submission or under an earlier dispatcher. */
  mayHaveRun: boolean;
  /** Set when the job ends; remaining runs are then being stopped. */
  outcome?: JobOutcome;
  /** Fencing token under which the job was admitted, or reconciled last. It starts under no other. */
  fence: number;
  /** `GatewayState.unanswered` of the gateway when it sent the job; undefined if it told none. */
  unanswered?: number | undefined;
  /**
   * Until when the job waits for its gateway to confirm, under the present token, that it has not
   * handed the job over elsewhere; undefined if it is confirmed.
   */
  confirmUntilMs?: number | undefined;
  /** End of the reconciliation of orphaned runs. No new runs start while it is set. */
  reconcileUntilMs?: number | undefined;
  /** Endpoints that have to report their runs before reconciliation ends, listed or not. */
  surveyed?: Set<string>;
  /** Version of the departing endpoints that the gateway of the job knows. */
  departuresVersion?: number | undefined;
  /** Only reports requested after this time of the monotonic clock count. */
  reconcileFromMs?: number;
  /**
   * Whether a disconnected dispatcher had the job and was lost; it may have used other endpoints.
   */
  wasApart?: boolean;
  answer: (outcome: JobOutcome) => void;
}

/** What was known when a job was admitted; kept for its first start, since admission logs nothing. */
export interface Admission {
  readonly resubmissions: number;
  readonly fence: number;
  /** Age of the gateway's lease before the submission renewed it; undefined if there was none. */
  readonly lease: LeaseAge | undefined;
}

/** Estimate of a planning pass for a job with waiting tasks; see `CompletionEstimate`. */
export interface JobEstimate {
  readonly atMs: number;
  readonly waitMs: number;
  readonly runMs: number;
  readonly makespanMs: number;
  /** Work of the jobs ahead of it in the queue, in thousandths of core-milliseconds. */
  readonly workAhead: number;
}

export interface JobRecordOptions {
  readonly arrivedMs: number;
  readonly criticalPathMs: number;
  readonly firstRun: number;
  readonly fence?: number;
  readonly mayHaveRun: boolean;
  readonly work?: number;
  readonly size?: JobSize;
  readonly admission?: Admission;
}

export function createJobRecord(
  job: LeasedJob,
  gateway: string,
  options: JobRecordOptions,
  answer: (outcome: JobOutcome) => void,
): JobRecord {
  const createdMs = options.arrivedMs - job.ageMs;
  const tasks = job.steps.flatMap((step, number) =>
    tasksOf(job.id, step, number, options.firstRun),
  );
  return {
    job,
    gateway,
    leasedSinceMs: options.arrivedMs,
    arrivedMs: options.arrivedMs,
    deadlineMs: options.arrivedMs + job.remainingMs,
    // A job that may have run can't be refused truthfully, so it waits for as long as its caller.
    maxWaitMs: options.mayHaveRun ? job.remainingMs : (job.maxWaitMs ?? job.remainingMs),
    objectiveMs:
      createdMs + job.objectiveStretch * options.criticalPathMs + job.objectiveAllowanceMs,
    criticalPathMs: options.criticalPathMs,
    lengthSamples: new Map(),
    tasks,
    waiting: tasks.length,
    hasStarted: false,
    mayHaveRun: options.mayHaveRun,
    fence: options.fence ?? 0,
    work: options.work ?? 0,
    size: options.size ?? JobSizes.UNKNOWN,
    admission: options.admission,
    answer,
  };
}

function tasksOf(job: string, step: Step, number: number, firstRun: number): TaskRecord[] {
  return Array.from({ length: step.tasks }, (_, index) => ({
    ref: { job, step: number, index },
    key: `${job}/${number}/${index}`,
    isDone: false,
    nextRun: firstRun,
    failures: 0,
    restarts: 0,
    avoided: new Set<string>(),
  }));
}

/** Whether all tasks of the steps on which this step depends are done. */
export function isStepReady(record: JobRecord, number: number): boolean {
  const after = record.job.steps[number]?.after ?? [];
  return after.every((earlier) =>
    record.tasks.every((task) => task.ref.step !== earlier || task.isDone),
  );
}

export function stepOf(record: JobRecord, task: TaskRecord): Step {
  const step = record.job.steps[task.ref.step];
  if (step === undefined) throw new RangeError(`job ${record.job.id} has no step ${task.ref.step}`);
  return step;
}

/** Returns `#` and the number of the task's current or next run; empty for the first run. */
export function runSuffix({ run, nextRun }: TaskRecord): string {
  const number = run?.number ?? nextRun;
  return number === 1 ? '' : `#${number}`;
}

/** Returns the endpoints on which runs of a job have not terminated. */
export function endpointsWithRuns({ tasks }: JobRecord): string[] {
  const endpoints = tasks.filter(({ run }) => run !== undefined).map(({ endpoint }) => endpoint);
  return [...new Set(endpoints)].filter((endpoint) => endpoint !== undefined);
}

/**
 * Describes the runs of a job that have not terminated, for the log; undefined if there are none. Only
 * the first `limit` runs are named, and the others are counted.
 */
export function describeRuns({ tasks }: JobRecord, limit = Infinity): string | undefined {
  const open = tasks.filter(({ run }) => run !== undefined);
  if (open.length === 0) return undefined;
  const named = open.slice(0, limit).map((task) => {
    const isStopping = task.run?.state === RunStates.STOPPING;
    const label = `${task.ref.step}/${task.ref.index}@${task.endpoint ?? ''}${runSuffix(task)}`;
    return isStopping ? `${label} stopping` : label;
  });
  const unnamed = open.length - named.length;
  return [...named, ...(unnamed > 0 ? [`+${unnamed}`] : [])].join(' ');
}
