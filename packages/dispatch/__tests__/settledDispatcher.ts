/** A dispatcher with two endpoints and one gateway, long after its start, whose token can be changed. */
import { Result } from 'true-myth';
import {
  EndpointError,
  OrderAnswers,
  type EndpointEntry,
  type EndpointNetwork,
  type RunningTask,
} from '@celerybarrow/endpoints';
import { type GatewayState, type JobOutcome, type LeasedJob } from '@celerybarrow/protocol';
import { createRandom, ErrorCodes } from '@celerybarrow/shared';
import { createMetrics, type Logger } from '@celerybarrow/telemetry';
import { createElapsedClock, createManualTimer } from '@celerybarrow/timer';
import { createDispatcher, type Dispatcher, type Submission } from '../src/index.js';

export const HEARTBEAT_MS = 50;
export const GATEWAY = 'g';
/** Older than any lease of a gateway. */
export const SETTLED_MS = 3_000;
export const FIRST_TOKEN = 1;
/** Token of a dispatcher that the endpoints obey for a while. */
export const OTHER_TOKEN = 2;
export const RAISED_TOKEN = 3;
const opened: Dispatcher[] = [];

export function closeDispatchers(): void {
  for (const dispatcher of opened.splice(0)) dispatcher.close();
}

export function entryOf(id: string): EndpointEntry {
  const capacity = { cores: 4_000, memoryMb: 64, accelerators: 0 };
  const place = { service: 's', dataCentre: 'd', isLeaving: false, labels: [] };
  return { id, address: `${id}:1`, ...place, capacity };
}

export const job: LeasedJob = {
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
      estimateMs: 2_000,
      after: [],
    },
  ],
  ageMs: 0,
  remainingMs: 5_000,
};

/** Creates a dispatcher with two endpoints, of which `slow` takes longer to report. */
export async function createSettledDispatcher() {
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
      async start({ task, run, fence }) {
        await timer.sleep(1);
        if (!obeys(fence)) return Result.ok(OrderAnswers.FENCED);
        starts.push(`${task.job}@${id}`);
        running[id] = [...(running[id] ?? []), { task, run, percent: 0 }];
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
      fleet.submitAs({ incarnation, sender: stateOf(changes) });
    },
    submitAs(changes: Partial<Submission>) {
      const submission = { job, gateway: GATEWAY, incarnation: 'g1', resubmissions: 0, ...changes };
      void dispatcher.submit(submission).then((outcome) => outcomes.push(outcome));
    },
    stateOf,
    renew: dispatcher.renewGatewayLease,
    setEndpoints: dispatcher.setEndpoints,
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
