import { describe, it } from 'node:test';
import { expect } from 'earl';
import { Result } from 'true-myth';
import { ErrorCodes } from '@celerybarrow/shared';
import {
  ProtocolError,
  type GatewayState,
  type RequestBody,
  type FleetMember,
  type Opinion,
  type PeerLink,
  type Reply,
  type RequestOptions,
  type RequestType,
  type View,
} from '@celerybarrow/protocol';
import { createElapsedClock, createManualTimer } from '@celerybarrow/timer';
import type { LogContext, Logger } from '@celerybarrow/telemetry';
import { createReplicatedDocuments } from '../src/replicatedDocuments.js';
import { createLeadership } from '../src/leadership.js';
import { createMembers } from '../src/members.js';
import { createPatience } from '../src/patience.js';
import { createStoreContact } from '../src/storeContact.js';
import { dispatcherKey } from '../src/storedView.js';
import { fenceOf } from '../src/views.js';
import { createFakeStore } from './fakeStore.js';

const HEARTBEAT = { intervalMs: 150, timeoutMs: 330, firstReplyTimeoutMs: 330 };
const ignore = () => undefined;
const logger: Logger = { debug: ignore, info: ignore, warn: ignore, error: ignore };

function member(name: string, incarnationNumber = 1): FleetMember {
  const incarnation = `${name}-${incarnationNumber}`;
  return { instance: name, incarnation, peer: '127.0.0.1:1', dataCentre: 'd', weight: 1 };
}

interface TestOptions {
  readonly dispatcher: FleetMember;
  readonly isRefused?: boolean;
  /** Whether requests fail with an unexpected error. */
  readonly isFailing?: boolean;
  /** Successive opinions of instance `c`; it does not answer further polls. */
  readonly opinions?: readonly Opinion[];
  readonly isStoreUnavailable?: boolean;
  /** Number of heartbeats that the dispatcher answers before it stops responding. */
  readonly answeredHeartbeats?: number;
  /** Further parts of the replies to heartbeats. */
  readonly reply?: Partial<Reply<'pulse'>>;
}

/** Starts instance `a`, whose connection to the dispatcher is still being opened, or is refused. */
async function startLeadership(options: TestOptions) {
  const timer = createManualTimer();
  /** How far the local wall clock has been stepped forward. */
  const wallClockStep = { ms: 0 };
  const clock = createElapsedClock({ ...timer, wallMs: () => timer.wallMs() + wallClockStep.ms });
  const members = createMembers(timer, logger);
  const store = createFakeStore();
  const requestTypes: string[] = [];
  const positions: (number | undefined)[] = [];
  /** What heartbeats told of this gateway, and what other gateways told this dispatcher. */
  const heard: (number | undefined)[] = [];
  const states: (GatewayState | undefined)[] = [];
  const cancellations: string[] = [];
  const lines: { sentence: string; context: LogContext }[] = [];
  const record = (sentence: string, context: LogContext = {}) => {
    lines.push({ sentence, context });
  };
  const { dispatcher, isRefused = false, opinions = [] } = options;

  function openLink(to: FleetMember): PeerLink {
    return {
      address: '',
      isConnected: () => options.answeredHeartbeats !== undefined,
      failedAttempts: () => 0,
      isRefused: () => isRefused,
      isGone: () => isRefused,
      request: async <T extends RequestType>(
        type: T,
        request: RequestBody<T>,
        { connectWaitMs, timeoutMs }: RequestOptions,
      ): Promise<Result<Reply<T>, ProtocolError>> => {
        requestTypes.push(type);
        if (options.isFailing === true) throw new RangeError('unexpected');
        const opinion =
          opinions[requestTypes.filter((requestType) => requestType === 'opinion').length - 1];
        if (type === 'opinion' && to.instance === 'c' && opinion !== undefined) {
          return Result.ok(opinion as Reply<T>);
        }
        const heartbeats = requestTypes.filter((requestType) => requestType === 'pulse').length;
        if (type === 'pulse' && heartbeats <= (options.answeredHeartbeats ?? 0)) {
          const { cancellationsAfter } = request as RequestBody<'pulse'>;
          positions.push(cancellationsAfter);
          heard.push((request as RequestBody<'pulse'>).heardMs);
          const reply = { isDispatching: true, documents: {}, waiting: {}, ...options.reply };
          return Result.ok(reply as unknown as Reply<T>);
        }
        await timer.sleep(
          options.answeredHeartbeats === undefined ? (connectWaitMs ?? 0) : timeoutMs,
        );
        return Result.err(new ProtocolError(ErrorCodes.PEER_UNREACHABLE));
      },
      close: ignore,
    };
  }

  const leadership = createLeadership({
    shard: 0,
    heartbeat: HEARTBEAT,
    self: member('a'),
    store,
    members,
    links: { to: openLink, isConnected: () => false, keepOnly: ignore, close: ignore },
    contact: createStoreContact(clock, logger),
    documents: createReplicatedDocuments(timer),
    patience: createPatience(timer),
    timer,
    clock,
    logger: { ...logger, info: record, warn: record },
    ranking: () => ({ precedingShards: 0, countDispatchedShards: () => 0 }),
    waiting: () => ({}),
    onHeartbeat: (_gateway, state) => states.push(state),
    cancellationsAfter: (position) => ({ jobs: ['j'].slice(position), position: 1 }),
    onCancellations: (jobs) => cancellations.push(...jobs),
  });
  members.addIfAbsent(member('c'));
  const view: View = { epoch: 3, round: 0, dispatcher };
  const key = dispatcherKey(0);
  await store.compareAndSwap(key, 0, JSON.stringify(view));
  leadership.applyStoredEntry({ key, value: JSON.stringify(view), revision: 1 });
  store.isUnavailable = options.isStoreUnavailable ?? false;
  leadership.start();
  const observed = { requestTypes, positions, heard, states, cancellations, lines };
  return { timer, leadership, wallClockStep, ...observed };
}

describe('a new dispatcher', () => {
  // After the loss of all instances, the first dispatcher was replaced 0.3 s after its election,
  // while it was still opening its connections to the endpoints.
  it('is not suspected while its first connections are being opened', async () => {
    const { timer, requestTypes, leadership } = await startLeadership({ dispatcher: member('b') });
    await timer.advance(320);
    expect(requestTypes.includes('opinion')).toEqual(false);
    await timer.advance(300);
    leadership.close();
    expect(requestTypes.includes('opinion')).toEqual(true);
  });

  it('is suspected at once when its address refuses the connection', async () => {
    const dispatcher = member('b');
    const { timer, requestTypes, leadership } = await startLeadership({
      dispatcher,
      isRefused: true,
    });
    await timer.advance(100);
    leadership.close();
    expect(requestTypes.includes('opinion')).toEqual(true);
  });
});

describe('a heartbeat that fails unexpectedly', () => {
  // Nobody waits for the reply to a heartbeat, so its error would have ended the process.
  it('does not end the process, and the next one is sent', async () => {
    const options = { dispatcher: member('b'), isFailing: true, answeredHeartbeats: 9 };
    const { timer, requestTypes, leadership } = await startLeadership(options);
    await timer.advance(200);
    leadership.close();
    const heartbeats = requestTypes.filter((requestType) => requestType === 'pulse').length;
    expect(heartbeats >= 2).toEqual(true);
  });
});

// Guards against a cancelled job that runs at the next dispatcher, which does not know of it yet.
describe('the heartbeats', () => {
  it('bring a gateway each cancellation once, and all of them again under a new view', async () => {
    const { timer, positions, cancellations, leadership } = await startLeadership({
      dispatcher: member('b'),
      answeredHeartbeats: 5,
      reply: { cancellations: { jobs: ['j'], position: 7 } },
    });
    await timer.advance(10);
    expect(cancellations).toEqual(['j']);
    await timer.advance(HEARTBEAT.intervalMs);
    const view: View = { epoch: 4, round: 0, dispatcher: member('b') };
    leadership.applyStoredEntry({
      key: dispatcherKey(0),
      value: JSON.stringify(view),
      revision: 2,
    });
    await timer.advance(HEARTBEAT.intervalMs);
    leadership.close();
    // A gateway sends a heartbeat at once when its dispatcher has a new token, and one at the interval.
    expect(positions).toEqual([0, 7, 0, 7]);
  });

  it('tell a dispatcher the newest time on its clock that it has answered', async () => {
    const { timer, heard, leadership } = await startLeadership({
      dispatcher: member('b'),
      answeredHeartbeats: 5,
      reply: { clockMs: 70 },
    });
    await timer.advance(HEARTBEAT.intervalMs + 10);
    leadership.close();
    expect(heard).toEqual([undefined, 70]);
  });

  it('do not tell an earlier time to a dispatcher that is named again after another one', async () => {
    const { timer, heard, leadership } = await startLeadership({
      dispatcher: member('b'),
      answeredHeartbeats: 5,
      reply: { clockMs: 70 },
    });
    await timer.advance(10);
    const [afterC, again] = ['c', 'b'].map((name, index) => ({
      key: dispatcherKey(0),
      value: JSON.stringify({ epoch: 4 + index, round: 0, dispatcher: member(name) }),
      revision: 2 + index,
    }));
    if (afterC === undefined || again === undefined) throw new Error('no views');
    leadership.applyStoredEntry(afterC);
    leadership.applyStoredEntry(again);
    expect(leadership.gatewayState()?.heardMs).toEqual(undefined);
    await timer.advance(HEARTBEAT.intervalMs);
    leadership.close();
    expect(heard).toEqual([undefined, undefined]);
  });

  // The lease that a dispatcher grants from them ends also if the link is cut in one direction only.
  it('get the time of the dispatcher, and tell it what their sender knew', async () => {
    const { timer, states, leadership } = await startLeadership({ dispatcher: member('a') });
    await timer.advance(20);
    const view: View = { epoch: 3, round: 0, dispatcher: member('a') };
    const pulse = { shard: 0, versions: {}, view };
    const greeting = { version: 2, instance: 'c', incarnation: 'c', dataCentre: 'd' };
    const reply = leadership.handlePulse({ ...pulse, heardMs: 5, unanswered: 2 }, greeting);
    leadership.handlePulse(pulse, greeting);
    leadership.close();
    expect(reply.clockMs).toEqual(20);
    expect(states).toEqual([{ fence: fenceOf(view), heardMs: 5, unanswered: 2 }, undefined]);
  });

  it('get the cancellations after their position from a dispatcher', async () => {
    const { leadership } = await startLeadership({ dispatcher: member('a') });
    const pulse = { shard: 0, versions: {}, view: { epoch: 3, round: 0, dispatcher: member('a') } };
    const greeting = { version: 2, instance: 'c', incarnation: 'c', dataCentre: 'd' };
    const replies = [0, 1, undefined].map((cancellationsAfter) =>
      leadership.handlePulse({ ...pulse, cancellationsAfter }, greeting),
    );
    leadership.close();
    expect(replies.map(({ cancellations }) => cancellations)).toEqual([
      { jobs: ['j'], position: 1 },
      undefined,
      undefined,
    ]);
  });
});

describe('a partitioned dispatcher', () => {
  // Jobs handed over after the partition began were lost, because the gateway could not tell whether
  // they had arrived.
  it('gets no more jobs once a heartbeat reply is overdue, before it is suspected', async () => {
    const options = { dispatcher: member('b'), answeredHeartbeats: 2 };
    const { timer, requestTypes, leadership } = await startLeadership(options);
    await timer.advance(200);
    expect(leadership.isDispatcherReachable()).toEqual(true);
    await timer.advance(210);
    expect(leadership.isDispatcherReachable()).toEqual(false);
    leadership.close();
    expect(requestTypes.includes('opinion')).toEqual(false);
  });
});

describe('a takeover', () => {
  // After the loss of all instances no peer answers yet, and polling them took 0.2 s.
  it('polls no peers when the dispatcher was an earlier incarnation of this instance', async () => {
    const dispatcher = member('a', 0);
    const { timer, requestTypes, leadership } = await startLeadership({ dispatcher });
    await timer.advance(20);
    leadership.close();
    expect(requestTypes.includes('opinion')).toEqual(false);
    expect(leadership.isDispatching()).toEqual(true);
    expect(leadership.view()?.epoch).toEqual(4);
  });

  // A closed instance would otherwise start to dispatch, and its timers would never stop.
  it('that completes after the instance has closed has no effect on it', async () => {
    const { timer, leadership } = await startLeadership({ dispatcher: member('a', 0) });
    leadership.close();
    await timer.advance(20);
    expect(leadership.isDispatching()).toEqual(false);
  });

  // After a data centre was partitioned, 0.5 s passed before the peers were polled again.
  it('polls again at once when this instance has just found the store unreachable', async () => {
    const { timer, leadership } = await startLeadership({
      dispatcher: member('b'),
      isStoreUnavailable: true,
      opinions: [
        { isStoreReachable: true, isStopping: false },
        { isStoreReachable: false, isStopping: false },
      ],
      isRefused: true,
    });
    await timer.advance(100);
    leadership.close();
    expect(leadership.view()?.round).toEqual(1);
  });

  // Tasks of the lost dispatcher may run until their leases expire. A takeover before that could run
  // them twice.
  it('of a disconnected instance does not happen early when the wall clock is stepped forward', async () => {
    const dispatcher = member('b');
    const options = { dispatcher, isStoreUnavailable: true, isRefused: true };
    const { timer, leadership, wallClockStep } = await startLeadership(options);
    await timer.advance(400);
    wallClockStep.ms = 2_000;
    await timer.advance(600);
    expect(leadership.view()?.round).toEqual(0);
    await timer.advance(1_000);
    leadership.close();
    expect(leadership.view()?.round).toEqual(1);
  });
});

// Guards against a raise of the fencing token whose cause no line tells.
describe('the log of a dispatcher whose fencing token changes', () => {
  const greeting = { version: 2, instance: 'c', incarnation: 'c-1', dataCentre: 'd' };
  const own: View = { epoch: 3, round: 0, dispatcher: member('a') };
  const apart: View = { epoch: 3, round: 1, dispatcher: member('c') };

  it('names the peer and the view that caused it, and both tokens', async () => {
    const { timer, lines, leadership } = await startLeadership({ dispatcher: member('a') });
    leadership.handlePulse({ shard: 0, versions: {}, view: apart }, greeting);
    await timer.advance(10);
    leadership.close();
    const contextOf = (title: string) => lines.find(({ sentence }) => sentence === title)?.context;
    const { peer, peerDispatcher, peerFence, ...raised } = contextOf('Fence is raised.') ?? {};
    expect([peer, peerDispatcher, peerFence]).toEqual(['c', 'c', fenceOf(apart)]);
    expect([raised['earlierFence'], raised['fence']]).toEqual([3 * 2 ** 20, 4 * 2 ** 20]);
    const adopted = lines.filter(({ sentence }) => sentence === 'Dispatcher is known.').at(-1);
    const { source, wasDispatching, isDispatching, earlierFence } = adopted?.context ?? {};
    expect([source, wasDispatching, isDispatching]).toEqual(['raised fence', true, true]);
    expect(earlierFence).toEqual(fenceOf(own));
  });

  it('names the endpoint that obeys another dispatcher', async () => {
    const { timer, lines, leadership } = await startLeadership({ dispatcher: member('a') });
    leadership.handleFenced('e1');
    await timer.advance(10);
    leadership.close();
    const line = lines.find(({ sentence }) => sentence === 'Fence is raised.');
    expect(line?.context['endpoint']).toEqual('e1');
  });

  it('names the instance that ceded, and contains no raise that a newer view has overtaken', async () => {
    const { timer, lines, leadership } = await startLeadership({ dispatcher: member('a') });
    const taken: View = { epoch: 9, round: 0, dispatcher: member('b') };
    leadership.handleFenced('e1');
    leadership.handleTakeOver({ shard: 0, view: taken }, greeting);
    await timer.advance(10);
    leadership.close();
    expect(lines.some(({ sentence }) => sentence === 'Fence is raised.')).toEqual(false);
    const adopted = lines.filter(({ sentence }) => sentence === 'Dispatcher is known.').at(-1);
    const { source, peer, wasDispatching, isDispatching } = adopted?.context ?? {};
    expect([source, peer, wasDispatching, isDispatching]).toEqual(['cession', 'c', true, false]);
  });

  it('contains each gateway with an older view once, and a limited number of them', async () => {
    const { lines, leadership } = await startLeadership({ dispatcher: member('a') });
    const view = { ...own, epoch: 2 };
    for (let beat = 0; beat < 40; beat += 1) {
      const instance = `g${beat % 20}`;
      leadership.handlePulse({ shard: 0, versions: {}, view }, { ...greeting, instance });
      leadership.handlePulse({ shard: 0, versions: {}, view: own }, { ...greeting, instance });
    }
    leadership.close();
    const named = lines.filter(({ sentence }) => sentence === 'Heartbeat names another view.');
    expect(named.length).toEqual(8);
    const { peer, isNewer, peerFence, fence } = named[0]?.context ?? {};
    expect([peer, isNewer, peerFence, fence]).toEqual(['g0', false, fenceOf(view), fenceOf(own)]);
  });

  it('contains a newer view of a gateway although many gateways have an older one', async () => {
    const { lines, leadership } = await startLeadership({ dispatcher: member('a') });
    for (const [index, view] of [...Array<View>(20).fill({ ...own, epoch: 2 }), apart].entries()) {
      const instance = `g${index}`;
      leadership.handlePulse({ shard: 0, versions: {}, view }, { ...greeting, instance });
    }
    leadership.close();
    const newer = lines.filter(({ context }) => context['isNewer'] === true);
    expect(newer.map(({ context }) => context['peer'])).toEqual(['g20']);
  });
});
