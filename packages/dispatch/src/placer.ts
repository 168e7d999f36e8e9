/**
 * Plans which waiting tasks start on which endpoints, in the order of the queue, and estimates when
 * the jobs that have to wait will end. It has no side effects; the dispatcher executes the plan.
 */
import { RunStates, type Run, type EndpointController } from '@celerybarrow/endpoints';
import type { LeasedJob, Resources, Step } from '@celerybarrow/protocol';
import type { ElapsedClock } from '@celerybarrow/timer';
import type { ArrivalRates } from './arrivalRates.js';
import { hasCapacityFor, canRunStep } from './chooseEndpoint.js';
import type { EndpointPool } from './endpointPool.js';
import type { EndpointHealth } from './endpointHealth.js';
import { compareJobs } from './jobOrder.js';
import { stepOf, type JobRecord, type TaskRecord } from './jobRecord.js';
import { adjustedObjectiveMs } from './jobLength.js';
import type { NeighbourLoss } from './neighbourLoss.js';
import { remainingMs } from './overdueRun.js';
import {
  placeTasks,
  type OpenCandidate,
  type PlacementState,
  type PlannedStart,
} from './placeTasks.js';
import { isRefused } from './refusal.js';
import { createCapacityForecast, type ExpectedEnd } from './capacityForecast.js';
import type { RunTimes } from './runTimes.js';

/** Planned starts and completion estimate of a waiting job. */
export interface PlannedJob {
  readonly record: JobRecord;
  readonly starts: readonly PlannedStart[];
  /** Expected wait until the work ahead of it in the queue has drained. */
  readonly waitMs: number;
  /** Expected time of its critical path on the fastest endpoint. */
  readonly runMs: number;
  /** Lower bound of its makespan: the time its work takes on all endpoints together. */
  readonly makespanMs: number;
  /** Whether at least one of its tasks can start now. */
  readonly hasFreeCapacity: boolean;
  /** Work of the jobs ahead of it in the queue, in thousandths of core-milliseconds. */
  readonly workAhead: number;
}

/** The endpoints of a job's service with free capacity for the smallest of its tasks. */
export interface FreeCapacity {
  readonly endpoints: number;
  /** Slowness of the fastest of them; undefined if there are none. */
  readonly slowness: number | undefined;
  /** Endpoints of the service that may get tasks, busy or not. */
  readonly usable: number;
  /** All endpoints of the service in the pool. */
  readonly listed: number;
}

export interface Placer {
  /** Whether any endpoint has free capacity for the smallest demand of the waiting jobs. */
  hasFreeCapacity(waiting: readonly JobRecord[], nowMs: number): boolean;
  /**
   * Plans starts for the waiting jobs; returns all of them in the order of the queue. A job for which
   * `mayStart` returns false gets no starts and occupies no endpoint.
   */
  plan(
    waiting: readonly JobRecord[],
    nowMs: number,
    mayStart?: (record: JobRecord) => boolean,
  ): readonly PlannedJob[];
  /**
   * Whether some endpoint could run each step, busy or not; true if none of the service is known.
   */
  isRunnable(record: JobRecord): boolean;
  /**
   * Whether some step of the job can start nowhere because of an evacuation: each endpoint that could
   * run it is in an evacuated data centre or leaves.
   */
  isEvacuated(record: JobRecord): boolean;
  /** Whether an endpoint gets no start until one that is open was answered. */
  isStartLimited(controller: EndpointController): boolean;
  /** Returns the capacity that is free for a job now. */
  freeCapacity(record: JobRecord): FreeCapacity;
  /** Returns the core-milliseconds of the tasks of a job that have not started, in thousandths. */
  workLeft(record: JobRecord): number;
  /** Returns the time until a run is expected to end by its progress; infinite if that is unknown. */
  expectedEndInMs(run: Run, nowMs: number): number;
  /** Returns the core-milliseconds of a whole job, in thousandths. */
  totalWork(job: LeasedJob): number;
  /** Returns the expected time of the critical path of steps on an endpoint of usual speed. */
  criticalPathMs(job: LeasedJob): number;
  /** Returns the expected run time of a task on its endpoint. */
  expectedMs(record: JobRecord, task: TaskRecord): number;
  /**
   * Returns the expected run time of a restart on the fastest other endpoint with free capacity;
   * undefined if there is none.
   */
  freshMs(record: JobRecord, task: TaskRecord): number | undefined;
  /**
   * Returns the share of the differences between the learned speeds that is not noise: near 1 if the
   * endpoints differ in speed, and 0 if they differ no more than learned speeds of equal endpoints.
   */
  speedTrust(): number;
  /** Whether enough runs have completed to know the speeds of the endpoints. */
  areSpeedsKnown(): boolean;
  /** Returns the expected run time on the fastest endpoint, busy or not. */
  fastestRunMs(record: JobRecord, task: TaskRecord): number;
}

export interface PlacerOptions {
  readonly pool: EndpointPool;
  readonly times: RunTimes;
  readonly health: EndpointHealth;
  readonly rates: ArrivalRates;
  readonly clock: ElapsedClock;
  /** Whether the job lengths of a service have a tail; no service has by default. */
  readonly hasTail?: (service: string) => boolean;
  /** Returns the job and the task of a run. */
  readonly find: (run: Run) => { record: JobRecord; task: TaskRecord } | undefined;
  /** Factor on the run time outside the rack that holds the data of a task. */
  readonly otherRackFactor?: number | undefined;
  /** Undefined unless neighbours count in the choice of an endpoint. */
  readonly neighbourLoss?: NeighbourLoss | undefined;
}

/** Share of the cores that tasks of a third to a half of an endpoint can use; the rest is gaps. */
const PACKING_EFFICIENCY = 0.88;
/**
 * Start orders to one endpoint that may be open at a time. Four connections carry them, and those
 * that wait for one would time out: a job of 10,000 tasks without a demand fits everywhere at once.
 */
const MAX_STARTS_IN_FLIGHT = 32;
/** Expected time until a stopped run has terminated. */
const STOP_MS = 50;
/**
 * Variance of the log slowness that is learned for equal endpoints: a weight of 0.15 of deviations
 * of 0.35, and outliers from before a tail was known.
 */
const LEARNED_VARIANCE = 0.04;
/** Completed runs per endpoint after which their speeds are known. */
const MIN_RUNS_PER_ENDPOINT = 5;
/** Largest log deviation that counts for the variance: slow endpoints do not show that all differ. */
const MAX_LOG_DEVIATION = 0.7;
/** Share of the capacity assumed to drain the queue even if arrivals exceed the capacity. */
const MIN_DRAIN_SHARE = 0.04;

/** Returns the time to drain the work ahead, while more work keeps arriving ahead of the job. */
function drainMs(workAhead: number, capacity: number, arriving: number): number {
  return workAhead / Math.max(1, capacity * MIN_DRAIN_SHARE, capacity - arriving);
}

/** Returns the time that the work of a job takes on all endpoints together, without other jobs. */
function minMakespanMs(work: number, capacity: number): number {
  return capacity > 0 ? work / capacity : 0;
}

export function createPlacer(options: PlacerOptions): Placer {
  const { pool, times, health, rates, clock, hasTail = () => false } = options;

  function openCandidates(service: string | undefined, nowMs: number): OpenCandidate[] {
    const candidates: OpenCandidate[] = [];
    for (const controller of pool.controllers()) {
      if (!controller.isUsable()) continue;
      const entry = controller.entry();
      if (service !== undefined && entry.service !== service) continue;
      const healthLimit =
        health.taskLimit(entry.id, nowMs) - (isProbing(controller, health) ? 1 : 0);
      const taskLimit = Math.min(healthLimit, MAX_STARTS_IN_FLIGHT - controller.startsInFlight());
      if (taskLimit <= 0) continue;
      const slowness = times.slowness(entry.id, nowMs);
      candidates.push({
        entry,
        room: controller.room(),
        slowness,
        taskLimit,
        controller,
      });
    }
    return candidates;
  }

  function baseMs(job: LeasedJob, step: number): number {
    return times.baseMs(job.team, job.steps[step]?.estimateMs ?? 1);
  }

  /** Returns the length of a job relative to the prediction; 1 while its runs do not show it. */
  function lengthOf({ job, knownLength = 1 }: JobRecord): number {
    return hasTail(job.service) ? knownLength : 1;
  }

  function criticalPathMs(job: LeasedJob): number {
    const ends: number[] = [];
    job.steps.forEach((step, number) => {
      const startMs = Math.max(0, ...step.after.map((earlier) => ends[earlier] ?? 0));
      ends[number] = startMs + baseMs(job, number);
    });
    return Math.max(...ends);
  }

  function hasFreeCapacity(waiting: readonly JobRecord[], nowMs: number): boolean {
    const minDemand = minDemandOf(waiting);
    for (const controller of pool.controllers()) {
      if (!controller.isUsable() || !hasCapacityFor(controller.room(), minDemand)) continue;
      if (health.taskLimit(controller.id, nowMs) > 0) return true;
    }
    return false;
  }

  function plan(
    waiting: readonly JobRecord[],
    nowMs: number,
    mayStart: (record: JobRecord) => boolean = () => true,
  ): readonly PlannedJob[] {
    const minDemand = minDemandOf(waiting);
    const usableCandidates = openCandidates(undefined, nowMs);
    const candidates = usableCandidates.filter((candidate) =>
      hasCapacityFor(candidate.room, minDemand),
    );
    const forecast = createCapacityForecast(usableCandidates, ({ controller }) => {
      return { room: controller.room(), runs: expectedEnds(controller, nowMs) };
    });
    const { capacity, minSlowness } = measurePool(pool, times, nowMs);
    const ordered = waiting.map((record) => toQueuedJob(record, nowMs)).sort(compareJobs);
    const state: PlacementState = {
      places: candidates,
      minDemand,
      minSlowness,
      forecast,
    };
    const lossesOf = options.neighbourLoss?.beginPass(nowMs);
    const usableCapacity = capacity * PACKING_EFFICIENCY;
    let workAhead = 0;
    return ordered.map(({ record, runMs, workLeft, priority, objectiveMs, length }) => {
      const fastestRunMs = runMs * Math.min(1, minSlowness);
      const makespanMs = minMakespanMs(workLeft, capacity);
      const planned = { record, runMs: fastestRunMs, makespanMs, workAhead };
      const waitWithinPriorityMs = drainMs(
        workAhead,
        usableCapacity,
        rates.before(priority, nowMs),
      );
      // Uses the run time on the fastest endpoint, because a long job runs there and does not wait
      // for one of usual speed.
      const canMeetObjective = nowMs + waitWithinPriorityMs + fastestRunMs <= objectiveMs;
      const waitBehindAllMs = canMeetObjective
        ? 0
        : drainMs(workAhead, usableCapacity, rates.before(undefined, nowMs));
      const waitMs = Math.max(waitWithinPriorityMs, waitBehindAllMs);
      // A job that can no longer meet its objective, or would be refused, accepts any endpoint on
      // which it still ends before its deadline.
      const { arrivedMs, deadlineMs, maxWaitMs } = record;
      const job = {
        nowMs,
        arrivedMs,
        deadlineMs,
        maxWaitMs,
        waitMs,
        runMs: fastestRunMs,
        makespanMs,
      };
      const isUrgent = !canMeetObjective || isRefused({ ...job, hasFreeCapacity: false });
      const starts = mayStart(record)
        ? placeTasks(record, state, {
            nowMs,
            isUrgent,
            objectiveMs,
            baseMs: (step) => baseMs(record.job, step) * length,
            lossOf: lossesOf?.(record.job),
            otherRackFactor: options.otherRackFactor,
          })
        : [];
      if (starts.length >= record.waiting)
        return { ...planned, starts, waitMs: 0, hasFreeCapacity: true };
      workAhead += workLeft * (1 - starts.length / Math.max(1, record.waiting));
      return { ...planned, starts, waitMs, hasFreeCapacity: starts.length > 0 };
    });
  }

  /** Returns when the runs of an endpoint are expected to end; infinite where that is unknown. */
  function expectedEnds(controller: EndpointController, nowMs: number): ExpectedEnd[] {
    return [...controller.runs()].map((run) => ({
      demand: run.demand,
      inMs: expectedEndInMs(run, nowMs),
    }));
  }

  function expectedEndInMs(run: Run, nowMs: number): number {
    if (run.state === RunStates.STOPPING) return STOP_MS;
    const found = options.find(run);
    if (found === undefined || run.state === RunStates.IN_DOUBT) return Infinity;
    const { sentMs: startedMs, percent, percentAtMs, seenMs } = run;
    const expectedMs = expectedMsOf(found.record, found.task);
    const lengthMs = expectedMs * lengthOf(found.record);
    return remainingMs({ nowMs, startedMs, percent, percentAtMs, seenMs, expectedMs: lengthMs });
  }

  function toQueuedJob(record: JobRecord, nowMs: number) {
    const length = lengthOf(record);
    const runMs = criticalPathMs(record.job) * length;
    const workLeft = workLeftOf(record);
    const { priority } = record.job;
    const { arrivedMs, hasStarted } = record;
    const objectiveMs = adjustedObjectiveMs(record, length);
    const canMeetObjective = nowMs + runMs <= objectiveMs;
    const queued = { record, priority, canMeetObjective, hasStarted, workLeft, arrivedMs, runMs };
    return { ...queued, objectiveMs, length };
  }

  function workLeftOf(record: JobRecord): number {
    return predictedWorkOf(record) * lengthOf(record);
  }

  function predictedWorkOf({ job, tasks, waiting }: JobRecord): number {
    const [only] = job.steps;
    if (job.steps.length === 1 && only !== undefined) {
      return waiting * only.demand.cores * baseMs(job, 0);
    }
    return tasks.reduce((sum, { isDone, run, ref }) => {
      const isOpen = !isDone && run === undefined;
      return isOpen ? sum + (job.steps[ref.step]?.demand.cores ?? 0) * baseMs(job, ref.step) : sum;
    }, 0);
  }

  function controllerOf(endpoint: string | undefined): EndpointController | undefined {
    return endpoint === undefined ? undefined : pool.find(endpoint);
  }

  function expectedMsOf(record: JobRecord, task: TaskRecord): number {
    const controller = controllerOf(task.endpoint);
    const slowness = controller === undefined ? 1 : times.slowness(controller.id, clock.nowMs());
    return baseMs(record.job, task.ref.step) * Math.min(slowness, 2);
  }

  /** Stops at the first endpoint that may get tasks, which is mostly among the first. */
  function isStepEvacuated(service: string, step: Step): boolean {
    let isEvacuated = false;
    for (const controller of pool.controllers()) {
      const entry = controller.entry();
      if (entry.service !== service || !canRunStep(entry, step)) continue;
      if (!entry.isLeaving) return false;
      isEvacuated ||= entry.isEvacuated === true;
    }
    return isEvacuated;
  }

  return {
    hasFreeCapacity,
    plan,
    isStartLimited: (controller) => controller.startsInFlight() >= MAX_STARTS_IN_FLIGHT,
    workLeft: workLeftOf,
    expectedEndInMs,
    totalWork: (job) =>
      job.steps.reduce((sum, { tasks, demand }, step) => {
        return sum + tasks * demand.cores * baseMs(job, step);
      }, 0),
    freeCapacity(record) {
      const { service } = record.job;
      const minDemand = minDemandOf([record]);
      const open = openCandidates(service, clock.nowMs());
      const free = open.filter((candidate) => hasCapacityFor(candidate.room, minDemand));
      const isOfService = (controller: EndpointController) =>
        controller.entry().service === service;
      return {
        endpoints: free.length,
        slowness:
          free.length === 0 ? undefined : Math.min(...free.map((candidate) => candidate.slowness)),
        usable: open.length,
        listed: [...pool.controllers()].filter(isOfService).length,
      };
    },
    criticalPathMs,
    isRunnable(record) {
      if (pool.size() === 0) return true;
      const entries = [...pool.controllers()]
        .map((controller) => controller.entry())
        .filter((entry) => entry.service === record.job.service);
      if (entries.length === 0) return true;
      return record.job.steps.every((step) => entries.some((entry) => canRunStep(entry, step)));
    },
    isEvacuated: ({ job }) => job.steps.some((step) => isStepEvacuated(job.service, step)),
    expectedMs: expectedMsOf,
    freshMs(record, task) {
      const { demand } = stepOf(record, task);
      const free = openCandidates(record.job.service, clock.nowMs()).filter(
        (candidate) =>
          candidate.entry.id !== task.endpoint && hasCapacityFor(candidate.room, demand),
      );
      if (free.length === 0) return undefined;
      const best = Math.min(...free.map((candidate) => candidate.slowness));
      return baseMs(record.job, task.ref.step) * best;
    },
    areSpeedsKnown: () => times.learnedRuns() >= pool.size() * MIN_RUNS_PER_ENDPOINT,
    speedTrust: () => speedTrust(pool, times, clock.nowMs()),
    fastestRunMs(record, task) {
      const { minSlowness } = measurePool(pool, times, clock.nowMs());
      return baseMs(record.job, task.ref.step) * Math.min(1, minSlowness);
    },
  };
}

function minDemandOf(waiting: readonly JobRecord[]): Resources {
  const minDemand = { cores: Infinity, memoryMb: Infinity, accelerators: Infinity };
  for (const { job } of waiting) {
    for (const { demand } of job.steps) {
      minDemand.cores = Math.min(minDemand.cores, demand.cores);
      minDemand.memoryMb = Math.min(minDemand.memoryMb, demand.memoryMb);
      minDemand.accelerators = Math.min(minDemand.accelerators, demand.accelerators);
    }
  }
  return minDemand;
}

/** Whether an ejected endpoint is running its probe task. */
function isProbing(controller: EndpointController, health: EndpointHealth): boolean {
  return health.isEjected(controller.id) && [...controller.runs()].length > 0;
}

interface PoolCapacity {
  /** Total cores of the responsive endpoints in thousandths, scaled to usual speed. */
  readonly capacity: number;
  /** Slowness of the fastest of them. */
  readonly minSlowness: number;
}

/**
 * Measures the capacity and speed of the pool. Endpoints that have not reported yet count as well,
 * because they will be usable before the first job may be refused.
 */
function measurePool(pool: EndpointPool, times: RunTimes, nowMs: number): PoolCapacity {
  let capacity = 0;
  let minSlowness = Infinity;
  for (const controller of pool.controllers()) {
    if (controller.isUnresponsive() || controller.entry().isLeaving) continue;
    const slowness = times.slowness(controller.id, nowMs);
    capacity += controller.entry().capacity.cores / slowness;
    minSlowness = Math.min(minSlowness, slowness);
  }
  return { capacity, minSlowness };
}

function speedTrust(pool: EndpointPool, times: RunTimes, nowMs: number): number {
  let count = 0;
  let sum = 0;
  let squares = 0;
  for (const { id } of pool.controllers()) {
    const log = Math.log(times.slowness(id, nowMs));
    const deviation = Math.max(-MAX_LOG_DEVIATION, Math.min(MAX_LOG_DEVIATION, log));
    count += 1;
    sum += deviation;
    squares += deviation * deviation;
  }
  if (count < 2) return 1;
  const variance = squares / count - (sum / count) ** 2;
  return Math.max(0, 1 - LEARNED_VARIANCE / Math.max(LEARNED_VARIANCE, variance));
}
