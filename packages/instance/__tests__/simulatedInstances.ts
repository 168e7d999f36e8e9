/**
 * Simulates the instances of two data centres in virtual time. Each is a gateway, and the dispatcher of
 * the shards that it leads. Each runs the real entry and dispatcher. A short model of leadership, with
 * the time limits of the real one, decides who dispatches. Data centres and instances can be isolated
 * from each other and from the store, stall, and be killed. An isolated data centre continues
 * disconnected.
 */
import { createDispatcher, type Dispatcher } from '@celerybarrow/dispatch';
import { createEntry } from '@celerybarrow/entry';
import type { EndpointEntry, EndpointNetwork } from '@celerybarrow/endpoints';
import {
  createReplicatedDocuments,
  fenceOf,
  isNewer,
  MANY_SHARDS_HEARTBEAT,
  ONE_SHARD_HEARTBEAT,
  type Leadership,
} from '@celerybarrow/leadership';
import type { GatewayState, LeasedJob, PeerLink, View } from '@celerybarrow/protocol';
import type { Random } from '@celerybarrow/shared';
import { createMetrics, type Logger } from '@celerybarrow/telemetry';
import { createElapsedClock, type ManualTimer } from '@celerybarrow/timer';
import { createDepartureSharing } from '../src/shareDepartures.js';
import type { CallingProcess } from './simulatedEndpoints.js';
import { createSimulatedConnections } from './simulatedConnections.js';
import { isCut, isInside } from './simulatedCuts.js';
import { createSimulatedHost, type SimulatedHost } from './simulatedHost.js';
import type {
  Heartbeat,
  ShardState,
  SimulatedInstance,
  SimulatedEnvironment,
} from './simulatedInstance.js';
import { createSimulatedLink } from './simulatedLink.js';

const HEARTBEAT_OVERDUE_MS = 100;
/** A heartbeat without a reply is pending for this time. */
const HEARTBEAT_REQUEST_TIMEOUT_MS = 3_000;
const ISOLATED_TAKEOVER_MS = 1_200;
const EPOCH_RAISE_INTERVAL_MS = 300;
const MISSING_DISPATCHER_MS = 1_500;

export interface InstancesOptions {
  readonly timer: ManualTimer;
  readonly random: Random;
  readonly logger: Logger;
  /** Random numbers for what a fleet without late messages has as well. */
  readonly connectionRandom: Random;
  /** Whether connections stay open in a cut, and messages sent in it arrive after it. */
  readonly holdsMessages: boolean;
  readonly shards: number;
  readonly networkOf: (from: CallingProcess) => EndpointNetwork;
  /** Returns all endpoints of a shard. */
  readonly entriesOf: (shard: number) => readonly EndpointEntry[];
  readonly zoneOf: (endpoint: string) => string;
  readonly traceEvent: (sentence: string, details?: object) => void;
}

export function createSimulatedInstances(options: InstancesOptions) {
  const { timer, random, shards, traceEvent } = options;
  const randomBetween = (min: number, max: number) => min + (max - min) * random.next();
  const chance = (probability: number) => random.next() < probability;
  const environment: SimulatedEnvironment = {
    isolatedZone: undefined,
    oneWayCut: undefined,
    isZoneWithoutStore: true,
    isStoreDown: false,
    lapsed: new Set(),
    departing: new Set(),
    departed: new Set(),
    unlisted: new Set(),
    dropped: new Set(),
    missingFromSharedLists: new Set(),
  };
  const stored: (View | undefined)[] = Array.from({ length: shards }, () => undefined);
  const running = new Map<string, SimulatedInstance>();
  const onConnectionLoss = new Set<() => void>();
  let startCount = 0;
  const heartbeat = shards > 1 ? MANY_SHARDS_HEARTBEAT : ONE_SHARD_HEARTBEAT;

  const isRunning = (instance: SimulatedInstance) => running.get(instance.name) === instance;
  const canSend = (from: SimulatedInstance, to: SimulatedInstance) =>
    from === to ||
    (!from.isIsolated &&
      !to.isIsolated &&
      (environment.isolatedZone === undefined || from.zone === to.zone) &&
      !isCut(environment.oneWayCut, from, to));
  const areConnected = (instance: SimulatedInstance, other: SimulatedInstance) =>
    canSend(instance, other) && canSend(other, instance);
  const connections = createSimulatedConnections({ ...options, canSend, isRunning });
  const isCutOffStore = (instance: SimulatedInstance) => {
    const { oneWayCut } = environment;
    return oneWayCut?.isWithoutStore === true && isInside(oneWayCut, instance);
  };
  const reachesStore = (instance: SimulatedInstance) =>
    !instance.isIsolated &&
    !environment.isStoreDown &&
    !instance.isStoreUnreachable &&
    !isCutOffStore(instance) &&
    !(environment.isZoneWithoutStore && environment.isolatedZone === instance.zone);
  const others = (instance: SimulatedInstance) =>
    [...running.values()].filter((other) => other !== instance);
  const reachablePeers = (instance: SimulatedInstance) =>
    others(instance).filter((other) => areConnected(instance, other));

  function dispatcherInstanceOf(view: View | undefined): SimulatedInstance | undefined {
    return [...running.values()].find(({ host, name }) => {
      return view?.dispatcher.incarnation === incarnationOf(name, host);
    });
  }

  const incarnations = new Map<SimulatedHost, string>();
  function incarnationOf(name: string, host: SimulatedHost): string {
    return incarnations.get(host) ?? name;
  }

  function memberOf(instance: SimulatedInstance): View['dispatcher'] {
    const incarnation = incarnationOf(instance.name, instance.host);
    return { instance: instance.name, incarnation, peer: '', dataCentre: instance.zone, weight: 1 };
  }

  function shardStateOf(instance: SimulatedInstance, shard: number): ShardState {
    return instance.shardStates[shard] as ShardState;
  }

  function isDispatching(instance: SimulatedInstance, shard: number): boolean {
    const incarnation = shardStateOf(instance, shard).view?.dispatcher.incarnation;
    return incarnation === incarnationOf(instance.name, instance.host);
  }

  function receiveView(instance: SimulatedInstance, shard: number, view: View | undefined): void {
    const state = shardStateOf(instance, shard);
    if (view === undefined || !isRunning(instance) || !isNewer(view, state.view)) return;
    if (state.view?.dispatcher.incarnation !== view.dispatcher.incarnation)
      state.heard.delete(view.dispatcher.incarnation);
    state.view = view;
    state.lastContactMs = timer.nowMs();
    state.hasContact = false;
    state.unansweredSinceMs = undefined;
    state.suspectedSinceMs = undefined;
    const { epoch, round, dispatcher } = view;
    traceEvent('view', { of: instance.name, shard, epoch, round, dispatcher: dispatcher.instance });
    if (isDispatching(instance, shard)) state.dispatcher ??= startDispatcher(instance, shard);
    else {
      state.dispatcher?.close();
      state.dispatcher = undefined;
    }
  }

  function storeView(instance: SimulatedInstance, shard: number): void {
    const epoch =
      Math.max(stored[shard]?.epoch ?? 0, shardStateOf(instance, shard).view?.epoch ?? 0) + 1;
    const view = { epoch, round: 0, dispatcher: memberOf(instance) };
    stored[shard] = view;
    receiveView(instance, shard, view);
    for (const other of others(instance)) {
      timer.onAfter(chance(0.3) ? randomBetween(5, 700) : randomBetween(2, 40), () => {
        if (reachesStore(other)) {
          other.host.receive(() => {
            receiveView(other, shard, view);
          });
        }
      });
    }
  }

  function listedEntries(shard: number): EndpointEntry[] {
    return options
      .entriesOf(shard)
      .filter(({ id }) => !environment.departed.has(id) && !environment.unlisted.has(id))
      .map((entry) =>
        environment.departing.has(entry.id) ? { ...entry, isLeaving: true } : entry,
      );
  }

  /** Whether messages to an endpoint, or those from it, are cut. */
  function isEndpointCut(instance: SimulatedInstance, id: string, isToEndpoint: boolean): boolean {
    const { isolatedZone, oneWayCut } = environment;
    const zone = options.zoneOf(id);
    if (instance.isIsolated || (isolatedZone !== undefined && zone !== instance.zone)) return true;
    if (oneWayCut?.coversEndpoints !== true) return false;
    const endpoint = { name: id, zone };
    return isToEndpoint
      ? isCut(oneWayCut, instance, endpoint)
      : isCut(oneWayCut, endpoint, instance);
  }

  function startDispatcher(instance: SimulatedInstance, shard: number): Dispatcher {
    const state = shardStateOf(instance, shard);
    const { clock } = instance;
    const dispatcher = createDispatcher({
      network: options.networkOf({
        reaches: (id) => isRunning(instance) && !isEndpointCut(instance, id, true),
        hears: (id) => isRunning(instance) && !isEndpointCut(instance, id, false),
        onTimeout: (delayMs, subscriber) => instance.host.timer.onTimeout(delayMs, subscriber),
        receive: (read) => {
          instance.host.receive(read);
        },
      }),
      timer: instance.host.timer,
      clock,
      random,
      logger: options.logger,
      metrics: createMetrics(),
      fence: () => (state.view === undefined ? 0 : fenceOf(state.view)),
      onFenced: () => {
        timer.onAfter(randomBetween(2, 40), () => {
          instance.host.receive(() => {
            handleFenced(instance, shard);
          });
        });
      },
      isListCurrent: () => state.isListCurrent || (state.view?.round ?? 0) > 0,
      departuresVersion: () => instance.departures.version(shard),
      onReview: () => {
        instance.departures.check();
      },
    });
    const sharedEntries = listedEntries(shard).filter(
      ({ id }) => !environment.missingFromSharedLists.has(id),
    );
    state.isListCurrent = false;
    state.dispatchingSinceMs = timer.nowMs();
    state.readAsLeavingMs.clear();
    dispatcher.setEndpoints(sharedEntries);
    instance.departures.introduce(shard, dispatcher);
    const readList = () => {
      if (state.dispatcher !== dispatcher || !reachesStore(instance)) return;
      state.isListCurrent = true;
      for (const id of environment.departed) environment.dropped.add(id);
      for (const { id, isLeaving } of listedEntries(shard))
        if (isLeaving && !state.readAsLeavingMs.has(id))
          state.readAsLeavingMs.set(id, timer.nowMs());
      dispatcher.setEndpoints(listedEntries(shard).filter(({ id }) => !environment.lapsed.has(id)));
    };
    timer.onAfter(randomBetween(2, 150), () => {
      instance.host.receive(readList);
    });
    instance.host.timer.onEvery(400, readList);
    instance.host.timer.onEvery(150, () => {
      if (state.dispatcher === dispatcher) dispatcher.renewGatewayLease(instance.name);
    });
    return dispatcher;
  }

  function handleFenced(instance: SimulatedInstance, shard: number): void {
    if (!isDispatching(instance, shard) || !isRunning(instance)) return;
    const state = shardStateOf(instance, shard);
    if ((state.view?.round ?? 0) > 0) state.wasFenced = true;
    raiseEpoch(instance, shard);
  }

  function raiseEpoch(instance: SimulatedInstance, shard: number): void {
    const state = shardStateOf(instance, shard);
    const nowMs = timer.nowMs();
    if (!isDispatching(instance, shard) || nowMs - state.epochRaisedMs < EPOCH_RAISE_INTERVAL_MS)
      return;
    state.epochRaisedMs = nowMs;
    if ((state.view?.round ?? 0) > 0) reconnectToStore(instance, shard);
    else if (reachesStore(instance)) {
      if (isNewer(stored[shard] as View, state.view)) receiveView(instance, shard, stored[shard]);
      else storeView(instance, shard);
    }
  }

  /**
   * Ends the disconnected view of a dispatcher that reaches the store again. It adopts a newer stored
   * view, or asks the dispatcher of the stored view to continue, or replaces that dispatcher if it is
   * not running.
   */
  function reconnectToStore(instance: SimulatedInstance, shard: number): void {
    if (!reachesStore(instance)) return;
    const state = shardStateOf(instance, shard);
    const storedView = stored[shard];
    if (storedView !== undefined && isNewer(storedView, state.view)) {
      receiveView(instance, shard, storedView);
      return;
    }
    const dispatcher = dispatcherInstanceOf(storedView);
    if (dispatcher !== undefined) {
      state.missingSinceMs = undefined;
      if (areConnected(instance, dispatcher)) {
        dispatcher.host.receive(() => {
          raiseEpoch(dispatcher, shard);
        });
      }
      return;
    }
    state.missingSinceMs ??= timer.nowMs();
    if (timer.nowMs() - state.missingSinceMs > MISSING_DISPATCHER_MS) storeView(instance, shard);
  }

  function checkLeadership(instance: SimulatedInstance, shard: number): void {
    const state = shardStateOf(instance, shard);
    if (reachesStore(instance) && chance(0.4)) receiveView(instance, shard, stored[shard]);
    if (isDispatching(instance, shard)) {
      if ((state.view?.round ?? 0) === 0) return;
      if (reachesStore(instance)) reconnectToStore(instance, shard);
      else
        for (const other of reachablePeers(instance))
          receiveView(instance, shard, shardStateOf(other, shard).view);
      return;
    }
    const view = state.view;
    const dispatcher = dispatcherInstanceOf(view);
    if (view === undefined || dispatcher === undefined) {
      suspect(instance, shard);
      return;
    }
    state.unansweredSinceMs ??= timer.nowMs();
    sendHeartbeat(instance, dispatcher, shard, view);
    const timeoutMs = state.hasContact ? heartbeat.timeoutMs : heartbeat.firstReplyTimeoutMs;
    if (timer.nowMs() - state.lastContactMs > timeoutMs) suspect(instance, shard);
  }

  function sendHeartbeat(
    instance: SimulatedInstance,
    dispatcher: SimulatedInstance,
    shard: number,
    view: View,
  ): void {
    const connection = connections.between(instance, dispatcher);
    if (connection === undefined) return;
    const sentMs = timer.nowMs();
    const sent: Heartbeat = {
      gateway: instance.name,
      view,
      versions: { ...instance.documents.versions(shard) },
      sender: gatewayStateOf(instance, shard),
    };
    const endPending = connection.addPending(() => undefined);
    instance.host.timer.onTimeout(HEARTBEAT_REQUEST_TIMEOUT_MS, endPending);
    connection.sendRequest(() => {
      const reply = handleHeartbeat(instance, dispatcher, shard, sent);
      connection.sendReply(() => {
        endPending();
        const state = shardStateOf(instance, shard);
        receiveView(instance, shard, reply.view);
        fetchDocuments(instance, dispatcher, shard);
        if (!reply.isDispatching || state.view !== view) return;
        state.lastContactMs = timer.nowMs();
        state.hasContact = true;
        state.contacts.set(view.dispatcher.incarnation, sentMs);
        state.heard.set(view.dispatcher.incarnation, reply.clockMs);
        state.unansweredSinceMs = undefined;
        state.suspectedSinceMs = undefined;
        state.wasFenced = false;
      });
    });
  }

  function gatewayStateOf(instance: SimulatedInstance, shard: number): GatewayState | undefined {
    const { view, heard, unanswered } = shardStateOf(instance, shard);
    if (view === undefined) return undefined;
    const { incarnation } = view.dispatcher;
    return {
      fence: fenceOf(view),
      heardMs: heard.get(incarnation),
      unanswered: unanswered.get(incarnation) ?? 0,
    };
  }

  function handleHeartbeat(
    sender: SimulatedInstance,
    dispatcher: SimulatedInstance,
    shard: number,
    sent: Heartbeat,
  ) {
    sendDocuments(sender, dispatcher, sent);
    const state = shardStateOf(dispatcher, shard);
    const reply = {
      view: state.view,
      isDispatching: isDispatching(dispatcher, shard),
      clockMs: Math.floor(dispatcher.clock.nowMs()),
    };
    if (reply.isDispatching) {
      state.dispatcher?.renewGatewayLease(sent.gateway, {
        incarnation: incarnationOf(sender.name, sender.host),
        sender: sent.sender,
      });
      if (isNewer(sent.view, state.view)) raiseEpoch(dispatcher, shard);
    } else receiveView(dispatcher, shard, sent.view);
    return reply;
  }

  /** Sends the documents that a dispatcher lacks; the request for them takes no time. */
  function sendDocuments(from: SimulatedInstance, to: SimulatedInstance, sent: Heartbeat): void {
    if (!areConnected(from, to)) return;
    const wanted = to.documents.missing(sent.versions);
    for (const [name, document] of Object.entries(from.documents.select(wanted)))
      to.documents.offer(name, document, from.name);
  }

  /** Fetches the documents that a dispatcher announces; the request for them takes no time. */
  function fetchDocuments(to: SimulatedInstance, from: SimulatedInstance, shard: number): void {
    if (!areConnected(from, to)) return;
    const names = to.documents.toFetch(
      from.documents.announce(to.documents.versions(shard), shard),
    );
    for (const [name, document] of Object.entries(from.documents.select(names)))
      to.documents.offer(name, document, from.name);
    to.documents.endFetch(names, true);
  }

  function suspect(instance: SimulatedInstance, shard: number): void {
    const state = shardStateOf(instance, shard);
    const nowMs = timer.nowMs();
    state.suspectedSinceMs ??= nowMs;
    if (reachesStore(instance)) receiveView(instance, shard, stored[shard]);
    const reachable = reachablePeers(instance);
    for (const other of reachable) receiveView(instance, shard, shardStateOf(other, shard).view);
    if (state.suspectedSinceMs === undefined) return;
    const inContact = reachable.filter((other) => {
      const theirState = shardStateOf(other, shard);
      return (
        theirState.view === state.view && nowMs - theirState.lastContactMs < heartbeat.timeoutMs
      );
    });
    if (inContact.length > reachable.length - inContact.length + 1) return;
    const suspectedForMs = nowMs - state.suspectedSinceMs;
    const rank = reachable.filter(({ name }) => name < instance.name).length;
    const isMinority = reachable.length * 2 < others(instance).length;
    const isListed = dispatcherInstanceOf(state.view) !== undefined;
    if (reachesStore(instance) && !(isMinority && isListed)) {
      if (suspectedForMs >= rank * 700) storeView(instance, shard);
      return;
    }
    const mayTakeOver = !reachable.some(reachesStore) || reachesStore(instance);
    if (!mayTakeOver || state.wasFenced || state.view === undefined) return;
    const waitMs = reachable.length === 0 ? ISOLATED_TAKEOVER_MS : rank * 700;
    if (suspectedForMs < waitMs) return;
    const { epoch, round } = state.view;
    receiveView(instance, shard, { epoch, round: round + 1, dispatcher: memberOf(instance) });
  }

  function linkOf(instance: SimulatedInstance, shard: number): PeerLink | undefined {
    const dispatcher = dispatcherInstanceOf(shardStateOf(instance, shard).view);
    return createSimulatedLink({
      shard,
      from: instance,
      incarnation: incarnationOf(instance.name, instance.host),
      to: dispatcher,
      connections,
      onConnectionLoss,
      isLost: () =>
        dispatcher === undefined || !isRunning(dispatcher) || isLost(instance, dispatcher),
    });
  }

  /** A connection that holds its messages is closed by its keepalive only. */
  function isLost(instance: SimulatedInstance, dispatcher: SimulatedInstance): boolean {
    return !options.holdsMessages && !areConnected(instance, dispatcher);
  }

  function startInstance(name: string, zone: string): SimulatedInstance {
    const host = createSimulatedHost(timer);
    startCount += 1;
    incarnations.set(host, `${name}-${startCount}`);
    const shardStates = Array.from({ length: shards }, (): ShardState => ({
      view: undefined,
      dispatcher: undefined,
      dispatchingSinceMs: Infinity,
      readAsLeavingMs: new Map(),
      isListCurrent: false,
      lastContactMs: timer.nowMs(),
      hasContact: false,
      contacts: new Map(),
      heard: new Map(),
      unanswered: new Map(),
      unansweredSinceMs: undefined,
      suspectedSinceMs: undefined,
      epochRaisedMs: -Infinity,
      missingSinceMs: undefined,
      wasFenced: false,
    }));
    const leadershipOf = (shard: number) =>
      ({
        shard,
        view: () => shardStateOf(instance, shard).view,
        isDispatching: () => isDispatching(instance, shard),
        isDispatcherReachable() {
          const { view, unansweredSinceMs } = shardStateOf(instance, shard);
          const dispatcher = dispatcherInstanceOf(view);
          if (dispatcher === undefined || connections.between(instance, dispatcher) === undefined)
            return false;
          return (
            unansweredSinceMs === undefined ||
            timer.nowMs() - unansweredSinceMs < HEARTBEAT_OVERDUE_MS
          );
        },
        lastContactMs: (incarnation: string) =>
          shardStateOf(instance, shard).contacts.get(incarnation),
        gatewayState: () => gatewayStateOf(instance, shard),
        recordUnanswered(incarnation: string) {
          const { unanswered } = shardStateOf(instance, shard);
          unanswered.set(incarnation, (unanswered.get(incarnation) ?? 0) + 1);
        },
        link: () => linkOf(instance, shard),
      }) as unknown as Leadership;
    const clock = createElapsedClock(host.timer);
    const entry = createEntry({
      instance: name,
      shardOf: (job) => shardOf(instance, job),
      routes: () =>
        shardStates.map(({ dispatcher }, shard) => ({
          leadership: leadershipOf(shard),
          local: dispatcher,
          departuresVersion: departures.versionWithEndpoints(shard),
        })),
      timer: host.timer,
      clock,
      logger: options.logger,
    });
    const documents = createReplicatedDocuments(host.timer);
    const departures = createDepartureSharing({
      documents,
      clock: host.timer,
      logger: options.logger,
      dispatchers: () =>
        shardStates.flatMap(({ dispatcher, view }, shard) =>
          dispatcher === undefined ? [] : [{ shard, epoch: view?.epoch ?? 0, dispatcher }],
        ),
    });
    departures.subscribe(shards);
    const conditions = { isIsolated: false, isStoreUnreachable: false, hasOtherList: false };
    const instance: SimulatedInstance = {
      name,
      zone,
      host,
      clock,
      entry,
      shardStates,
      documents,
      departures,
      ...conditions,
    };
    running.set(name, instance);
    shardStates.forEach((_state, shard) => {
      timer.onAfter(randomBetween(0, heartbeat.intervalMs), () => {
        host.timer.onEvery(heartbeat.intervalMs, () => {
          if (isRunning(instance)) checkLeadership(instance, shard);
        });
      });
    });
    return instance;
  }

  function shardOf(instance: SimulatedInstance, job: LeasedJob): number {
    const number = Number(job.id.slice(1));
    return (number + (instance.hasOtherList ? 1 : 0)) % shards;
  }

  /** Fails the requests of closed connections after a random delay. */
  function loseConnections(withinMs: number): void {
    for (const failIfClosed of [...onConnectionLoss])
      timer.onAfter(randomBetween(0, withinMs), failIfClosed);
  }

  return {
    environment,
    running: () => [...running.values()],
    startInstance,
    dispatcherOf: (shard: number) => dispatcherInstanceOf(stored[shard]),
    /**
     * Whether the dispatcher of each shard has run since the given time and reaches the store, and that of
     * the endpoint's shard has read it as leaving since then.
     */
    haveReadAsLeavingSince: (id: string, sinceMs: number) =>
      stored.every((view, shard) => {
        const instance = dispatcherInstanceOf(view);
        if (instance === undefined || !reachesStore(instance)) return false;
        const { dispatchingSinceMs, readAsLeavingMs } = shardStateOf(instance, shard);
        if (dispatchingSinceMs > sinceMs) return false;
        const isOfShard = options.entriesOf(shard).some((entry) => entry.id === id);
        return !isOfShard || (readAsLeavingMs.get(id) ?? Infinity) <= sinceMs;
      }),
    forgetLeaving(id: string): void {
      for (const { shardStates } of running.values())
        for (const { readAsLeavingMs } of shardStates) readAsLeavingMs.delete(id);
    },
    loseConnections,
    releaseMessages: connections.releaseMessages,
    kill(instance: SimulatedInstance, noticedWithinMs: number): void {
      if (!isRunning(instance)) return;
      running.delete(instance.name);
      instance.host.kill();
      for (const state of instance.shardStates) state.dispatcher = undefined;
      traceEvent('instance is killed', { instance: instance.name });
      loseConnections(noticedWithinMs);
    },
  };
}
