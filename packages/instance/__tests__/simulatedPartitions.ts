/**
 * Injects random faults into instances of two data centres, all drawn from one seed. Data centres and
 * instances are isolated, continue disconnected, and are killed after they reconnect. Instances stall
 * and freeze, all instances are killed, and lists of endpoints differ. Callers submit again 1.3 s after
 * they stop waiting for an answer.
 */
import { JobStates, type JobOutcome, type LeasedJob } from '@celerybarrow/protocol';
import { createRandom } from '@celerybarrow/shared';
import type { Logger } from '@celerybarrow/telemetry';
import { createManualTimer } from '@celerybarrow/timer';
import { createCutFaults, CutFaultKinds, isModifier } from './simulatedCuts.js';
import { createSimulatedEndpoints } from './simulatedEndpoints.js';
import type { SimulationResult } from './simulatedFleet.js';
import type { SimulatedInstance } from './simulatedInstance.js';
import { createSimulatedInstances } from './simulatedInstances.js';

const ZONES = ['a', 'b'];
const INSTANCES = ['a0', 'a1', 'b0', 'b1', 'a2'];
const QUIET_UNTIL_MS = 1_500;
const FAULTS_UNTIL_MS = 7_000;
/** Time within which the connections that a long cut breaks are closed. */
const CUT_NOTICE_MS = 1_500;
/** Endpoints that depart are listed as leaving for a while, so shorter runs would end before. */
const LONG = { maxTaskMs: 3_500, deadlineMs: 5_000, durationMs: 18_000 };
const USUAL = { maxTaskMs: 1_400, deadlineMs: 1_500, durationMs: 11_500 };
const JOBS = 14;
/** More than the endpoints can run at the same time. */
const WAITING_JOBS = 40;
/** Endpoints that may join in a simulation with joins. */
const JOINING_ENDPOINTS = 4;
const CUT_SEED_OFFSET = 1_000_000_000;
const CONNECTION_SEED_OFFSET = 2_000_000_000;
/** Counts jobs that were answered as lost when their callers had left. */
const LOST_UNSEEN = 'lostUnseen';
const RESUBMIT_DELAY_MS = 1_300;
/** Minimum time until the store drops the entries of endpoints that cannot reach it. */
const MIN_LAPSE_MS = 1_700;
/**
 * How long a dispatcher lists an endpoint as leaving before it drops it, with the time in which it
 * reads its list.
 */
const MIN_DEPARTURE_MS = 750;
const MAX_DEPARTURE_MS = 1_500;
/** An endpoint that is not dropped by then returns. */
const MAX_LEAVING_MS = 3_000;
/** How long a dispatcher has read an endpoint as leaving before it drops it. */
const LEAVING_MS = 350;
const DEPARTURE_CHECK_MS = 50;
/** Longer than the interval at which dispatchers read their lists. */
const LIST_INTERVAL_MS = 450;
/** Maximum time until all instances know a new endpoint. */
const MAX_LIST_SHARING_MS = 1_250;

/** Faults in which a cut is long, and closes connections. */
export const LongFaultKinds = [
  'calls',
  'crashes',
  'cuts',
  'zones',
  'instances',
  'stalls',
  'freezes',
  'kills',
  'fleetKills',
  'storeless',
  'storeFailures',
  'lapses',
  'joins',
  'departures',
  'lossesAfterJoins',
  'shards',
  'lists',
  'callers',
] as const;
export const PartitionFaultKinds = [...LongFaultKinds, ...CutFaultKinds] as const;
export type PartitionFaultKind = (typeof PartitionFaultKinds)[number];

export async function simulatePartitions(
  seed: number,
  kinds: ReadonlySet<PartitionFaultKind> = new Set(PartitionFaultKinds),
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
  const lengths = kinds.has('departures') ? LONG : USUAL;
  const shards = kinds.has('shards') && chance(0.4) ? 2 : 1;
  const count = 4 + Math.floor(random.next() * 3);
  const traits = {
    rejectsByOrderLease: chance(0.5),
    maxTaskMs: randomBetween(100, lengths.maxTaskMs),
    failureProbability: 0.02,
  };
  traceEvent('endpoints', { count, shards, ...traits });
  const joining = kinds.has('joins') ? JOINING_ENDPOINTS : 0;
  const endpoints = createSimulatedEndpoints(count, timer, random, traits, trace, joining);
  const numberOf = (id: string) => Number(id.slice(1));
  const zoneOf = (id: string) => ZONES[numberOf(id) % ZONES.length] as string;
  const all = endpoints.all.map(({ entry }) => entry);
  const fleet = createSimulatedInstances({
    timer,
    random,
    connectionRandom: createRandom(seed + CONNECTION_SEED_OFFSET),
    holdsMessages: kinds.has('lateMessages'),
    logger,
    shards,
    networkOf: endpoints.networkOf,
    entriesOf: (shard) =>
      all.filter(({ id }) => Math.floor(numberOf(id) / ZONES.length) % shards === shard),
    zoneOf,
    traceEvent,
  });
  const { environment } = fleet;
  for (const { id } of all.slice(count)) environment.unlisted.add(id);
  const outcomes: Record<string, number> = {};
  const cutFaults = createCutFaults({
    timer,
    // Numbers of their own keep the seeds of long faults the same.
    random: createRandom(seed + CUT_SEED_OFFSET),
    kinds,
    fleet,
    submitJob,
    isolateZone,
    traceEvent,
  });
  let jobs = kinds.has('waitingTasks') ? WAITING_JOBS : JOBS;
  /** Callbacks that end the waits of callers when their gateway is killed. */
  const onKill = new Map<SimulatedInstance, Set<() => void>>();

  function start(name: string): void {
    onKill.set(fleet.startInstance(name, name.slice(0, 1)), new Set());
  }

  function kill(instance: SimulatedInstance | undefined, downMs: number): void {
    if (instance === undefined || !fleet.running().includes(instance)) return;
    fleet.kill(instance, chance(0.6) ? 10 : 1_000);
    for (const endWait of onKill.get(instance) ?? []) endWait();
    timer.onAfter(downMs, () => {
      if (fleet.running().every(({ name }) => name !== instance.name)) start(instance.name);
    });
  }

  function killAll(): void {
    const downMs = randomBetween(300, 1_500);
    traceEvent('all instances are killed');
    for (const instance of fleet.running()) kill(instance, downMs + randomBetween(0, 100));
  }

  function isolateZone(drawMs: () => number, noticedWithinMs: number): void {
    if (environment.isolatedZone !== undefined) return;
    const zone = pick(ZONES);
    const forMs = drawMs();
    environment.isolatedZone = zone;
    environment.isZoneWithoutStore = chance(0.75);
    traceEvent('zone is isolated', { zone, isZoneWithoutStore: environment.isZoneWithoutStore });
    cutFaults.breakConnections(noticedWithinMs);
    // Entries expire seconds later, when no job from the start of the isolation is left.
    if (kinds.has('lapses') && chance(0.5) && forMs > MIN_LAPSE_MS) {
      timer.onAfter(randomBetween(MIN_LAPSE_MS, forMs), () => {
        for (const { id } of all) if (zoneOf(id) === zone) environment.lapsed.add(id);
        traceEvent('entries expired', { zone });
      });
    }
    timer.onAfter(forMs, () => {
      environment.isolatedZone = undefined;
      traceEvent('zone reconnected', { zone });
      fleet.releaseMessages();
      timer.onAfter(randomBetween(0, 1_500), () => {
        environment.lapsed.clear();
      });
      const target = chance(0.5) ? pick(fleet.running()) : fleet.dispatcherOf(0);
      if (kinds.has('kills') && chance(0.4)) {
        timer.onAfter(randomBetween(0, 600), () => {
          kill(target, randomBetween(100, 3_000));
        });
      } else if (kinds.has('fleetKills') && chance(0.4)) {
        timer.onAfter(randomBetween(0, 2_500), killAll);
      }
    });
  }

  function injectEndpointFault(kind: PartitionFaultKind): void {
    const listed = endpoints.all.filter(({ entry }) => !environment.unlisted.has(entry.id));
    const endpoint = pick(listed);
    if (kind === 'joins') joinEndpoint();
    if (kind === 'departures') void departEndpoint(endpoint.entry.id);
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
      timer.onAfter(randomBetween(100, 2_500), endpoint.restart);
    }
    if (kind === 'cuts') {
      endpoint.isUnreachable = true;
      traceEvent('endpoint is unreachable', { endpoint: endpoint.entry.id });
      timer.onAfter(randomBetween(50, 1_500), () => {
        endpoint.isUnreachable = false;
        traceEvent('endpoint is reachable', { endpoint: endpoint.entry.id });
      });
    }
  }

  /** Lists an endpoint that no list has had. It is missing in the shared lists for a while. */
  function joinEndpoint(): void {
    const [id] = environment.unlisted;
    if (id === undefined) return;
    environment.unlisted.delete(id);
    environment.missingFromSharedLists.add(id);
    traceEvent('endpoint joined', { endpoint: id });
    timer.onAfter(randomBetween(0, MAX_LIST_SHARING_MS), () => {
      environment.missingFromSharedLists.delete(id);
    });
  }

  /**
   * Lists an endpoint as leaving, then no more, while it runs on; it returns later. The dispatcher drops
   * the endpoint from the list only after it has listed it as leaving for a while.
   */
  async function departEndpoint(id: string): Promise<void> {
    if (environment.departing.has(id)) return;
    const sinceMs = timer.nowMs();
    environment.departing.add(id);
    traceEvent('endpoint departs', { endpoint: id });
    await timer.sleep(randomBetween(MIN_DEPARTURE_MS, MAX_DEPARTURE_MS));
    const isListedAsLeaving = () =>
      timer.nowMs() - sinceMs > MAX_LEAVING_MS ||
      fleet.haveReadAsLeavingSince(id, timer.nowMs() - LEAVING_MS);
    while (!isListedAsLeaving()) await timer.sleep(DEPARTURE_CHECK_MS);
    const awayMs = timer.nowMs() - sinceMs <= MAX_LEAVING_MS ? randomBetween(100, 2_500) : 0;
    if (awayMs > 0) {
      environment.departed.add(id);
      traceEvent('endpoint has left the list', { endpoint: id });
      await timer.sleep(awayMs);
    }
    environment.departing.delete(id);
    environment.departed.delete(id);
    fleet.forgetLeaving(id);
    // While the store is down, dispatchers keep the endpoint, and so do the shared lists.
    const wasDropped = environment.dropped.delete(id);
    if (awayMs > LIST_INTERVAL_MS && wasDropped) {
      environment.missingFromSharedLists.add(id);
      timer.onAfter(randomBetween(0, MAX_LIST_SHARING_MS), () => {
        environment.missingFromSharedLists.delete(id);
      });
    }
    traceEvent('endpoint has returned', { endpoint: id });
    if (kinds.has('lossesAfterJoins'))
      timer.onAfter(randomBetween(300, 1_200), loseStoreAndDispatcher);
  }

  function loseStoreAndDispatcher(): void {
    failStore(randomBetween(1_000, 3_000));
    kill(fleet.dispatcherOf(0), randomBetween(1_000, 3_000));
  }

  function failStore(forMs: number): void {
    environment.isStoreDown = true;
    traceEvent('store is down', { forMs });
    timer.onAfter(forMs, () => {
      environment.isStoreDown = false;
    });
  }

  function injectInstanceFault(kind: PartitionFaultKind): void {
    const target = chance(0.5) ? fleet.dispatcherOf(0) : undefined;
    const instance = target ?? pick(fleet.running());
    if (instance === undefined) return;
    const forMs = randomBetween(100, 3_000);
    const details = { instance: instance.name, forMs: Math.round(forMs) };
    if (kind === 'stalls') {
      const stallMs = randomBetween(50, 400);
      instance.host.stall(stallMs);
      traceEvent('instance stalls', { instance: instance.name, stallMs });
    }
    if (kind === 'freezes') {
      instance.host.stall(forMs);
      traceEvent('instance freezes', details);
    }
    if (kind === 'kills') kill(instance, forMs);
    if (kind === 'instances') {
      instance.isIsolated = true;
      traceEvent('instance is isolated', details);
      cutFaults.breakConnections(CUT_NOTICE_MS);
      cutFaults.submitBurst();
      timer.onAfter(forMs, () => {
        instance.isIsolated = false;
        fleet.releaseMessages();
        traceEvent('instance reconnected', details);
      });
    }
    if (kind === 'storeless') {
      instance.isStoreUnreachable = true;
      traceEvent('instance cannot reach the store', details);
      timer.onAfter(forMs, () => {
        instance.isStoreUnreachable = false;
      });
    }
    if (kind === 'storeFailures') failStore(forMs);
    if (kind === 'lists' && shards > 1) {
      instance.hasOtherList = true;
      traceEvent('instance has another list of endpoints', details);
      timer.onAfter(forMs, () => {
        instance.hasOtherList = false;
      });
    }
  }

  function injectFault(): void {
    const kind = pick([...kinds].filter((candidate) => !isModifier(candidate)));
    if (kind === 'shortCuts' || kind === 'oneWayCuts') cutFaults.inject(kind);
    else if (kind === 'zones') {
      cutFaults.submitBurst();
      isolateZone(() => randomBetween(300, 4_500), CUT_NOTICE_MS);
    } else if (kind === 'fleetKills') {
      if (chance(0.3)) killAll();
    } else {
      injectEndpointFault(kind);
      injectInstanceFault(kind);
    }
  }

  function createJob(id: string): LeasedJob {
    const demand = { cores: 1_000, memoryMb: 1, accelerators: 0 };
    const tasks = 1 + Math.floor(random.next() * 2);
    const steps = [{ tasks, demand, estimateMs: 200, after: [] }];
    const base = { team: 't', service: 's', priority: 0, maxAttempts: 2, payload: '' };
    const objective = { objectiveStretch: 1.6, objectiveAllowanceMs: 60 };
    return { id, ...base, ...objective, steps, ageMs: 0, remainingMs: lengths.deadlineMs };
  }

  /** Delivers a cancellation, and retries while the gateway is isolated. */
  function deliverCancellation(at: SimulatedInstance, cancellation: AbortController): void {
    if (at.isIsolated) {
      timer.onAfter(randomBetween(100, 800), () => {
        deliverCancellation(at, cancellation);
      });
      return;
    }
    at.host.receive(() => {
      cancellation.abort();
    });
  }

  function submit(at: SimulatedInstance, job: LeasedJob): Promise<JobOutcome | undefined> {
    return new Promise((resolve) => {
      const cancellation = new AbortController();
      let isWaiting = true;
      const endWait = () => {
        isWaiting = false;
        resolve(undefined);
      };
      onKill.get(at)?.add(endWait);
      const isImpatient = kinds.has('callers') && chance(0.15);
      const waitMs = isImpatient ? randomBetween(10, 900) : lengths.deadlineMs + 100;
      timer.onAfter(waitMs, () => {
        endWait();
        deliverCancellation(at, cancellation);
      });
      timer.onAfter(randomBetween(0.5, 2), () => {
        at.host.receive(() => {
          void at.entry.submit(job, cancellation.signal).then((outcome) => {
            if (isWaiting) resolve(outcome);
            else if (outcome.state === JobStates.LOST) countOutcome(LOST_UNSEEN);
          });
        });
      });
    });
  }

  function countOutcome(state: string): void {
    outcomes[state] = (outcomes[state] ?? 0) + 1;
  }

  function submitJob(): void {
    const id = `j${jobs}`;
    jobs += 1;
    void call(id);
  }

  async function call(id: string): Promise<void> {
    const job = createJob(id);
    for (let attempt = 0; attempt < 4; attempt += 1) {
      const ready = fleet.running().filter((instance) => !instance.isIsolated);
      if (ready.length === 0) {
        await timer.sleep(100);
        continue;
      }
      const at = pick(ready);
      traceEvent('caller submits', { id, at: at.name, attempt });
      const outcome = await submit(at, job);
      const state = outcome?.state ?? 'broken';
      traceEvent('caller received an outcome', { id, state });
      countOutcome(state);
      const isAnswered = state === JobStates.COMPLETED || state === JobStates.FAILED;
      if (isAnswered || state === JobStates.REFUSED) return;
      await timer.sleep(RESUBMIT_DELAY_MS);
    }
  }

  for (const name of INSTANCES) start(name);
  await timer.advance(QUIET_UNTIL_MS);
  for (let number = 0; number < jobs; number += 1) {
    timer.onAfter(randomBetween(0, FAULTS_UNTIL_MS - QUIET_UNTIL_MS), () => {
      void call(`j${number}`);
    });
  }
  const faults = 3 + Math.floor(random.next() * 9);
  for (let number = 0; number < faults; number += 1) {
    timer.onAfter(randomBetween(100, FAULTS_UNTIL_MS - QUIET_UNTIL_MS), injectFault);
  }
  await timer.advance(lengths.durationMs - QUIET_UNTIL_MS);
  return { overlaps: endpoints.overlaps(), starts: endpoints.starts(), outcomes };
}
