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
import { createMetrics, type Logger } from '@celerybarrow/telemetry';
import { createElapsedClock, createManualTimer, type ManualTimer } from '@celerybarrow/timer';
import { createDispatcher } from '../src/index.js';

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
  /** Tasks that slow each other down; none by default. */
  readonly noise?: Noise;
}

/** How tasks on one endpoint slow each other down, and what is measured of it. */
export interface Noise {
  readonly isInterferenceEnabled: boolean;
  factor(team: string, neighbour: string): number;
  /** Called with the time that a task was slowed down by a neighbour, and when that ended. */
  onSlowed(ms: number, nowMs: number): void;
}

export interface SimulatedJob {
  readonly team: string;
  readonly tasks: number;
  readonly taskMs: number;
  readonly estimateMs: number;
  outcome?: JobOutcome;
}

const CORES_PER_TASK = 14_000;
const CORES_PER_ENDPOINT = 32_000;
const JOB_SPREAD = 0.4;
const TASK_SPREAD = 0.15;
const DEADLINE_MS = 1_500;
const STEP_MS = 50;

function sampleNormal(random: Random): number {
  const radius = Math.sqrt(-2 * Math.log(1 - random.next()));
  return radius * Math.cos(2 * Math.PI * random.next());
}

/** Returns a log-normal factor with mean 1. */
function logNormalFactor(random: Random, spread: number): number {
  return Math.exp(spread * sampleNormal(random) - (spread * spread) / 2);
}

interface ActiveRun {
  readonly task: RunningTask;
  /** Run time without neighbours, and how much of it was done when the factor last changed. */
  readonly totalMs: number;
  doneMs: number;
  sinceMs: number;
  factor: number;
  cancelEnd: () => void;
}

function createNetwork(
  timer: ManualTimer,
  speedOf: (endpoint: string) => number,
  taskMsOf: (job: string, index: number) => number,
  factorOf: (job: string, neighbour: string) => number,
  onSlowed: (ms: number, nowMs: number) => void = () => undefined,
): EndpointNetwork {
  return {
    open(entry) {
      const running = new Map<string, ActiveRun>();
      const ended: EndedTask[] = [];
      let wake = (): void => undefined;
      const doneMs = (active: ActiveRun) =>
        active.doneMs + (timer.nowMs() - active.sinceMs) / active.factor;
      const setFactor = (key: string, active: ActiveRun, factor: number) => {
        if (active.factor > 1) onSlowed(timer.nowMs() - active.sinceMs, timer.nowMs());
        active.doneMs = doneMs(active);
        active.sinceMs = timer.nowMs();
        active.factor = factor;
        active.cancelEnd();
        active.cancelEnd = timer.onAfter((active.totalMs - active.doneMs) * factor, () => {
          if (running.get(key) === active) end(key, RunEnds.DONE);
        });
      };
      const updateFactors = () => {
        for (const [key, active] of running) {
          let factor = 1;
          for (const other of running.values()) {
            if (other !== active) factor *= factorOf(active.task.task.job, other.task.task.job);
          }
          if (factor !== active.factor) setFactor(key, active, factor);
        }
      };
      const end = (key: string, state: EndedTask['end']) => {
        const active = running.get(key);
        if (active === undefined) return;
        if (active.factor > 1) onSlowed(timer.nowMs() - active.sinceMs, timer.nowMs());
        running.delete(key);
        updateFactors();
        const { task, run } = active.task;
        ended.push({ number: ended.length + 1, task, run, end: state });
        wake();
      };
      return {
        async start({ task, run }) {
          await timer.sleep(1);
          const totalMs = taskMsOf(task.job, task.index) / speedOf(entry.id);
          const key = taskKey(task);
          const active: ActiveRun = {
            task: { task, run, percent: 0 },
            totalMs,
            doneMs: 0,
            sinceMs: timer.nowMs(),
            factor: 1,
            cancelEnd: () => undefined,
          };
          running.set(key, active);
          setFactor(key, active, 1);
          updateFactors();
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
          const report = {
            clockMs: timer.nowMs() + 1_000,
            bornMs: 1,
            running: [...running.values()].map((active) => ({
              ...active.task,
              percent: Math.floor((100 * doneMs(active)) / active.totalMs),
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

function jobOf(id: string, kind: JobKind, { tasks, estimateMs }: SimulatedJob): LeasedJob {
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
    remainingMs: DEADLINE_MS,
  };
}

/** Runs the load to its end and returns all jobs with their outcomes. */
export async function simulateLoad(load: LoadOptions): Promise<SimulatedJob[]> {
  const timer = createManualTimer();
  const random = createRandom(load.seed);
  const ignore = () => undefined;
  const jobsById = new Map<string, SimulatedJob>();
  const taskFactors = new Map<string, number>();
  const logger: Logger = { debug: ignore, info: ignore, warn: ignore, error: ignore };
  const ids = Array.from({ length: load.endpoints }, (_, index) => `e${index}`);
  const network = createNetwork(
    timer,
    (endpoint) => load.speeds[Number(endpoint.slice(1)) % load.speeds.length] ?? 1,
    (job, index) => (jobsById.get(job)?.taskMs ?? 1) * (taskFactors.get(`${job}/${index}`) ?? 1),
    (job, neighbour) =>
      load.noise?.factor(jobsById.get(job)?.team ?? '', jobsById.get(neighbour)?.team ?? '') ?? 1,
    load.noise?.onSlowed,
  );
  const dispatcher = createDispatcher({
    network,
    timer,
    clock: createElapsedClock(timer),
    random: createRandom(load.seed + 1),
    logger,
    metrics: createMetrics(),
    fence: () => 1,
    onFenced: ignore,
    isInterferenceEnabled: load.noise?.isInterferenceEnabled,
  });
  dispatcher.setEndpoints(ids.map(entryOf));
  await timer.advance(500);

  function submit(kind: JobKind): void {
    const id = `j${jobsById.size}`;
    const tasks = Math.min(
      kind.maxTasks,
      Math.max(1, Math.round(kind.meanTasks * logNormalFactor(random, JOB_SPREAD))),
    );
    const taskMs = kind.meanMs * logNormalFactor(random, JOB_SPREAD);
    const estimateMs = taskMs * logNormalFactor(random, JOB_SPREAD);
    const simulatedJob: SimulatedJob = { team: kind.team, tasks, taskMs, estimateMs };
    jobsById.set(id, simulatedJob);
    for (let index = 0; index < tasks; index += 1) {
      taskFactors.set(`${id}/${index}`, logNormalFactor(random, TASK_SPREAD));
    }
    const job = jobOf(id, kind, simulatedJob);
    void dispatcher.submit({ job, gateway: 'g', resubmissions: 0 }).then((outcome) => {
      simulatedJob.outcome = outcome;
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
  for (let passed = 0; passed < load.durationMs + DEADLINE_MS; passed += STEP_MS) {
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
