import { describe, it } from 'node:test';
import { expect } from 'earl';
import { Result } from 'true-myth';
import {
  EndpointError,
  OrderAnswers,
  RunEnds,
  taskKey,
  type EndpointControllerEvents,
  type EndpointEntry,
  type EndpointNetwork,
  type LeasedEndpoint,
  type RunEnd,
  type RunOrder,
  type RunningTask,
  type StartOrder,
} from '@celerybarrow/endpoints';
import { ErrorCodes } from '@celerybarrow/shared';
import { createElapsedClock, createManualTimer, type ManualTimer } from '@celerybarrow/timer';
import { createEndpointPool } from '../src/endpointPool.js';

const demand = { cores: 1_000, memoryMb: 1, accelerators: 0 };
const task = { job: 'a', step: 0, index: 0 };
const capacity = { cores: 2_000, memoryMb: 100, accelerators: 0 };
const place = { service: 's', dataCentre: 'd', isLeaving: false, labels: [] };
const entry: EndpointEntry = { id: 'i-1', address: '127.0.0.1:1', ...place, capacity };

/** An endpoint that leaves starts unanswered and carries them out when a test says so. */
function createIncarnation(timer: ManualTimer, bornMs: number) {
  const held: StartOrder[] = [];
  const stops: RunOrder[] = [];
  const running = new Map<string, RunningTask>();
  const unanswered = async () => {
    await timer.sleep(100);
    return Result.err<never, EndpointError>(new EndpointError(ErrorCodes.ENDPOINT_SILENT));
  };
  const endpoint: LeasedEndpoint = {
    start: (order) => {
      held.push(order);
      return unanswered();
    },
    async stop(order) {
      await timer.sleep(1);
      stops.push(order);
      running.delete(taskKey(order.task));
      return Result.ok(OrderAnswers.ACCEPTED);
    },
    async renew({ waitMs }) {
      await timer.sleep(1 + waitMs);
      const report = { clockMs: timer.nowMs(), bornMs, running: [...running.values()], ended: [] };
      return Result.ok({ answer: OrderAnswers.ACCEPTED, report });
    },
    close: () => undefined,
  };
  return {
    endpoint,
    held,
    stops,
    running,
    /** Carries out a start that was held back, unless a stop has reached this incarnation. */
    carryOut({ task, run }: StartOrder) {
      if (stops.some((stop) => stop.run >= run && taskKey(stop.task) === taskKey(task))) return;
      running.set(taskKey(task), { task, run, percent: 0 });
    },
  };
}

function openPool() {
  const timer = createManualTimer();
  const ends: RunEnd[] = [];
  const first = createIncarnation(timer, 1);
  let current = first;
  const network: EndpointNetwork = { open: () => current.endpoint };
  const events: EndpointControllerEvents = {
    onEnd: (_run, end) => ends.push(end),
    onStartSettled: () => undefined,
    onFenced: () => undefined,
    onChange: () => undefined,
    onReport: () => undefined,
    onLog: () => undefined,
    onInferredEnd: () => undefined,
    onPossibleRestart: () => undefined,
    onOrphanedRun: () => undefined,
  };
  const pool = createEndpointPool({
    network,
    timer,
    clock: createElapsedClock(timer),
    fence: () => 1,
    eventsOf: () => events,
    onRemoved: () => undefined,
  });
  return {
    timer,
    pool,
    ends,
    first,
    /** Begins the next incarnation and lists it. */
    beginNext(listed: EndpointEntry) {
      current = createIncarnation(timer, 2);
      pool.setEntries([listed]);
      return current;
    },
  };
}

/** Sends a start that stays unanswered, ends its run by a stop, and takes the endpoint away. */
async function leaveWithUnacknowledgedStart() {
  const opened = openPool();
  const { timer, pool, ends, first } = opened;
  pool.setEntries([entry]);
  await timer.advance(20);
  pool.find(entry.id)?.start({ task, number: 1, demand, payload: '' });
  await timer.advance(500);
  expect(ends).toEqual([RunEnds.NOT_STARTED]);
  expect(first.held.length).toEqual(1);
  pool.setEntries([]);
  expect(pool.size()).toEqual(0);
  await timer.advance(1_000);
  const [late] = first.held;
  if (late === undefined) throw new Error('no start was sent');
  return { ...opened, late };
}

// Guards against a second run of a task that was started elsewhere: the next incarnation does not
// know the stop that the earlier one answered, and carries out the start.
describe('an endpoint that left the directory with an unacknowledged start and is added again', () => {
  for (const address of [entry.address, '127.0.0.1:2']) {
    it(`gets a stop of it before it may get a start, at ${address}`, async () => {
      const { timer, pool, beginNext, late } = await leaveWithUnacknowledgedStart();
      const next = beginNext({ ...entry, address });
      expect(pool.find(entry.id)?.isUsable()).toEqual(false);
      await timer.advance(1);
      expect(next.stops.map(({ run }) => run)).toEqual([1]);
      next.carryOut(late);
      expect([...next.running]).toEqual([]);
      await timer.advance(20);
      expect(pool.find(entry.id)?.isUsable()).toEqual(true);
    });
  }

  it('gets a stop of it also if it leaves and is added once more', async () => {
    const { timer, pool, beginNext } = await leaveWithUnacknowledgedStart();
    beginNext(entry);
    await timer.advance(20);
    pool.setEntries([]);
    expect(pool.size()).toEqual(0);
    const next = beginNext(entry);
    await timer.advance(1);
    expect(next.stops.map(({ run }) => run)).toEqual([1]);
  });

  it('gets no stop once the start is too old to be carried out', async () => {
    const { timer, pool, beginNext } = await leaveWithUnacknowledgedStart();
    await timer.advance(12_000);
    const next = beginNext(entry);
    await timer.advance(20);
    expect(next.stops).toEqual([]);
    expect(pool.find(entry.id)?.isUsable()).toEqual(true);
  });
});
