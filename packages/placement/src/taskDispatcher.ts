/**
 * Starts waiting tasks on the endpoints that this instance controls when slots become free. A task
 * returns to the queue only on proof that the endpoint did not start it, and within a retry budget.
 */
import { ErrorCodes, addJitter, type Random } from '@celerybarrow/shared';
import type { TimerService } from '@celerybarrow/timer';
import { TaskOutcomes, type GroupLoad, type Load, type TaskOutcome } from '@celerybarrow/protocol';
import type { Metrics } from '@celerybarrow/telemetry';
import type { Endpoint } from './endpointDirectory.js';
import type { EndpointClient } from './endpointClient.js';
import { createEndpointState, type EndpointState } from './endpointState.js';
import { HealthStates } from './endpointHealth.js';
import type { PlacementError } from './placementError.js';
import { createRetryBudget } from './retryBudget.js';
import type { ServiceTimes } from './serviceTimes.js';
import type { LoadBalancingPolicy } from './loadBalancingPolicy.js';
import { createTaskQueue, type QueuedTask } from './taskQueue.js';

const START_INTERVAL_MS = 25;
const UNSERVED_CHECK_INTERVAL_MS = 250;
const TASK_TIMEOUT_FACTOR = 20;
const MIN_TASK_TIMEOUT_MS = 30_000;
/**
 * Retry delay of the policies without controllers, which choose endpoints without knowing free
 * slots.
 */
const BASELINE_RETRY_DELAY_MS = 5;

export interface TaskDispatcher {
  /** Queues a task and starts it when an endpoint has a free slot. */
  enqueue(task: QueuedTask): void;
  /** Removes the waiting tasks of a job and reports each as not started. */
  drop(job: string): void;
  /** Sets the endpoints of this instance. Tasks that run on other endpoints continue. */
  setEndpoints(endpoints: readonly Endpoint[]): void;
  load(): Load;
  endpointStates(): readonly EndpointState[];
  /** Returns the number of running tasks. */
  running(): number;
  /** Returns the number of waiting tasks of a service. */
  waiting(service: string): number;
  close(): void;
}

export interface TaskDispatcherOptions {
  readonly client: EndpointClient;
  readonly policy: LoadBalancingPolicy;
  readonly serviceTimes: ServiceTimes;
  readonly timer: TimerService;
  readonly random: Random;
  readonly metrics: Metrics;
  /** Called when slots, the queue or endpoints may have changed. */
  readonly onLoadChange: () => void;
  /** Returns how many tasks of a service this instance may run concurrently. */
  readonly concurrencyOf: (service: string) => number;
  /** Returns the number of endpoints in the data centre. */
  readonly countEndpoints: () => number;
}

export function createTaskDispatcher(options: TaskDispatcherOptions): TaskDispatcher {
  const { client, policy, serviceTimes, timer, random, metrics } = options;
  const queue = createTaskQueue();
  const budget = createRetryBudget();
  const statesById = new Map<string, EndpointState>();
  let ownStates: EndpointState[] = [];
  const runningByService = new Map<string, number>();
  let running = 0;
  let isStartScheduled = false;

  function enqueue(task: QueuedTask): void {
    queue.push(task);
    scheduleStart();
  }

  function scheduleStart(): void {
    if (isStartScheduled) return;
    isStartScheduled = true;
    setImmediate(() => {
      isStartScheduled = false;
      startWaitingTasks();
    });
  }

  function startWaitingTasks(): void {
    for (const service of queue.services()) startTasksOf(service);
    options.onLoadChange();
  }

  function startTasksOf(service: string): void {
    const candidates = ownStates.filter((state) => canServe(state, service));
    while (queue.count(service) > 0 && isBelowConcurrency(service)) {
      const state = policy.choose(candidates);
      if (state === undefined) return;
      const task = queue.take(service);
      if (task === undefined) return;
      if (timer.wallMs() >= task.startBefore) {
        report(task, TaskOutcomes.NOT_STARTED, 'deadline passed');
        continue;
      }
      void run(task, state);
    }
  }

  function isBelowConcurrency(service: string): boolean {
    return (runningByService.get(service) ?? 0) < options.concurrencyOf(service);
  }

  function updateRunningCount(service: string, delta: 1 | -1): void {
    running += delta;
    runningByService.set(service, (runningByService.get(service) ?? 0) + delta);
  }

  function canServe(state: EndpointState, service: string): boolean {
    if (state.endpoint.service !== undefined && state.endpoint.service !== service) return false;
    return state.usableSlots() > 0;
  }

  async function run(task: QueuedTask, state: EndpointState): Promise<void> {
    const startedMs = timer.nowMs();
    state.onStart();
    updateRunningCount(task.service, 1);
    metrics.increment('tasks.sent');
    const answer = await client.run({
      address: state.endpoint.address,
      job: task.job,
      task: task.name,
      kind: task.kind,
      payload: task.payload,
      startBefore: task.startBefore,
      timeoutMs: Math.max(MIN_TASK_TIMEOUT_MS, task.expectedMs * TASK_TIMEOUT_FACTOR),
    });
    state.onEnd();
    updateRunningCount(task.service, -1);
    if (answer.isOk) onDone(task, state, timer.nowMs() - startedMs, answer.value);
    else if (answer.error.isNotStarted) onNotStarted(task, state, answer.error);
    else onFailed(task, state, answer.error);
    scheduleStart();
  }

  function onDone(task: QueuedTask, state: EndpointState, ranMs: number, body: string): void {
    budget.onStart();
    state.health.onSuccess(estimateRunMs(task), ranMs);
    metrics.increment('tasks.done');
    task.report({
      index: task.index,
      outcome: TaskOutcomes.DONE,
      body,
      ranMs: Math.round(ranMs),
    });
  }

  /**
   * Returns the estimated run time at speed 1, or undefined until enough runs were recorded. The
   * declared time alone cannot be used to measure an endpoint's speed.
   */
  function estimateRunMs(task: QueuedTask): number | undefined {
    const { service, kind, expectedMs } = task;
    return serviceTimes.hasEnoughSamples(service, kind)
      ? serviceTimes.estimateRunMs(service, kind, expectedMs)
      : undefined;
  }

  function onFailed(task: QueuedTask, state: EndpointState, error: PlacementError): void {
    budget.onStart();
    metrics.increment('tasks.failed');
    recordFailure(state);
    report(task, TaskOutcomes.FAILED, error.message, state.endpoint.id);
  }

  function onNotStarted(task: QueuedTask, state: EndpointState, error: PlacementError): void {
    metrics.increment('tasks.refused');
    if (error.code === ErrorCodes.ENDPOINT_UNREACHABLE) recordFailure(state);
    if (policy.usesControllers) state.onRefusal();
    if (policy.usesControllers && !budget.tryRetry()) {
      report(task, TaskOutcomes.NOT_STARTED, 'retry budget is used up');
      return;
    }
    const pauseMs = policy.usesControllers ? 0 : addJitter(BASELINE_RETRY_DELAY_MS, random);
    timer.onAfter(pauseMs, () => {
      enqueue(task);
    });
  }

  function recordFailure(state: EndpointState): void {
    const others = ownStates.filter((other) => other !== state);
    const nowMs = timer.nowMs();
    const ejected = others.filter((other) => other.health.state(nowMs) === HealthStates.EJECTED);
    const canEject =
      ejected.length + 1 <= Math.ceil(ownStates.length / 2) && options.countEndpoints() > 1;
    state.health.onFailure(nowMs, medianFailureRatio(others), canEject);
  }

  function report(task: QueuedTask, outcome: TaskOutcome, detail: string, endpoint?: string): void {
    task.report({
      index: task.index,
      outcome,
      detail,
      ...(endpoint === undefined ? {} : { endpoint }),
    });
  }

  /**
   * Reports waiting tasks as not started if this instance has no usable endpoint for their service.
   * Their owners can place them on other instances.
   */
  function returnUnservedTasks(): void {
    for (const service of queue.services()) {
      if (ownStates.some((state) => canServe(state, service))) continue;
      for (const task of queue.removeService(service)) {
        report(task, TaskOutcomes.NOT_STARTED, 'no serving endpoint');
      }
    }
  }

  function load(): Load {
    const groups = new Map<string | undefined, EndpointState[]>();
    for (const state of ownStates) {
      const group = groups.get(state.endpoint.service) ?? [];
      group.push(state);
      groups.set(state.endpoint.service, group);
    }
    return { groups: [...groups].map(([service, states]) => describeGroup(service, states)) };
  }

  function describeGroup(service: string | undefined, states: readonly EndpointState[]): GroupLoad {
    const services = service === undefined ? queue.services() : [service];
    const isFull = service !== undefined && !isBelowConcurrency(service);
    return {
      ...(service === undefined ? {} : { service }),
      slots: sumOf(states.map((state) => state.usableSlots())),
      free: isFull
        ? []
        : describeFreeSlots(states, sumOf(services.map((name) => queue.count(name)))),
      queuedMs: Math.round(sumOf(services.map((name) => queue.queuedMs(name)))),
      capacity: roundSpeed(
        sumOf(states.map((state) => state.usableSlots() * state.health.speed())),
      ),
    };
  }

  function setEndpoints(endpoints: readonly Endpoint[]): void {
    ownStates = endpoints.map((endpoint) => {
      const previous = statesById.get(endpoint.id);
      const isSame =
        previous?.endpoint.address === endpoint.address &&
        previous.endpoint.slots === endpoint.slots;
      if (isSame) return previous;
      const state = createEndpointState({ endpoint, nowMs: () => timer.nowMs() });
      statesById.set(endpoint.id, state);
      return state;
    });
    scheduleStart();
  }

  const stopTimers = [
    timer.onEvery(START_INTERVAL_MS, () => {
      if (queue.size() > 0) startWaitingTasks();
    }),
    timer.onEvery(UNSERVED_CHECK_INTERVAL_MS, returnUnservedTasks),
  ];

  return {
    enqueue,
    drop(job) {
      for (const task of queue.removeJob(job)) report(task, TaskOutcomes.NOT_STARTED, 'dropped');
    },
    setEndpoints,
    load,
    endpointStates: () => ownStates,
    running: () => running,
    waiting: (service) => queue.count(service),
    close() {
      for (const stop of stopTimers) stop();
    },
  };
}

/** Lists the free slots, fastest first, without the slots that the waiting tasks will use. */
function describeFreeSlots(states: readonly EndpointState[], waiting: number): GroupLoad['free'] {
  const free = states
    .map((state) => ({ speed: roundSpeed(state.health.speed()), slots: state.freeSlots() }))
    .sort((a, b) => b.speed - a.speed);
  let remaining = waiting;
  for (const entry of free) {
    const used = Math.min(remaining, entry.slots);
    entry.slots -= used;
    remaining -= used;
  }
  return free.filter((entry) => entry.slots > 0);
}

function medianFailureRatio(states: readonly EndpointState[]): number {
  const ratios = states.map((state) => state.health.failureRatio()).sort((a, b) => a - b);
  return ratios[Math.floor(ratios.length / 2)] ?? 0;
}

function sumOf(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}

function roundSpeed(speed: number): number {
  return Math.max(0.01, Math.round(speed * 100) / 100);
}
