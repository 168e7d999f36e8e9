/**
 * Simulates a dispatcher with in-memory endpoints under a seeded load of several kinds of jobs.
 * Sizes, run times and estimate errors are log-normal; arrivals are a Poisson process.
 */
import { Result } from 'true-myth';
import {
  OrderAnswers,
  RunEnds,
  taskKey,
  type EndedTask,
  type EndpointEntry,
  type EndpointNetwork,
  type RunningTask,
} from '@celerybarrow/endpoints';
import { JobStates, type JobOutcome, type LeasedJob } from '@celerybarrow/protocol';
import { createRandom, type Random } from '@celerybarrow/shared';
import { createMetrics, type LogContext, type Logger, type Metrics } from '@celerybarrow/telemetry';
import { createElapsedClock, createManualTimer, type ManualTimer } from '@celerybarrow/timer';
import { createDispatcher } from '../src/index.js';
import { createNoisyNetwork, type Noise } from './noisyNetwork.js';

export interface JobKind {
  readonly team: string;
  readonly priority: number;
  readonly perSecond: number;
  readonly meanTasks: number;
  readonly maxTasks: number;
  readonly meanMs: number;
}

export interface LoadOptions {
  readonly seed: number;
  readonly endpoints: number;
  /** Speeds, assigned to the endpoints in rotation. */
  readonly speeds: readonly number[];
  readonly kinds: readonly JobKind[];
  /** Factor on all arrivals. */
  readonly load: number;
  readonly durationMs: number;
  /** Jobs whose tasks all take `factor` times as long; none by default. */
  readonly tail?: { readonly share: number; readonly factor: number };
  /** Time that jobs have; 1,500 ms by default. */
  readonly deadlineMs?: number;
  /** Time that a job has, if it depends on the job. */
  readonly deadlineMsOf?: (job: SimulatedJob) => number;
  /** Longest expected wait with which a job is not refused; as long as it has by default. */
  readonly maxWaitMs?: number;
  readonly fault?: EndpointFault;
  /** Tasks that slow each other down, which excludes a fault; none by default. */
  readonly noise?: Noise;
  readonly onLog?: (atMs: number, sentence: string, context: LogContext) => void;
  readonly metrics?: Metrics;
}

/** Factor on the speed of one endpoint for some time; its runs fail if `fails` is set. */
export interface EndpointFault {
  readonly endpoint: string;
  readonly fromMs: number;
  readonly untilMs: number;
  readonly speedFactor: number;
  readonly fails?: boolean;
}

export interface SimulatedJob {
  readonly id: string;
  readonly team: string;
  readonly isLong: boolean;
  readonly submittedMs: number;
  readonly tasks: number;
  readonly taskMs: number;
  /** Time of its longest task on an endpoint of speed 1. */
  longestMs: number;
  endedMs?: number;
  readonly estimateMs: number;
  outcome?: JobOutcome;
}

const CORES_PER_TASK = 14_000;
const CORES_PER_ENDPOINT = 32_000;
const JOB_SPREAD = 0.4;
const TASK_SPREAD = 0.15;
const DEADLINE_MS = 1_500;
/** Time until a run fails on an endpoint that fails its runs. */
const FAILURE_MS = 10;
const STEP_MS = 50;

function sampleNormal(random: Random): number {
  const radius = Math.sqrt(-2 * Math.log(1 - random.next()));
  return radius * Math.cos(2 * Math.PI * random.next());
}

/** Returns a log-normal factor with mean 1. */
function logNormalFactor(random: Random, spread: number): number {
  return Math.exp(spread * sampleNormal(random) - (spread * spread) / 2);
}

/** Returns the time that an endpoint of speed 1 has worked at `nowMs` since `startMs`. */
function workedMs(startMs: number, nowMs: number, fault: EndpointFault | undefined): number {
  if (fault === undefined) return nowMs - startMs;
  const { fromMs, untilMs, speedFactor } = fault;
  const affectedMs = Math.max(0, Math.min(nowMs, untilMs) - Math.max(startMs, fromMs));
  return nowMs - startMs - affectedMs * (1 - speedFactor);
}

/** Returns how long work that begins at `startMs` takes. */
function durationMs(startMs: number, workMs: number, fault: EndpointFault | undefined): number {
  if (fault === undefined) return workMs;
  const { fromMs, untilMs, speedFactor } = fault;
  const beforeMs = Math.max(0, fromMs - startMs);
  if (workMs <= beforeMs || startMs >= untilMs) return workMs;
  const affectedMs = (workMs - beforeMs) / speedFactor;
  const windowMs = untilMs - Math.max(startMs, fromMs);
  if (affectedMs <= windowMs) return beforeMs + affectedMs;
  return workMs + windowMs * (1 - speedFactor);
}

function createNetwork(
  timer: ManualTimer,
  speedOf: (endpoint: string) => number,
  taskMsOf: (job: string, index: number) => number,
  faultOf: (endpoint: string) => EndpointFault | undefined,
): EndpointNetwork {
  return {
    open(entry) {
      const running = new Map<string, { task: RunningTask; startMs: number; ranMs: number }>();
      const ended: EndedTask[] = [];
      let wake = (): void => undefined;
      const end = (key: string, state: EndedTask['end']) => {
        const active = running.get(key);
        if (active === undefined) return;
        running.delete(key);
        const { task, run } = active.task;
        ended.push({ number: ended.length + 1, task, run, end: state });
        wake();
      };
      return {
        async start({ task, run }) {
          await timer.sleep(1);
          const ranMs = taskMsOf(task.job, task.index) / speedOf(entry.id);
          const key = taskKey(task);
          running.set(key, { task: { task, run, percent: 0 }, startMs: timer.nowMs(), ranMs });
          const fault = faultOf(entry.id);
          const nowMs = timer.nowMs();
          const fails = fault?.fails === true && nowMs >= fault.fromMs && nowMs < fault.untilMs;
          timer.onAfter(fails ? FAILURE_MS : durationMs(nowMs, ranMs, fault), () => {
            if (running.get(key)?.task.run === run) end(key, fails ? RunEnds.FAILED : RunEnds.DONE);
          });
          return Result.ok(OrderAnswers.ACCEPTED);
        },
        async stop({ task }) {
          await timer.sleep(1);
          end(taskKey(task), RunEnds.STOPPED);
          return Result.ok(OrderAnswers.ACCEPTED);
        },
        async renew({ endsSeen = 0, waitMs }) {
          await timer.sleep(1);
          if (ended.length <= endsSeen && waitMs > 0) {
            await new Promise<void>((resolve) => {
              const cancel = timer.onAfter(waitMs, resolve);
              wake = () => {
                cancel();
                resolve();
              };
            });
          }
          const nowMs = timer.nowMs();
          const report = {
            clockMs: nowMs + 1_000,
            bornMs: 1,
            running: [...running.values()].map(({ task, startMs, ranMs }) => ({
              ...task,
              percent: Math.floor((100 * workedMs(startMs, nowMs, faultOf(entry.id))) / ranMs),
            })),
            ended: ended.slice(endsSeen),
          };
          return Result.ok({ answer: OrderAnswers.ACCEPTED, report });
        },
        close: () => undefined,
      };
    },
  };
}

function entryOf(id: string): EndpointEntry {
  const capacity = { cores: CORES_PER_ENDPOINT, memoryMb: 64_000, accelerators: 0 };
  const base = { service: 's', address: id, dataCentre: 'd', isLeaving: false, labels: [] };
  return { id, ...base, capacity };
}

function jobOf(
  { id, tasks, estimateMs }: SimulatedJob,
  kind: JobKind,
  remainingMs: number,
  maxWaitMs: number | undefined,
): LeasedJob {
  const demand = { cores: CORES_PER_TASK, memoryMb: 64, accelerators: 0 };
  return {
    id,
    team: kind.team,
    service: 's',
    priority: kind.priority,
    maxAttempts: 3,
    objectiveStretch: 1.6,
    objectiveAllowanceMs: 60,
    payload: '',
    steps: [{ tasks, demand, estimateMs, after: [] }],
    ageMs: 0,
    remainingMs,
    maxWaitMs,
  };
}

/** Runs the load to its end and returns all jobs with their outcomes. */
export async function simulateLoad(load: LoadOptions): Promise<SimulatedJob[]> {
  const timer = createManualTimer();
  const random = createRandom(load.seed);
  const ignore = () => undefined;
  const jobsById = new Map<string, SimulatedJob>();
  const taskFactors = new Map<string, number>();
  const log = (sentence: string, context: LogContext = {}) =>
    load.onLog?.(timer.nowMs(), sentence, context);
  const logger: Logger = { debug: log, info: log, warn: log, error: log };
  const deadlineMs = load.deadlineMs ?? DEADLINE_MS;
  const { tail, fault } = load;
  const ids = Array.from({ length: load.endpoints }, (_, index) => `e${index}`);
  const { noise } = load;
  const speedOf = (endpoint: string) =>
    load.speeds[Number(endpoint.slice(1)) % load.speeds.length] ?? 1;
  const taskMsOf = (job: string, index: number) =>
    (jobsById.get(job)?.taskMs ?? 1) * (taskFactors.get(`${job}/${index}`) ?? 1);
  const teamOf = (job: string) => jobsById.get(job)?.team ?? '';
  const network =
    noise === undefined
      ? createNetwork(timer, speedOf, taskMsOf, (endpoint) =>
          endpoint === fault?.endpoint ? fault : undefined,
        )
      : createNoisyNetwork(
          timer,
          speedOf,
          taskMsOf,
          (job, neighbour) => noise.factor(teamOf(job), teamOf(neighbour)),
          noise.onSlowed,
        );
  const dispatcher = createDispatcher({
    network,
    timer,
    clock: createElapsedClock(timer),
    random: createRandom(load.seed + 1),
    logger,
    metrics: load.metrics ?? createMetrics(),
    fence: () => 1,
    onFenced: ignore,
    isInterferenceEnabled: noise?.isInterferenceEnabled,
  });
  dispatcher.setEndpoints(ids.map(entryOf));
  await timer.advance(500);
  const openedMs = timer.nowMs();
  let endsMs = load.durationMs + deadlineMs;

  function submit(kind: JobKind): void {
    const id = `j${jobsById.size}`;
    const tasks = Math.min(
      kind.maxTasks,
      Math.max(1, Math.round(kind.meanTasks * logNormalFactor(random, JOB_SPREAD))),
    );
    const usualMs = kind.meanMs * logNormalFactor(random, JOB_SPREAD);
    const estimateMs = usualMs * logNormalFactor(random, JOB_SPREAD);
    const isLong = tail !== undefined && random.next() < tail.share;
    const taskMs = usualMs * (isLong ? tail.factor : 1);
    const submittedMs = timer.nowMs();
    const simulatedJob: SimulatedJob = {
      ...{ id, team: kind.team, isLong, submittedMs, tasks, taskMs, longestMs: 0, estimateMs },
    };
    jobsById.set(id, simulatedJob);
    for (let index = 0; index < tasks; index += 1) {
      const factor = logNormalFactor(random, TASK_SPREAD);
      taskFactors.set(`${id}/${index}`, factor);
      simulatedJob.longestMs = Math.max(simulatedJob.longestMs, taskMs * factor);
    }
    const remainingMs = load.deadlineMsOf?.(simulatedJob) ?? deadlineMs;
    endsMs = Math.max(endsMs, submittedMs - openedMs + remainingMs);
    const job = jobOf(simulatedJob, kind, remainingMs, load.maxWaitMs);
    void dispatcher.submit({ job, gateway: 'g', resubmissions: 0 }).then((outcome) => {
      simulatedJob.outcome = outcome;
      simulatedJob.endedMs = timer.nowMs();
    });
  }

  function arrive(kind: JobKind): void {
    const perMs = (kind.perSecond * load.load) / 1_000;
    timer.onAfter(-Math.log(1 - random.next()) / perMs, () => {
      if (timer.nowMs() >= load.durationMs) return;
      submit(kind);
      arrive(kind);
    });
  }

  for (const kind of load.kinds) arrive(kind);
  for (let passed = 0; passed < endsMs; passed += STEP_MS) {
    dispatcher.renewGatewayLease('g');
    await timer.advance(STEP_MS);
  }
  dispatcher.close();
  return [...jobsById.values()];
}

/** Returns the share of completed jobs. */
export function servedShare(jobs: readonly SimulatedJob[]): number {
  const done = jobs.filter((job) => job.outcome?.state === JobStates.COMPLETED);
  return done.length / Math.max(1, jobs.length);
}

/** Returns the jobs between two quantiles of work. */
export function jobsBetween(
  jobs: readonly SimulatedJob[],
  from: number,
  until: number,
): SimulatedJob[] {
  const ordered = [...jobs].sort((a, b) => a.tasks * a.taskMs - b.tasks * b.taskMs);
  return ordered.slice(Math.floor(jobs.length * from), Math.floor(jobs.length * until));
}
