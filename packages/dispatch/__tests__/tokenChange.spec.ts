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
import {
  JobStates,
  type GatewayState,
  type JobOutcome,
  type LeasedJob,
} from '@celerybarrow/protocol';
import { createRandom, ErrorCodes } from '@celerybarrow/shared';
import { createMetrics, type Logger } from '@celerybarrow/telemetry';
import { createElapsedClock, createManualTimer } from '@celerybarrow/timer';
import { createDispatcher, type Dispatcher } from '../src/index.js';

const HEARTBEAT_MS = 50;
const GATEWAY = 'g';
/** Older than any lease of a gateway. */
const SETTLED_MS = 3_000;
const FIRST_TOKEN = 1;
/** Token of a dispatcher that the endpoints obey for a while. */
const OTHER_TOKEN = 2;
const RAISED_TOKEN = 3;
const opened: Dispatcher[] = [];

afterEach(() => {
  for (const dispatcher of opened.splice(0)) dispatcher.close();
});

function entryOf(id: string): EndpointEntry {
  const capacity = { cores: 4_000, memoryMb: 64, accelerators: 0 };
  const place = { service: 's', dataCentre: 'd', isLeaving: false, labels: [] };
  return { id, address: `${id}:1`, ...place, capacity };
}

const job: LeasedJob = {
  id: 'j',
  team: 't',
  service: 's',
  priority: 0,
  maxAttempts: 1,
  objectiveStretch: 1.6,
  objectiveAllowanceMs: 60,
  payload: '',
  steps: [
    {
      tasks: 1,
      demand: { cores: 1_000, memoryMb: 1, accelerators: 0 },
      estimateMs: 100,
      after: [],
    },
  ],
  ageMs: 0,
  remainingMs: 5_000,
};

/** Creates a dispatcher with two endpoints, of which `slow` takes longer to report. */
async function createSettledDispatcher() {
  const timer = createManualTimer();
  const clock = createElapsedClock(timer);
  const ignore = () => undefined;
  const logger: Logger = { debug: ignore, info: ignore, warn: ignore, error: ignore };
  const starts: string[] = [];
  const silent = new Set<string>();
  const running: Record<string, RunningTask[]> = { fast: [], slow: [] };
  const tokens = { own: FIRST_TOKEN, highest: FIRST_TOKEN };
  const obeys = (fence: number) => {
    tokens.highest = Math.max(tokens.highest, fence);
    return fence === tokens.highest;
  };
  const network: EndpointNetwork = {
    open: ({ id }) => ({
      async start({ task, fence }) {
        await timer.sleep(1);
        if (!obeys(fence)) return Result.ok(OrderAnswers.FENCED);
        starts.push(`${task.job}@${id}`);
        return Result.ok(OrderAnswers.ACCEPTED);
      },
      async stop({ task }) {
        await timer.sleep(1);
        running[id] = (running[id] ?? []).filter((listed) => listed.task.job !== task.job);
        return Result.ok(OrderAnswers.ACCEPTED);
      },
      async renew({ fence, waitMs }) {
        await timer.sleep((id === 'slow' ? 40 : 1) + waitMs);
        if (silent.has(id)) return Result.err(new EndpointError(ErrorCodes.ENDPOINT_SILENT));
        if (!obeys(fence)) return Result.ok({ answer: OrderAnswers.FENCED });
        const report = { clockMs: timer.nowMs(), bornMs: 1, running: [...(running[id] ?? [])] };
        return Result.ok({ answer: OrderAnswers.ACCEPTED, report: { ...report, ended: [] } });
      },
      close: ignore,
    }),
  };
  const dispatcher = createDispatcher({
    network,
    timer,
    clock,
    random: createRandom(1),
    logger,
    metrics: createMetrics(),
    fence: () => tokens.own,
    onFenced: ignore,
  });
  opened.push(dispatcher);
  dispatcher.setEndpoints([entryOf('fast'), entryOf('slow')]);
  const outcomes: JobOutcome[] = [];
  const gateway: GatewayState = { fence: FIRST_TOKEN, heardMs: 0, unanswered: 0 };
  const stateOf = (changes: Partial<GatewayState>): GatewayState => ({
    ...gateway,
    heardMs: Math.floor(clock.nowMs()),
    ...changes,
  });
  const fleet = {
    timer,
    starts,
    silent,
    running,
    tokens,
    outcomes,
    submit(changes: Partial<GatewayState> = {}, incarnation = 'g1') {
      const sender = stateOf(changes);
      const submission = { job, gateway: GATEWAY, incarnation, sender, resubmissions: 0 };
      void dispatcher.submit(submission).then((outcome) => outcomes.push(outcome));
    },
    /** Advances the time, with heartbeats of the gateway that say the same. */
    async advance(ms: number, changes: Partial<GatewayState> = {}, incarnation = 'g1') {
      for (let passed = 0; passed < ms; passed += HEARTBEAT_MS) {
        dispatcher.renewGatewayLease(GATEWAY, { incarnation, sender: stateOf(changes) });
        await timer.advance(HEARTBEAT_MS);
      }
    },
    /** Lets the job wait: the endpoints obey another dispatcher. */
    async fenceOff() {
      tokens.highest = OTHER_TOKEN;
      await fleet.advance(2_000);
      fleet.submit();
      await fleet.advance(100);
    },
  };
  await fleet.advance(SETTLED_MS);
  return fleet;
}

const runOfOther: RunningTask = { task: { job: 'j', step: 0, index: 0 }, run: 101, percent: 10 };

describe('a job that waits when the fencing token of its dispatcher is raised', () => {
  it('does not start beside a run that another dispatcher started under a token in between', async () => {
    const { fenceOff, starts, running, tokens, advance, submit } = await createSettledDispatcher();
    await fenceOff();
    running['slow'] = [runOfOther];
    tokens.own = RAISED_TOKEN;
    await advance(100, { fence: RAISED_TOKEN, unanswered: 1 });
    submit({ fence: RAISED_TOKEN, unanswered: 1 });
    await advance(150, { fence: RAISED_TOKEN, unanswered: 1 });
    expect(starts).toEqual([]);
    expect(running['slow']).toEqual([runOfOther]);
  });

  it('starts once its gateway has confirmed it and all endpoints have reported', async () => {
    const { fenceOff, starts, tokens, advance } = await createSettledDispatcher();
    await fenceOff();
    tokens.own = RAISED_TOKEN;
    await advance(100);
    expect(starts).toEqual([]);
    await advance(100, { fence: RAISED_TOKEN });
    expect(starts).toEqual(['j@fast']);
  });

  // A job that nobody else has is not lost because one endpoint is down.
  it('starts without the report of a silent endpoint if its gateway has confirmed it', async () => {
    const { fenceOff, starts, silent, tokens, advance } = await createSettledDispatcher();
    await fenceOff();
    silent.add('slow');
    tokens.own = RAISED_TOKEN;
    await advance(500, { fence: RAISED_TOKEN });
    expect(starts).toEqual(['j@fast']);
  });

  it('does not start if its gateway has handed it over elsewhere', async () => {
    const { fenceOff, starts, outcomes, tokens, advance } = await createSettledDispatcher();
    await fenceOff();
    tokens.own = RAISED_TOKEN;
    await advance(1_500, { fence: RAISED_TOKEN, unanswered: 1 });
    expect(starts).toEqual([]);
    expect(outcomes.map(({ state }) => state)).toEqual([JobStates.LOST]);
  });
});

describe('a submission that arrives long after it was sent', () => {
  it('does not start before its gateway has confirmed it', async () => {
    const { starts, submit, advance, timer } = await createSettledDispatcher();
    submit({ heardMs: 0 });
    await timer.advance(HEARTBEAT_MS);
    expect(starts).toEqual([]);
    await advance(100);
    expect(starts).toEqual(['j@fast']);
  });

  it('does not start if its gateway has handed it over elsewhere', async () => {
    const { starts, outcomes, submit, advance } = await createSettledDispatcher();
    submit({ heardMs: 0 });
    await advance(1_500, { unanswered: 1 });
    expect(starts).toEqual([]);
    expect(outcomes.map(({ state }) => state)).toEqual([JobStates.LOST]);
  });

  it('does not start if it was sent under an earlier token and is not confirmed', async () => {
    const { starts, submit, tokens, advance } = await createSettledDispatcher();
    tokens.own = RAISED_TOKEN;
    submit();
    await advance(500);
    expect(starts).toEqual([]);
  });
});

describe('the lease of a gateway', () => {
  it('is not renewed by heartbeats whose sender hears nothing of the dispatcher', async () => {
    const { starts, outcomes, submit, advance } = await createSettledDispatcher();
    submit();
    await advance(100);
    expect(starts).toEqual(['j@fast']);
    await advance(1_000, { heardMs: SETTLED_MS });
    expect(outcomes.map(({ reason }) => reason)).toEqual(['its gateway is silent']);
  });

  it('ends for the jobs of an earlier incarnation when the gateway has restarted', async () => {
    const { outcomes, submit, advance } = await createSettledDispatcher();
    submit();
    await advance(100);
    await advance(100, {}, 'g2');
    expect(outcomes.map(({ reason }) => reason)).toEqual(['its gateway is silent']);
  });
});
