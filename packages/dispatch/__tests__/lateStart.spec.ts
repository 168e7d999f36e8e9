import { afterEach, describe, it } from 'node:test';
import { expect } from 'earl';
import { Result } from 'true-myth';
import {
  EndpointError,
  OrderAnswers,
  RunEnds,
  taskKey,
  type EndedTask,
  type EndpointEntry,
  type EndpointNetwork,
  type LeasedEndpoint,
  type RunningTask,
  type StartOrder,
} from '@celerybarrow/endpoints';
import { JobStates, type JobOutcome, type LeasedJob } from '@celerybarrow/protocol';
import { createRandom, ErrorCodes } from '@celerybarrow/shared';
import { createMetrics, type Logger } from '@celerybarrow/telemetry';
import { createElapsedClock, createManualTimer, type ManualTimer } from '@celerybarrow/timer';
import { createDispatcher, type Dispatcher } from '../src/index.js';

const place = { service: 's', dataCentre: 'd', labels: [], isLeaving: false };
const capacity = { cores: 2_000, memoryMb: 64, accelerators: 0 };
const entryOf = (id: string): EndpointEntry => ({ id, address: id, ...place, capacity });
const demand = { cores: 1_000, memoryMb: 1, accelerators: 0 };
const job: LeasedJob = {
  id: 'j',
  team: 't',
  service: 's',
  priority: 0,
  maxAttempts: 2,
  objectiveStretch: 1.6,
  objectiveAllowanceMs: 60,
  payload: '',
  steps: [{ tasks: 1, demand, estimateMs: 400, after: [] }],
  ageMs: 0,
  remainingMs: 1_300,
};
const opened: Dispatcher[] = [];

afterEach(() => {
  for (const dispatcher of opened.splice(0)) dispatcher.close();
});

/** An endpoint that may leave starts unanswered. It restarts and carries one out on demand. */
function createFake(timer: ManualTimer) {
  const running = new Map<string, RunningTask>();
  const ended: EndedTask[] = [];
  const end = ({ task, run }: RunningTask, how: EndedTask['end']) => {
    running.delete(taskKey(task));
    ended.push({ number: ended.length + 1, task, run, end: how });
  };
  const fake = {
    isHoldingStarts: false,
    /** Whether it has no power, so that calls to it get no answer. */
    isDark: false,
    bornMs: 1,
    starts: [] as StartOrder[],
    stopsAtMs: [] as number[],
    running,
    end,
    /** Restarts the endpoint, which carries out the held start before any other order. */
    restartWithLateStart() {
      fake.bornMs += 1;
      ended.length = 0;
      for (const { task, run } of fake.starts)
        running.set(taskKey(task), { task, run, percent: 1 });
    },
  };
  const silence = async () => {
    await timer.sleep(100);
    return Result.err(new EndpointError(ErrorCodes.ENDPOINT_SILENT));
  };
  const endpoint: LeasedEndpoint = {
    async start(order) {
      fake.starts.push(order);
      await timer.sleep(1);
      if (fake.isHoldingStarts) {
        return silence();
      }
      running.set(taskKey(order.task), { task: order.task, run: order.run, percent: 1 });
      return Result.ok(OrderAnswers.ACCEPTED);
    },
    async stop({ task }) {
      await timer.sleep(1);
      if (fake.isDark) return silence();
      fake.stopsAtMs.push(timer.nowMs());
      const listed = running.get(taskKey(task));
      if (listed !== undefined) end(listed, RunEnds.STOPPED);
      return Result.ok(OrderAnswers.ACCEPTED);
    },
    async renew({ waitMs, endsSeen = 0 }) {
      if (fake.isDark) return silence();
      const { bornMs } = fake;
      for (let waited = 0; waited <= waitMs && bornMs === fake.bornMs; waited += 5) {
        if (ended.some(({ number }) => number > endsSeen)) break;
        await timer.sleep(waited === 0 ? 1 : 5);
      }
      const report = {
        clockMs: timer.nowMs(),
        bornMs: fake.bornMs,
        running: [...running.values()],
        ended: [...ended],
      };
      return Result.ok({ answer: OrderAnswers.ACCEPTED, report });
    },
    close: () => undefined,
  };
  return { fake, endpoint };
}

/** Submits a job of one task whose first start, on endpoint `a`, stays unacknowledged. */
async function submitWithUnacknowledgedStart(remainingMs = job.remainingMs) {
  const timer = createManualTimer();
  const a = createFake(timer);
  const b = createFake(timer);
  const ignore = () => undefined;
  const metrics = createMetrics();
  const logger: Logger = { debug: ignore, info: ignore, warn: ignore, error: ignore };
  const network: EndpointNetwork = { open: ({ id }) => (id === 'a' ? a.endpoint : b.endpoint) };
  const dispatcher = createDispatcher({
    network,
    timer,
    clock: createElapsedClock(timer),
    random: createRandom(1),
    logger,
    metrics,
    fence: () => 1,
    onFenced: ignore,
  });
  opened.push(dispatcher);
  a.fake.isHoldingStarts = true;
  // An endpoint that joins gets no task at once, so `b` is listed from the beginning.
  const unavailable = { ...entryOf('b'), isLeaving: true };
  dispatcher.setEndpoints([entryOf('a'), unavailable]);
  await advance(1_000);
  const outcomes: JobOutcome[] = [];
  void dispatcher
    .submit({ job: { ...job, remainingMs }, gateway: 'g', resubmissions: 0 })
    .then((outcome) => outcomes.push(outcome));
  await advance(50);
  expect(a.fake.starts.length).toEqual(1);
  const leaving = { ...entryOf('a'), isLeaving: true };
  dispatcher.setEndpoints([leaving, unavailable]);
  await advance(200);

  async function advance(durationMs: number): Promise<void> {
    for (let passed = 0; passed < durationMs; passed += 10) {
      dispatcher.renewGatewayLease('g');
      await timer.advance(10);
    }
  }

  return { a: a.fake, b: b.fake, dispatcher, leaving, outcomes, advance, timer, metrics };
}

// A late start that the stops could not prevent: the endpoint restarted, and carried it out first.
describe('a late start', () => {
  // Guards against a second run of a task: the late run was stopped after 200 ms only.
  it('is stopped at once if its task runs elsewhere', async () => {
    const { a, b, dispatcher, leaving, advance, timer, metrics } =
      await submitWithUnacknowledgedStart();
    dispatcher.setEndpoints([leaving, entryOf('b')]);
    await advance(100);
    expect(b.starts.map(({ run }) => run)).toEqual([2]);
    const restartedMs = timer.nowMs();
    a.restartWithLateStart();
    await advance(50);
    expect([...a.running.values()]).toEqual([]);
    expect(a.stopsAtMs.some((atMs) => atMs > restartedMs)).toEqual(true);
    expect(b.running.size).toEqual(1);
    expect(metrics.counters()['late-start/stopped']).toEqual(1);
  });

  // Guards against a second run of a task on an endpoint that lost power after it had answered the stop:
  // its next incarnation carries the start out before any stop can reach it.
  it('never runs beside a run elsewhere if its endpoint was dark', async () => {
    const { a, b, dispatcher, leaving, outcomes, advance, metrics } =
      await submitWithUnacknowledgedStart(5_000);
    dispatcher.setEndpoints([leaving, entryOf('b')]);
    await advance(100);
    expect(b.running.size).toEqual(1);
    a.isDark = true;
    await advance(800);
    expect(b.running.size).toEqual(0);
    expect(metrics.counters()['late-start/stopped-elsewhere']).toEqual(1);
    a.isDark = false;
    a.restartWithLateStart();
    await advance(300);
    expect(a.running.size + b.running.size).toEqual(1);
    for (const fake of [a, b]) for (const run of fake.running.values()) fake.end(run, RunEnds.DONE);
    await advance(50);
    expect(outcomes.map(({ state }) => state)).toEqual([JobStates.COMPLETED]);
  });

  it('no longer holds its task back once the endpoint answers the stop again', async () => {
    const { a, b, dispatcher, leaving, advance } = await submitWithUnacknowledgedStart(5_000);
    dispatcher.setEndpoints([leaving, entryOf('b')]);
    await advance(100);
    a.isDark = true;
    await advance(800);
    expect(b.running.size).toEqual(0);
    a.isDark = false;
    await advance(200);
    expect(a.running.size).toEqual(0);
    expect([...b.running.values()].map(({ run }) => run)).toEqual([3]);
  });

  // Guards against a caller who waits while the only run of a task is stopped.
  it('is claimed as the run of its task if the task has no other run', async () => {
    const { a, outcomes, advance, metrics } = await submitWithUnacknowledgedStart();
    a.restartWithLateStart();
    await advance(300);
    expect(a.running.size).toEqual(1);
    for (const run of a.running.values()) a.end(run, RunEnds.DONE);
    await advance(50);
    expect(outcomes.map(({ state }) => state)).toEqual([JobStates.COMPLETED]);
    expect(metrics.counters()['late-start/claimed']).toEqual(1);
  });
});
