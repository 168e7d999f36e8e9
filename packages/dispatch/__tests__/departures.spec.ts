import { afterEach, describe, it } from 'node:test';
import { expect } from 'earl';
import { Result } from 'true-myth';
import {
  EndpointError,
  OrderAnswers,
  type EndpointEntry,
  type EndpointNetwork,
  type RunningTask,
} from '@celerybarrow/endpoints';
import { JobStates, type JobOutcome, type LeasedJob } from '@celerybarrow/protocol';
import { createRandom, ErrorCodes } from '@celerybarrow/shared';
import { createMetrics, type Logger } from '@celerybarrow/telemetry';
import { createElapsedClock, createManualTimer } from '@celerybarrow/timer';
import { createDispatcher, type Dispatcher } from '../src/index.js';

const HEARTBEAT_MS = 50;
const LEASE_WAIT_MS = 1_700;
const opened: Dispatcher[] = [];

afterEach(() => {
  for (const dispatcher of opened.splice(0)) dispatcher.close();
});

function entryOf(id: string): EndpointEntry {
  const capacity = { cores: 4_000, memoryMb: 64, accelerators: 0 };
  const place = { service: 's', dataCentre: 'd', isLeaving: false, labels: [] };
  return { id, address: `${id}:1`, ...place, capacity };
}

function jobOf(id: string, remainingMs: number): LeasedJob {
  const demand = { cores: 1_000, memoryMb: 1, accelerators: 0 };
  return {
    id,
    team: 't',
    service: 's',
    priority: 0,
    maxAttempts: 1,
    objectiveStretch: 1.6,
    objectiveAllowanceMs: 60,
    payload: '',
    steps: [{ tasks: 1, demand, estimateMs: 100, after: [] }],
    ageMs: 0,
    remainingMs,
  };
}

/** Creates a dispatcher that lists the endpoint `listed`, in a fleet that has `departed` as well. */
function createTestDispatcher() {
  const timer = createManualTimer();
  const ignore = () => undefined;
  const logger: Logger = { debug: ignore, info: ignore, warn: ignore, error: ignore };
  const starts: string[] = [];
  const silent = new Set<string>();
  const version = { inherited: 0 };
  const running: Record<string, RunningTask[]> = { listed: [], departed: [] };
  const silence = () => Result.err(new EndpointError(ErrorCodes.ENDPOINT_SILENT));
  const network: EndpointNetwork = {
    open: ({ id }) => ({
      async start({ task, run }) {
        await timer.sleep(1);
        starts.push(`${task.job}@${id}`);
        running[id]?.push({ task, run, percent: 1 });
        return Result.ok(OrderAnswers.ACCEPTED);
      },
      async stop({ task }) {
        await timer.sleep(1);
        running[id] = (running[id] ?? []).filter((listed) => listed.task.job !== task.job);
        return Result.ok(OrderAnswers.ACCEPTED);
      },
      async renew({ waitMs }) {
        await timer.sleep(1 + waitMs);
        if (silent.has(id)) return silence();
        const report = { clockMs: timer.nowMs(), bornMs: 1, running: [...(running[id] ?? [])] };
        return Result.ok({ answer: OrderAnswers.ACCEPTED, report: { ...report, ended: [] } });
      },
      close: ignore,
    }),
  };
  const dispatcher = createDispatcher({
    network,
    timer,
    clock: createElapsedClock(timer),
    random: createRandom(1),
    logger,
    metrics: createMetrics(),
    fence: () => 1,
    onFenced: ignore,
    departuresVersion: () => version.inherited,
  });
  opened.push(dispatcher);
  dispatcher.setEndpoints([entryOf('listed')]);
  const outcomes: Record<string, JobOutcome> = {};
  return {
    dispatcher,
    starts,
    silent,
    running,
    outcomes,
    version,
    submit(
      id: string,
      resubmissions: number,
      remainingMs = 1_300,
      heldOn: string[] = [],
      departuresVersion = 0,
    ) {
      const job = jobOf(id, remainingMs);
      const submission = { job, gateway: 'g', resubmissions, heldOn, departuresVersion };
      void dispatcher.submit(submission).then((outcome) => {
        outcomes[id] = outcome;
      });
    },
    async advance(ms: number) {
      for (let passed = 0; passed < ms; passed += HEARTBEAT_MS) {
        dispatcher.renewGatewayLease('g');
        await timer.advance(HEARTBEAT_MS);
      }
    },
  };
}

const departureOf = (...jobs: string[]) => [{ entry: entryOf('departed'), jobs }];
const runOf = (job: string) => ({ task: { job, step: 0, index: 0 }, run: 1, percent: 10 });

describe('a job that may run on an endpoint that has left the list', () => {
  // The gateway and the dispatcher were lost together, and only the caller submits the job again.
  it('is found there, also if nothing marks it as resubmitted', async () => {
    const { dispatcher, running, submit, advance, starts } = createTestDispatcher();
    running['departed'] = [runOf('j')];
    dispatcher.inherit(departureOf('j'));
    submit('j', 0);
    await advance(100);
    expect(starts).toEqual([]);
    expect(dispatcher.departures()).toEqual([
      { entry: { ...entryOf('departed'), isLeaving: true }, jobs: ['j'] },
    ]);
  });

  it('starts elsewhere once the endpoint reports that it has no run', async () => {
    const { dispatcher, submit, advance, starts } = createTestDispatcher();
    dispatcher.inherit(departureOf('j'));
    submit('j', 1);
    await advance(100);
    expect(starts).toEqual(['j@listed']);
    expect(dispatcher.departures()).toEqual([]);
  });

  it('starts elsewhere after the leases if the endpoint does not answer', async () => {
    const { dispatcher, silent, submit, advance, starts } = createTestDispatcher();
    silent.add('departed');
    dispatcher.inherit(departureOf('j'));
    submit('j', 1, 5_000);
    await advance(LEASE_WAIT_MS - HEARTBEAT_MS);
    expect(starts).toEqual([]);
    await advance(3 * HEARTBEAT_MS);
    expect(starts).toEqual(['j@listed']);
  });

  it('starts after the leases if the endpoint is listed at another address by now', async () => {
    const { dispatcher, submit, advance, starts } = createTestDispatcher();
    const moved = { ...entryOf('listed'), address: 'earlier:1' };
    dispatcher.inherit([{ entry: moved, jobs: ['j'] }]);
    submit('j', 1, 5_000);
    await advance(LEASE_WAIT_MS - HEARTBEAT_MS);
    expect(starts).toEqual([]);
    await advance(3 * HEARTBEAT_MS);
    expect(starts).toEqual(['j@listed']);
  });

  it('is lost at once if its caller does not wait for that long', async () => {
    const { dispatcher, silent, submit, advance, starts, outcomes } = createTestDispatcher();
    silent.add('departed');
    dispatcher.inherit(departureOf('j'));
    submit('j', 1);
    await advance(400);
    expect(outcomes['j']?.state).toEqual(JobStates.LOST);
    expect(starts).toEqual([]);
  });

  it('waits for the leases if a planned handover names an endpoint that nobody knows', async () => {
    const { submit, advance, starts, outcomes } = createTestDispatcher();
    submit('long', 1, 5_000, ['unknown']);
    submit('short', 1, 1_300, ['unknown']);
    await advance(LEASE_WAIT_MS - HEARTBEAT_MS);
    expect(outcomes['short']?.state).toEqual(JobStates.LOST);
    expect(starts).toEqual([]);
    await advance(3 * HEARTBEAT_MS);
    expect(starts).toEqual(['long@listed']);
  });

  // A dispatcher that has just started may get the list of the earlier one after the job.
  it('does not start before the version of the departures that its gateway knows has arrived', async () => {
    const { dispatcher, version, running, submit, advance, starts } = createTestDispatcher();
    running['departed'] = [runOf('j')];
    submit('j', 0, 1_300, [], 7);
    await advance(100);
    version.inherited = 7;
    dispatcher.inherit(departureOf('j'));
    await advance(100);
    expect(starts).toEqual([]);
  });
});

describe('a job that has no run on an endpoint that has left the list', () => {
  it('does not wait for that endpoint, resubmitted or not', async () => {
    const { dispatcher, silent, submit, advance, starts } = createTestDispatcher();
    silent.add('departed');
    dispatcher.inherit(departureOf('j'));
    submit('resubmitted', 1);
    submit('new', 0);
    await advance(100);
    expect(starts.sort()).toEqual(['new@listed', 'resubmitted@listed']);
  });
});

describe('the departures of a dispatcher', () => {
  it('name the endpoints that leave with runs, and their jobs', async () => {
    const { dispatcher, submit, advance } = createTestDispatcher();
    submit('j', 0);
    await advance(100);
    expect(dispatcher.departures()).toEqual([]);
    dispatcher.setEndpoints([]);
    const entry = { ...entryOf('listed'), isLeaving: true };
    expect(dispatcher.departures()).toEqual([{ entry, jobs: ['j'] }]);
  });

  // The second dispatcher may be lost before the endpoint has answered.
  it('include those that it has inherited, until they have answered', async () => {
    const { dispatcher, silent, advance } = createTestDispatcher();
    silent.add('departed');
    dispatcher.inherit(departureOf('j'));
    await advance(100);
    expect(dispatcher.departures()).toEqual(departureOf('j'));
    await advance(LEASE_WAIT_MS);
    expect(dispatcher.departures()).toEqual([]);
  });

  // The next dispatcher may not have read a list with the endpoint when the store is down.
  it('include an endpoint that has just joined, which gets its first task after that', async () => {
    const { dispatcher, submit, advance, starts } = createTestDispatcher();
    await advance(1_000);
    dispatcher.setEndpoints([entryOf('departed')]);
    expect(dispatcher.departures().map(({ entry, jobs }) => [entry.id, jobs])).toEqual([
      ['departed', undefined],
    ]);
    submit('j', 0);
    await advance(300);
    expect(starts).toEqual([]);
    await advance(150);
    expect(starts).toEqual(['j@departed']);
  });

  // A changed list: its earlier incarnation may still run tasks at the earlier address.
  it('include an endpoint that has moved to another address, which gets no task at the earlier one', async () => {
    const { dispatcher, submit, advance, starts } = createTestDispatcher();
    submit('j', 0);
    await advance(100);
    dispatcher.setEndpoints([{ ...entryOf('listed'), address: 'elsewhere:1' }]);
    submit('k', 0);
    await advance(100);
    const entry = { ...entryOf('listed'), isLeaving: true };
    expect(dispatcher.departures()).toEqual([{ entry, jobs: ['j'] }]);
    expect(starts).toEqual(['j@listed']);
  });
});
