/**
 * Simulates a fleet in virtual time whose instances process messages one after another. A dispatcher
 * has the work of its shard, and a new one also has to open connections and to take over jobs, so its
 * replies come late. Links and the store have no faults.
 */
import { Result } from 'true-myth';
import {
  ProtocolError,
  type FleetMember,
  type Greeting,
  type PeerLink,
  type RequestBody,
  type RequestType,
} from '@celerybarrow/protocol';
import { ErrorCodes } from '@celerybarrow/shared';
import { createElapsedClock, createManualTimer } from '@celerybarrow/timer';
import type { Logger } from '@celerybarrow/telemetry';
import { createLeadership, type Leadership } from '../src/leadership.js';
import { createMembers } from '../src/members.js';
import { createPatience } from '../src/patience.js';
import { createReplicatedDocuments } from '../src/replicatedDocuments.js';
import { createStoreContact } from '../src/storeContact.js';
import { dispatcherKey } from '../src/storedView.js';
import { createFakeStore } from './fakeStore.js';

const HEARTBEAT = { intervalMs: 220, timeoutMs: 460, firstReplyTimeoutMs: 1_000 };
const LATENCY_MS = 1;
const MESSAGE_COST_MS = 0.5;
const WORK_INTERVAL_MS = 50;
const ignore = () => undefined;
const logger: Logger = { debug: ignore, info: ignore, warn: ignore, error: ignore };

export interface BusyFleetOptions {
  readonly instances: number;
  /** Share of the processor that the work of the shard takes at its dispatcher. */
  readonly load: number;
  /** Processor time that an instance needs when it becomes the dispatcher. */
  readonly takeoverCostMs: number;
}

interface Host {
  readonly leadership: Leadership;
  busyUntilMs: number;
}

export async function startBusyFleet(options: BusyFleetOptions) {
  const timer = createManualTimer();
  const clock = createElapsedClock(timer);
  const store = createFakeStore();
  const hosts = new Map<string, Host>();
  const killed = new Set<string>();
  let views = 0;

  /** Runs work at a host after all work that it already has. */
  function process(host: Host, costMs: number, work: () => void): void {
    host.busyUntilMs = Math.max(timer.nowMs(), host.busyUntilMs) + costMs;
    timer.onAfter(host.busyUntilMs - timer.nowMs(), work);
  }

  function handle(to: Host, type: RequestType, body: unknown, peer: Greeting): unknown {
    const { leadership } = to;
    if (type === 'pulse') return leadership.handlePulse(body as RequestBody<'pulse'>, peer);
    return leadership.handleOpinion(body as RequestBody<'opinion'>);
  }

  function openLink(from: FleetMember, to: FleetMember): PeerLink {
    const isLost = () => killed.has(to.instance);
    const request = (type: RequestType, body: unknown, { timeoutMs }: { timeoutMs: number }) =>
      new Promise((resolve) => {
        const [caller, callee] = [hosts.get(from.instance), hosts.get(to.instance)];
        const fail = () => {
          resolve(Result.err(new ProtocolError(ErrorCodes.PEER_SILENT)));
        };
        if (caller === undefined || callee === undefined || isLost()) {
          fail();
          return;
        }
        timer.onAfter(timeoutMs, fail);
        const greeting = { ...from, version: 1 };
        timer.onAfter(LATENCY_MS, () => {
          process(callee, MESSAGE_COST_MS, () => {
            if (isLost()) return;
            const reply = handle(callee, type, body, greeting);
            timer.onAfter(LATENCY_MS, () => {
              process(caller, MESSAGE_COST_MS, () => {
                resolve(Result.ok(reply));
              });
            });
          });
        });
      });
    return {
      address: '',
      isConnected: () => !isLost(),
      failedAttempts: () => 0,
      isRefused: () => false,
      isGone: () => false,
      request: request as unknown as PeerLink['request'],
      close: ignore,
    };
  }

  const fleetMembers = Array.from({ length: options.instances }, (_none, index): FleetMember => {
    const instance = `i${index}`;
    const place = { peer: '127.0.0.1:1', dataCentre: `d${index % 3}` };
    return { instance, incarnation: instance, ...place, weight: 1 };
  });

  function startHost(self: FleetMember): Host {
    const members = createMembers(timer, logger);
    for (const member of fleetMembers) members.addIfAbsent(member);
    const leadership = createLeadership({
      shard: 0,
      heartbeat: HEARTBEAT,
      self,
      store,
      members,
      links: {
        to: (member) => openLink(self, member),
        isConnected: (incarnation) => !killed.has(incarnation),
        keepOnly: ignore,
        close: ignore,
      },
      contact: createStoreContact(clock, logger),
      documents: createReplicatedDocuments(timer),
      patience: createPatience(timer),
      timer,
      clock,
      logger,
      ranking: () => ({ precedingShards: 0, countDispatchedShards: () => 0 }),
      waiting: () => ({}),
      onHeartbeat: ignore,
      cancellationsAfter: (position) => ({ jobs: [], position }),
      onCancellations: ignore,
    });
    const host: Host = { leadership, busyUntilMs: 0 };
    leadership.onView(({ dispatcher }) => {
      if (dispatcher.instance !== self.instance) return;
      views += 1;
      process(host, options.takeoverCostMs, ignore);
    });
    return host;
  }

  const [first] = fleetMembers;
  const value = JSON.stringify({ epoch: 1, round: 0, dispatcher: first });
  await store.compareAndSwap(dispatcherKey(0), 0, value);
  for (const self of fleetMembers) hosts.set(self.instance, startHost(self));
  for (const { leadership } of hosts.values()) {
    leadership.applyStoredEntry({ key: dispatcherKey(0), value, revision: 1 });
    leadership.start();
  }
  timer.onEvery(WORK_INTERVAL_MS, () => {
    for (const host of hosts.values())
      if (host.leadership.isDispatching()) process(host, WORK_INTERVAL_MS * options.load, ignore);
  });

  const dispatchers = () =>
    [...hosts].filter(([name, host]) => host.leadership.isDispatching() && !killed.has(name));

  return {
    timer,
    /** Returns how often an instance has become the dispatcher. */
    views: () => views,
    dispatchers: () => dispatchers().map(([name]) => name),
    keepDispatcherBusy(forMs: number) {
      for (const [, host] of dispatchers()) process(host, forMs, ignore);
    },
    killDispatcher() {
      for (const [name] of dispatchers()) killed.add(name);
    },
    close() {
      for (const { leadership } of hosts.values()) leadership.close();
    },
  };
}
