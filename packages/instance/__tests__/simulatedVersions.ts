/**
 * Simulates instances that watch the configuration in virtual time. The store refuses some of them,
 * stops answering on open connections, compacts its history, and is unreachable for all. Each instance
 * runs the real watcher and the real documents. Heartbeats to a dispatcher, which changes, carry the
 * documents.
 */
import { Result } from 'true-myth';
import { createReplicatedDocuments, type ReplicatedDocuments } from '@celerybarrow/leadership';
import { createRandom, ErrorCodes, type Random } from '@celerybarrow/shared';
import { CALL_TIMEOUT_MS, StoreError, watchTimeoutMs, type Store } from '@celerybarrow/store';
import { createMetrics } from '@celerybarrow/telemetry';
import { createElapsedClock, createManualTimer, type ManualTimer } from '@celerybarrow/timer';
import { createRoutingWatcher, type RoutingWatcher } from '../src/index.js';

const DURATION_MS = 40_000;
const CHECK_INTERVAL_MS = 50;
const HEARTBEAT_INTERVAL_MS = 150;
/** How long watches report no change before a compaction resets them. */
const WATCH_STALL_MS = 1_000;
/** How long an instance must be free of faults before callers rely on its configuration. */
const UNDISTURBED_MS = 3_000;
/** Maximum time from the acknowledgement of a version until such an instance has it. */
const DEADLINE_MS = 2_000;
/** How long a dispatcher may act on an older version than one that a connected gateway has. */
const MAX_REGRESSION_MS = 250;
/** Like DEADLINE_MS, for an instance that the store refuses and other instances reach. */
const SHARED_DEADLINE_MS = 7_000;

type Refusal = 'silent' | 'busy' | 'reset';

interface SimulatedWatcher {
  readonly name: string;
  readonly documents: ReplicatedDocuments;
  readonly watcher: RoutingWatcher;
  refusal: Refusal | undefined;
  isConnectedToPeers: boolean;
  /** When the store stopped answering on its open connections. */
  connectionsStalledMs: number;
  /** When the connections in use were opened. */
  connectionsOpenedMs: number;
  /** When the store was last faulty for this instance. */
  lastStoreFaultMs: number;
  /** When the connections to other instances were last faulty. */
  lastPeerFaultMs: number;
  highestVersion: number;
}

export interface VersionFault {
  readonly atMs: number;
  readonly instance: string;
  readonly has: number;
  readonly expected: number;
  readonly rule: string;
}

export async function simulateVersions(seed: number): Promise<VersionFault[]> {
  const timer = createManualTimer(1_000_000);
  const random = createRandom(seed);
  const randomBetween = (min: number, max: number) => min + (max - min) * random.next();
  const chance = (probability: number) => random.next() < probability;
  const history = createHistory(timer, random);
  const instances = Array.from({ length: 3 + Math.floor(randomBetween(0, 7)) }, (_none, index) =>
    createSimulatedWatcher(`i${index}`, timer, random, history),
  );
  const faults: VersionFault[] = [];
  let dispatcher: SimulatedWatcher | undefined = instances[0];
  let dispatcherSinceMs = timer.nowMs();

  history.publish();
  for (const instance of instances) {
    instance.watcher.start();
    timer.onEvery(HEARTBEAT_INTERVAL_MS, () => {
      exchangeDocuments(instance);
    });
  }

  function exchangeDocuments(instance: SimulatedWatcher): void {
    const to = dispatcher;
    if (
      to === undefined ||
      to === instance ||
      !instance.isConnectedToPeers ||
      !to.isConnectedToPeers
    )
      return;
    // Some documents are delayed, so that they arrive with a version that was replaced meanwhile.
    const delayMs = chance(0.05) ? randomBetween(100, 1_500) : 0;
    timer.onAfter(randomBetween(0.3, 3), () => {
      const announced = to.documents.announce(instance.documents.versions());
      const wanted = to.documents.missing(instance.documents.versions());
      const replyMs = randomBetween(0.3, 3);
      timer.onAfter(replyMs, () => {
        fetchDocuments(instance, to, announced, delayMs);
      });
      timer.onAfter(replyMs + randomBetween(0.3, 3), () => {
        offerAll(to, instance.documents.select(wanted), instance);
      });
    });
  }

  /** Fetches announced documents. Their texts are read when the request arrives, and may be delayed. */
  function fetchDocuments(
    instance: SimulatedWatcher,
    from: SimulatedWatcher,
    announced: ReturnType<ReplicatedDocuments['announce']>,
    delayMs: number,
  ): void {
    const names = instance.documents.toFetch(announced);
    if (names.length === 0) return;
    timer.onAfter(randomBetween(0.3, 3), () => {
      const documents = from.documents.select(names);
      timer.onAfter(randomBetween(0.3, 3) + delayMs, () => {
        const isConnected = instance.isConnectedToPeers && from.isConnectedToPeers;
        if (isConnected) offerAll(instance, documents, from);
        instance.documents.endFetch(names, isConnected);
      });
    });
  }

  function offerAll(
    to: SimulatedWatcher,
    documents: ReturnType<ReplicatedDocuments['select']>,
    from: SimulatedWatcher,
  ): void {
    for (const [name, document] of Object.entries(documents)) {
      to.documents.offer(name, document, from.name);
    }
  }

  function injectFault(): void {
    const forMs = randomBetween(300, 12_000);
    const affected = instances.filter(() => chance(0.4));
    if (dispatcher !== undefined && chance(0.5) && !affected.includes(dispatcher))
      affected.push(dispatcher);
    const kind = Math.floor(randomBetween(0, 6));
    if (kind === 0) refuseStoreCalls(affected, forMs);
    else if (kind === 1) refuseStoreCalls(instances, Math.min(forMs, 6_000));
    else if (kind === 2) stallConnections(chance(0.5) ? instances : affected);
    else if (kind === 3) history.compact(instances);
    else if (kind === 4) disconnectFromPeers(affected, forMs);
    else changeDispatcher();
  }

  function refuseStoreCalls(affected: readonly SimulatedWatcher[], forMs: number): void {
    const refusal = (['silent', 'busy', 'reset'] as const)[Math.floor(randomBetween(0, 3))];
    for (const instance of affected) {
      instance.refusal = refusal;
      timer.onAfter(forMs, () => {
        instance.refusal = undefined;
        instance.lastStoreFaultMs = timer.nowMs();
      });
    }
  }

  function stallConnections(affected: readonly SimulatedWatcher[]): void {
    for (const instance of affected) {
      instance.connectionsStalledMs = timer.nowMs();
      instance.lastStoreFaultMs = timer.nowMs();
    }
  }

  function disconnectFromPeers(affected: readonly SimulatedWatcher[], forMs: number): void {
    for (const instance of affected) {
      instance.isConnectedToPeers = false;
      timer.onAfter(forMs, () => {
        instance.isConnectedToPeers = true;
        instance.lastPeerFaultMs = timer.nowMs();
      });
    }
  }

  function changeDispatcher(): void {
    dispatcher = undefined;
    timer.onAfter(randomBetween(200, 2_000), () => {
      dispatcher = instances[Math.floor(randomBetween(0, instances.length))];
      dispatcherSinceMs = timer.nowMs();
    });
  }

  const isUndisturbedSince = (sinceMs: number) => timer.nowMs() - sinceMs >= UNDISTURBED_MS;
  const hasStableStore = (instance: SimulatedWatcher) =>
    instance.refusal === undefined && isUndisturbedSince(instance.lastStoreFaultMs);
  const hasStablePeers = (instance: SimulatedWatcher) =>
    instance.isConnectedToPeers && isUndisturbedSince(instance.lastPeerFaultMs);
  const canShare = () =>
    dispatcher !== undefined && hasStablePeers(dispatcher) && isUndisturbedSince(dispatcherSinceMs);

  /** Returns the newest version that a connected gateway has had for MAX_REGRESSION_MS or longer. */
  function newestVersionOf(gateways: readonly SimulatedWatcher[], to: SimulatedWatcher): number {
    const others = gateways.filter((instance) => instance !== to && hasStablePeers(instance));
    return Math.max(
      0,
      ...others
        .map(({ watcher }) => watcher.status())
        .map((status) =>
          status !== undefined && status.inForceForMs >= MAX_REGRESSION_MS ? status.version : 0,
        ),
    );
  }

  function checkVersions(): void {
    for (const instance of instances) {
      const has = instance.watcher.routing()?.version ?? 0;
      const expectAtLeast = (rule: string, expected: number) => {
        if (has >= expected) return;
        faults.push({ atMs: timer.nowMs(), instance: instance.name, has, expected, rule });
      };
      expectAtLeast('the version went back', instance.highestVersion);
      instance.highestVersion = Math.max(instance.highestVersion, has);
      if (instance === dispatcher && hasStablePeers(instance) && canShare())
        expectAtLeast(
          'the dispatcher lags behind its gateways',
          newestVersionOf(instances, instance),
        );
      if (hasStableStore(instance))
        expectAtLeast('late at an instance that reaches the store', history.before(DEADLINE_MS));
      else if (
        hasStablePeers(instance) &&
        canShare() &&
        instances.some((other) => hasStableStore(other) && hasStablePeers(other))
      )
        expectAtLeast(
          'late at an instance that reaches only other instances',
          history.before(SHARED_DEADLINE_MS),
        );
    }
  }

  for (let atMs = 0; atMs < DURATION_MS; atMs += CHECK_INTERVAL_MS) {
    if (chance(0.025)) history.publish();
    if (chance(0.02)) injectFault();
    await timer.advance(CHECK_INTERVAL_MS);
    checkVersions();
  }
  return faults;
}

/** Simulates the store's side: the acknowledged versions with their times, and the compaction. */
function createHistory(timer: ManualTimer, random: Random) {
  const versions: { readonly version: number; readonly revision: number; readonly atMs: number }[] =
    [];
  let revision = 1;
  let compactedUpTo = 0;
  let watchStalledUntilMs = 0;
  const watchResets = new Set<() => void>();

  return {
    publish() {
      revision += 1 + Math.floor(random.next() * 5);
      const version = (versions.at(-1)?.version ?? 0) + 1 + Math.floor(random.next() * 4);
      versions.push({ version, revision, atMs: timer.nowMs() });
    },
    /** Returns the newest version that was acknowledged at least the given time ago. */
    before: (ageMs: number) =>
      versions.findLast(({ atMs }) => timer.nowMs() - atMs >= ageMs)?.version ?? 0,
    newest: () => versions.at(-1),
    revision: () => revision,
    isCompacted: (after: number) => after < compactedUpTo,
    isWatchStalled: () => timer.nowMs() < watchStalledUntilMs,
    onWatchReset(reset: () => void) {
      watchResets.add(reset);
      return () => watchResets.delete(reset);
    },
    compact(instances: readonly SimulatedWatcher[]) {
      watchStalledUntilMs = timer.nowMs() + WATCH_STALL_MS;
      const recordStoreFault = () => {
        for (const instance of instances) instance.lastStoreFaultMs = timer.nowMs();
      };
      recordStoreFault();
      timer.onAfter(WATCH_STALL_MS, () => {
        compactedUpTo = revision;
        for (const reset of [...watchResets]) reset();
        recordStoreFault();
      });
    },
  };
}

type History = ReturnType<typeof createHistory>;

function createSimulatedWatcher(
  name: string,
  timer: ManualTimer,
  random: Random,
  history: History,
): SimulatedWatcher {
  const documents = createReplicatedDocuments(timer);
  const closing = new AbortController();
  const instance: SimulatedWatcher = {
    name,
    documents,
    watcher: createRoutingWatcher({
      store: createSimulatedStore(() => instance, timer, random, history),
      source: {
        prefix: 'configuration',
        read: ({ value }) => ({
          value: {
            version: Number(value),
            queues: [],
            limits: { bodyBytes: 1, headerMs: 1, idleMs: 1 },
          },
          faults: [],
        }),
      },
      documents,
      timer,
      clock: createElapsedClock(timer),
      random,
      metrics: createMetrics(),
      signal: closing.signal,
    }),
    refusal: undefined,
    isConnectedToPeers: true,
    connectionsStalledMs: -Infinity,
    connectionsOpenedMs: timer.nowMs(),
    lastStoreFaultMs: timer.nowMs(),
    lastPeerFaultMs: timer.nowMs(),
    highestVersion: 0,
  };
  return instance;
}

/** Simulates the store as one instance reaches it, with the timeouts of the real client. */
function createSimulatedStore(
  instanceOf: () => SimulatedWatcher,
  timer: ManualTimer,
  random: Random,
  history: History,
): Store {
  const unreachable = () => Result.err(new StoreError(ErrorCodes.PLATFORM_UNREACHABLE));

  async function call<T>(timeoutMs: number, answer: () => T | undefined) {
    const instance = instanceOf();
    const { connectionsOpenedMs } = instance;
    const sentMs = timer.nowMs();
    let isReset = false;
    const unsubscribe = history.onWatchReset(() => {
      isReset = true;
    });
    await timer.sleep(1 + 4 * random.next());
    try {
      for (;;) {
        const isStalled =
          instance.connectionsStalledMs >= connectionsOpenedMs || instance.refusal === 'silent';
        if (!isStalled) {
          if (instance.refusal !== undefined || isReset) return unreachable();
          const answered = answer();
          if (answered !== undefined) return answered;
        }
        if (timer.nowMs() - sentMs >= timeoutMs) break;
        await timer.sleep(10);
      }
      if (instance.connectionsOpenedMs === connectionsOpenedMs)
        instance.connectionsOpenedMs = timer.nowMs();
      return unreachable();
    } finally {
      unsubscribe();
    }
  }

  function read(after: number) {
    const newest = history.newest();
    const isNew = newest !== undefined && newest.revision > after && !history.isWatchStalled();
    const entry = { key: 'configuration', value: String(newest?.version), revision: 0 };
    return { revision: after, entries: isNew ? [entry] : [], removed: [] as string[] };
  }

  const store: Pick<Store, 'list' | 'watch'> = {
    list: () =>
      call(CALL_TIMEOUT_MS, () => {
        const newest = history.newest();
        const entries =
          newest === undefined
            ? []
            : [{ key: 'configuration', value: String(newest.version), revision: newest.revision }];
        return Result.ok({ revision: history.revision(), entries, removed: [] });
      }),
    watch(_prefix, after, { waitMs }) {
      const untilMs = timer.nowMs() + waitMs;
      return call(watchTimeoutMs(waitMs), () => {
        if (history.isCompacted(after)) {
          return Result.err(new StoreError(ErrorCodes.PLATFORM_HISTORY_LOST));
        }
        const changes = read(after);
        if (changes.entries.length > 0) {
          return Result.ok({ ...changes, revision: history.revision() });
        }
        return timer.nowMs() >= untilMs ? Result.ok(changes) : undefined;
      });
    },
  };
  return store as Store;
}
