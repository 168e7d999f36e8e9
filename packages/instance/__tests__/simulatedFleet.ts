/**
 * Simulates gateways, dispatchers that replace each other, and callers that submit again, in virtual
 * time over simulated endpoints. All faults are drawn from one seed. The store is not simulated and
 * always reachable: a dispatcher whose fencing token is rejected closes soon, and a new one receives
 * the full list of endpoints.
 */
import { Result } from 'true-myth';
import { createDispatcher, type Dispatcher } from '@celerybarrow/dispatch';
import { createEntry, type Entry } from '@celerybarrow/entry';
import type { EndpointEntry } from '@celerybarrow/endpoints';
import type { Leadership } from '@celerybarrow/leadership';
import {
  JobStates,
  ProtocolError,
  type JobOutcome,
  type LeasedJob,
  type PeerLink,
  type View,
} from '@celerybarrow/protocol';
import { createRandom, ErrorCodes } from '@celerybarrow/shared';
import { createMetrics, type Logger } from '@celerybarrow/telemetry';
import { createElapsedClock, createManualTimer } from '@celerybarrow/timer';
import { createSimulatedEndpoints, type SimulatedEndpoint } from './simulatedEndpoints.js';

const GATEWAYS = 2;
const FAULTS_UNTIL_MS = 5_000;
const DURATION_MS = 9_000;
const CALLER_DEADLINE_MS = 1_530;
const RESUBMIT_DELAY_MS = 1_300;
const HEARTBEAT_INTERVAL_MS = 220;
const FENCES_PER_EPOCH = 1_024;

export const FaultKinds = [
  'calls',
  'crashes',
  'cuts',
  'takeovers',
  'directory',
  'callers',
] as const;
export type FaultKind = (typeof FaultKinds)[number];

interface RunningDispatcher {
  readonly view: View;
  readonly dispatcher: Dispatcher;
  /** Whether gateways no longer receive answers from it. */
  isUnreachable: boolean;
  /** Whether it has read the full list of endpoints itself. */
  isListCurrent: boolean;
  readonly onUnreachable: Set<() => void>;
}

export interface SimulationResult {
  readonly overlaps: readonly string[];
  readonly starts: number;
  readonly outcomes: Readonly<Record<string, number>>;
}

export async function simulateFleet(
  seed: number,
  kinds: ReadonlySet<FaultKind> = new Set(FaultKinds),
  trace: (line: string) => void = () => undefined,
): Promise<SimulationResult> {
  const timer = createManualTimer();
  const random = createRandom(seed);
  const randomBetween = (min: number, max: number) => min + (max - min) * random.next();
  const chance = (probability: number) => random.next() < probability;
  const pick = <T>(items: readonly T[]) => items[Math.floor(random.next() * items.length)] as T;
  const traceEvent = (sentence: string, details: object = {}) => {
    trace(`${timer.nowMs().toFixed(0)} ${sentence} ${JSON.stringify(details)}`);
  };
  const logger: Logger = {
    debug: traceEvent,
    info: traceEvent,
    warn: traceEvent,
    error: traceEvent,
  };
  const count = 3 + Math.floor(random.next() * 3);
  const traits = {
    rejectsByOrderLease: chance(0.5),
    maxTaskMs: randomBetween(100, 1_000),
    failureProbability: 0.05,
  };
  traceEvent('endpoints', { count, ...traits });
  const endpoints = createSimulatedEndpoints(count, timer, random, traits, trace);
  const outcomes: Record<string, number> = {};
  const leaving = new Set<SimulatedEndpoint>();
  let current = startDispatcher(1, endpoints.all);
  const views = Array.from({ length: GATEWAYS }, () => current);
  const gateways = views.map((_view, number) => createGateway(number));

  function startDispatcher(epoch: number, listed: readonly SimulatedEndpoint[]): RunningDispatcher {
    const instance = `d${epoch}`;
    const member = { instance, incarnation: instance, peer: '', dataCentre: 'd', weight: 1 };
    const dispatcher = createDispatcher({
      network: endpoints.network,
      timer,
      clock: createElapsedClock(timer),
      random,
      logger,
      metrics: createMetrics(),
      fence: () => epoch * FENCES_PER_EPOCH,
      // The dispatcher finds its successor in the store and closes.
      onFenced: () => {
        timer.onAfter(randomBetween(5, 50), () => {
          dispatcher.close();
        });
      },
      isListCurrent: () => started.isListCurrent,
    });
    dispatcher.setEndpoints(listed.map(entryOf));
    const view = { epoch, round: 0, dispatcher: member };
    const isListCurrent = listed.length === endpoints.all.length;
    const started: RunningDispatcher = {
      view,
      dispatcher,
      isUnreachable: false,
      isListCurrent,
      onUnreachable: new Set(),
    };
    return started;
  }

  function createLink(to: RunningDispatcher): PeerLink {
    const timeOutError = () => Result.err(new ProtocolError(ErrorCodes.PEER_SILENT));
    async function answer(type: string, body: Record<string, unknown>): Promise<unknown> {
      await timer.sleep(randomBetween(0.5, 3));
      if (to.isUnreachable) return timer.sleep(1e9);
      if (type === 'withdraw') {
        if (kinds.has('callers') && chance(0.3)) return timer.sleep(1e9);
        return to.dispatcher.withdraw(body['job'] as string, body['gateway'] as string);
      }
      const outcome = await to.dispatcher.submit(body as never);
      await timer.sleep(randomBetween(0.5, 3));
      return outcome;
    }
    const link = {
      request: (type: string, body: Record<string, unknown>, options: { timeoutMs: number }) =>
        new Promise((resolve) => {
          const fail = () => {
            resolve(timeOutError());
          };
          const cancel = timer.onAfter(options.timeoutMs, fail);
          to.onUnreachable.add(fail);
          void answer(type, body).then((value) => {
            cancel();
            to.onUnreachable.delete(fail);
            if (!to.isUnreachable) resolve(Result.ok(value));
          });
        }),
    };
    return link as unknown as PeerLink;
  }

  function createGateway(number: number): Entry {
    const leadership = {
      shard: 0,
      view: () => views[number]?.view,
      isDispatching: () => false,
      isDispatcherReachable: () => views[number]?.isUnreachable === false,
      lastContactMs: () => undefined,
      gatewayState: () => undefined,
      recordUnanswered: () => undefined,
      link: () => createLink(views[number] ?? current),
    } as unknown as Leadership;
    timer.onEvery(HEARTBEAT_INTERVAL_MS, () => {
      const to = views[number];
      if (to !== undefined && !to.isUnreachable) to.dispatcher.renewGatewayLease(`g${number}`);
    });
    return createEntry({
      instance: `g${number}`,
      shardOf: () => 0,
      routes: () => [{ leadership, local: undefined }],
      timer,
      clock: createElapsedClock(timer),
      logger,
    });
  }

  /** Crashes, isolates or stops the dispatcher, and starts another one. */
  function replaceDispatcher(): void {
    const previous = current;
    const isOutdated = kinds.has('directory') && chance(0.4);
    const unlisted = isOutdated ? endpoints.all.filter(() => chance(0.4)) : [];
    current = startDispatcher(
      previous.view.epoch + 1,
      endpoints.all.filter((endpoint) => !unlisted.includes(endpoint)),
    );
    const next = current;
    traceEvent('dispatcher started', {
      epoch: next.view.epoch,
      unlisted: unlisted.map(({ entry }) => entry.id),
    });
    if (unlisted.length > 0) {
      timer.onAfter(randomBetween(1, 400), () => {
        listAllEndpoints(next);
      });
    }
    const isCrash = chance(0.4);
    const becomeUnreachable = () => {
      previous.isUnreachable = true;
      for (const fail of previous.onUnreachable) fail();
      previous.onUnreachable.clear();
    };
    if (isCrash) {
      previous.isUnreachable = true;
      previous.dispatcher.close();
      timer.onAfter(randomBetween(0, 700), becomeUnreachable);
    } else {
      if (chance(0.5)) timer.onAfter(randomBetween(0, 700), becomeUnreachable);
      timer.onAfter(chance(0.4) ? 0 : randomBetween(0, 1_500), () => {
        previous.dispatcher.close();
      });
    }
    views.forEach((_view, number) => {
      timer.onAfter(randomBetween(0, 700), () => {
        if ((views[number]?.view.epoch ?? 0) < next.view.epoch) views[number] = next;
      });
    });
  }

  /** Passes a dispatcher the full list of endpoints, if it is still the current one. */
  function listAllEndpoints(to: RunningDispatcher): void {
    if (to !== current) return;
    to.isListCurrent = true;
    to.dispatcher.setEndpoints(endpoints.all.map(entryOf));
  }

  function entryOf(endpoint: SimulatedEndpoint): EndpointEntry {
    return { ...endpoint.entry, isLeaving: leaving.has(endpoint) };
  }

  function injectFault(): void {
    const kind = pick([...kinds]);
    const endpoint = pick(endpoints.all);
    if (kind === 'calls') {
      const share = randomBetween(0.05, 1);
      const name = pick(['lost', 'unanswered', 'late', 'lateOrders', 'slow'] as const);
      endpoint.faults[name] = share;
      traceEvent(`calls ${name}`, { endpoint: endpoint.entry.id, share });
      timer.onAfter(randomBetween(100, 1_500), () => {
        endpoint.faults[name] = 0;
      });
    }
    if (kind === 'crashes') {
      endpoint.crash();
      timer.onAfter(randomBetween(5, 1_500), endpoint.restart);
    }
    if (kind === 'cuts') {
      endpoint.isUnreachable = true;
      traceEvent('endpoint is unreachable', { endpoint: endpoint.entry.id });
      timer.onAfter(randomBetween(50, 1_500), () => {
        endpoint.isUnreachable = false;
        traceEvent('endpoint is reachable', { endpoint: endpoint.entry.id });
      });
    }
    if (kind === 'takeovers') replaceDispatcher();
    if (kind === 'directory') {
      traceEvent('endpoint is leaving', { endpoint: endpoint.entry.id });
      leaving.add(endpoint);
      listAllEndpoints(current);
      timer.onAfter(randomBetween(0, 2_000), () => {
        leaving.delete(endpoint);
        listAllEndpoints(current);
      });
    }
  }

  function createJob(id: string): LeasedJob {
    const demand = { cores: 1_000, memoryMb: 1, accelerators: 0 };
    const steps = [
      { tasks: 1 + Math.floor(random.next() * 2), demand, estimateMs: 200, after: [] },
    ];
    const base = { team: 't', service: 's', priority: 0, maxAttempts: 2, payload: '' };
    const objective = { objectiveStretch: 1.6, objectiveAllowanceMs: 60 };
    return { id, ...base, ...objective, steps, ageMs: 0, remainingMs: CALLER_DEADLINE_MS };
  }

  async function call(id: string): Promise<void> {
    const job = createJob(id);
    for (let attempt = 0; attempt < 3; attempt += 1) {
      const cancellation = new AbortController();
      const waitMs =
        kinds.has('callers') && chance(0.15) ? randomBetween(10, 900) : CALLER_DEADLINE_MS + 200;
      const cancel = timer.onAfter(waitMs, () => {
        cancellation.abort();
      });
      const outcome = await new Promise<JobOutcome | undefined>((resolve) => {
        cancellation.signal.addEventListener('abort', () => {
          resolve(undefined);
        });
        void pick(gateways).submit(job, cancellation.signal).then(resolve);
      });
      cancel();
      const state = outcome?.state ?? 'broken';
      traceEvent('caller received an outcome', { id, state });
      outcomes[state] = (outcomes[state] ?? 0) + 1;
      const isAnswered = state === JobStates.COMPLETED || state === JobStates.FAILED;
      if (isAnswered || state === JobStates.REFUSED) return;
      await timer.sleep(RESUBMIT_DELAY_MS);
    }
  }

  await timer.advance(300);
  const jobs = 12;
  for (let number = 0; number < jobs; number += 1) {
    timer.onAfter(randomBetween(0, FAULTS_UNTIL_MS), () => {
      void call(`j${number}`);
    });
  }
  const faults = 3 + Math.floor(random.next() * 10);
  for (let number = 0; number < faults; number += 1) {
    timer.onAfter(randomBetween(100, FAULTS_UNTIL_MS), injectFault);
  }
  await timer.advance(DURATION_MS);
  current.dispatcher.close();
  return { overlaps: endpoints.overlaps(), starts: endpoints.starts(), outcomes };
}
