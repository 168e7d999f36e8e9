import { afterEach, describe, it } from 'node:test';
import { expect } from 'earl';
import { Result } from 'true-myth';
import { OrderAnswers, type EndpointNetwork, type RunningTask } from '@celerybarrow/endpoints';
import type { GatewayState } from '@celerybarrow/protocol';
import { createRandom } from '@celerybarrow/shared';
import { createMetrics, type Logger } from '@celerybarrow/telemetry';
import { createElapsedClock, createManualTimer } from '@celerybarrow/timer';
import { createDispatcher, type Dispatcher } from '../src/index.js';
import {
  entryOf,
  FIRST_TOKEN,
  HEARTBEAT_MS,
  job,
  OTHER_TOKEN,
  RAISED_TOKEN,
  SETTLED_MS,
} from './settledDispatcher.js';

/** Callers submit a job again after this time. */
const CALLER_RESUBMITS_MS = 1_300;
const opened: Dispatcher[] = [];

afterEach(() => {
  for (const dispatcher of opened.splice(0)) dispatcher.close();
});

/**
 * Creates two dispatchers that are cut off from each other. Each reaches one endpoint: `a` obeys the
 * one whose token is raised, `b` the one apart.
 */
async function createSeparatedDispatchers() {
  const timer = createManualTimer();
  const clock = createElapsedClock(timer);
  const ignore = () => undefined;
  const logger: Logger = { debug: ignore, info: ignore, warn: ignore, error: ignore };
  const running: Record<string, RunningTask[]> = { a: [], b: [] };
  const overlaps: string[] = [];
  const tokens = { raised: FIRST_TOKEN, apart: OTHER_TOKEN };
  const network: EndpointNetwork = {
    open: ({ id }) => ({
      async start({ task, run }) {
        await timer.sleep(1);
        running[id] = [...(running[id] ?? []), { task, run, percent: 0 }];
        const places = Object.keys(running).filter((place) => running[place]?.length !== 0);
        if (places.length > 1) overlaps.push(`${task.job} at ${places.join(' and ')}`);
        return Result.ok(OrderAnswers.ACCEPTED);
      },
      async stop({ task }) {
        await timer.sleep(1);
        running[id] = (running[id] ?? []).filter((listed) => listed.task.job !== task.job);
        return Result.ok(OrderAnswers.ACCEPTED);
      },
      async renew({ waitMs }) {
        await timer.sleep(1 + waitMs);
        const report = { clockMs: timer.nowMs(), bornMs: 1, running: [...(running[id] ?? [])] };
        return Result.ok({ answer: OrderAnswers.ACCEPTED, report: { ...report, ended: [] } });
      },
      close: ignore,
    }),
  };
  const open = (id: string, fence: () => number): Dispatcher => {
    const random = createRandom(1);
    const metrics = createMetrics();
    const common = { network, timer, clock, random, logger, metrics };
    const dispatcher = createDispatcher({ ...common, fence, onFenced: ignore });
    opened.push(dispatcher);
    dispatcher.setEndpoints([entryOf(id)]);
    return dispatcher;
  };
  const raised = open('a', () => tokens.raised);
  const apart = open('b', () => tokens.apart);
  const nowMs = () => Math.floor(clock.nowMs());
  const senderOf = (fence: number): GatewayState => ({ fence, heardMs: nowMs(), unanswered: 0 });
  const fleet = {
    timer,
    tokens,
    running,
    overlaps,
    submitToRaised() {
      const sender = senderOf(tokens.raised);
      void raised.submit({ job, gateway: 'g', incarnation: 'g1', sender, resubmissions: 0 });
    },
    submitApart() {
      const sender = senderOf(tokens.apart);
      void apart.submit({ job, gateway: 'h', incarnation: 'h1', sender, resubmissions: 0 });
    },
    async advance(ms: number, isGatewayAlive = true) {
      for (let passed = 0; passed < ms; passed += HEARTBEAT_MS) {
        const message = { incarnation: 'g1', sender: senderOf(tokens.raised) };
        if (isGatewayAlive) raised.renewGatewayLease('g', message);
        apart.renewGatewayLease('h', { incarnation: 'h1', sender: senderOf(tokens.apart) });
        await timer.advance(HEARTBEAT_MS);
      }
    },
  };
  await fleet.advance(SETTLED_MS);
  return fleet;
}

describe('a job whose gateway is lost and whose caller submits it again at a dispatcher apart', () => {
  it('does not run twice if its dispatcher raises its token after the loss', async () => {
    const { submitToRaised, submitApart, advance, tokens, running, overlaps } =
      await createSeparatedDispatchers();
    submitToRaised();
    await advance(100);
    expect(running['a']?.length).toEqual(1);
    // The gateway is lost. Before its lease ends, the dispatcher raises its token.
    await advance(650, false);
    tokens.raised = RAISED_TOKEN;
    await advance(CALLER_RESUBMITS_MS - 650, false);
    submitApart();
    await advance(100, false);
    expect(running['b']?.length).toEqual(1);
    expect(overlaps).toEqual([]);
  });
});
