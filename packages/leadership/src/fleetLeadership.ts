/**
 * Tracks the fleet on behalf of one instance: the other instances, the number of shards, and the
 * dispatcher of each shard. All shards share the peer connections, the registration of this instance
 * and the store watch. Each shard has its own dispatcher and fencing token.
 */
import type { Random, RecordedJobs } from '@celerybarrow/shared';
import type { ElapsedClock, TimerService } from '@celerybarrow/timer';
import type {
  FleetMember,
  GatewayState,
  Greeting,
  PeerServer,
  Traffic,
} from '@celerybarrow/protocol';
import { followPrefix, type Entry, type Store } from '@celerybarrow/store';
import type { Logger } from '@celerybarrow/telemetry';
import { agreeOnShardCount, parseShardCount, SHARD_COUNT_KEY } from './shardCount.js';
import type { ReplicatedDocuments } from './replicatedDocuments.js';
import { keepRegistered } from './registration.js';
import type { HeartbeatTiming } from './failureDetector.js';
import { createLeadership, type Leadership } from './leadership.js';
import { createMembers } from './members.js';
import { createPatience } from './patience.js';
import { createPeerLinks } from './peerLinks.js';
import { createStoreContact } from './storeContact.js';
import { dispatcherKey } from './storedView.js';

const MEMBER_PREFIX = 'celerybarrow/instances/';
const FLEET_PREFIX = 'celerybarrow/';
/**
 * Delay before the first dispatcher election of a new fleet. Instances receive the shard count at
 * slightly different times.
 */
const ELECTION_DELAY_MS = 100;
/** Candidates beside the dispatchers, which cover the loss of two instances at a time. */
const SPARE_CANDIDATES = 2;
/** Share of the dispatchers of a large fleet that may be lost together, with a data centre. */
const SPARE_SHARE = 0.5;

export const ONE_SHARD_HEARTBEAT: HeartbeatTiming = {
  intervalMs: 150,
  timeoutMs: 330,
  firstReplyTimeoutMs: 330,
};
/**
 * Longer, because a gateway sends heartbeats to several dispatchers. Each dispatcher still gets two
 * within the lease of the gateway's jobs.
 */
export const MANY_SHARDS_HEARTBEAT: HeartbeatTiming = {
  intervalMs: 220,
  timeoutMs: 460,
  firstReplyTimeoutMs: 1_000,
};

export interface FleetLeadershipOptions {
  readonly self: FleetMember;
  readonly greeting: Greeting;
  readonly localHost: string;
  readonly store: Store;
  readonly server: PeerServer;
  readonly documents: ReplicatedDocuments;
  readonly timer: TimerService;
  readonly clock: ElapsedClock;
  readonly random: Random;
  readonly traffic: Traffic;
  readonly logger: Logger;
  /** Returns the number of unstarted jobs of a shard by team; used while this instance dispatches it. */
  readonly waiting: (shard: number) => Record<string, number>;
  /** Called when a gateway's heartbeat reaches this instance as the dispatcher of a shard. */
  readonly onHeartbeat: (shard: number, gateway: Greeting, state: GatewayState | undefined) => void;
  /** Returns jobs of a shard cancelled after a position; used while this instance dispatches it. */
  readonly cancellationsAfter: (shard: number, position: number) => RecordedJobs;
  /** Called with jobs that a dispatcher on another instance has cancelled. */
  readonly onCancellations: (jobs: readonly string[]) => void;
}

export interface FleetLeadership {
  start(): void;
  /** Returns one `Leadership` per shard; empty until the number of shards is agreed. */
  shards(): readonly Leadership[];
  /** Registers a callback that runs once, when the number of shards is agreed. */
  onShards(subscriber: (shards: readonly Leadership[]) => void): void;
  /** Whether this instance has, or recently had, contact with the dispatcher of every shard. */
  isComplete(): boolean;
  /** Whether this instance dispatches any shard. */
  isDispatching(): boolean;
  /** Whether this instance is large enough, compared with the others, to become a dispatcher. */
  isLikelyToDispatch(): boolean;
  isStoreReachable(): boolean;
  /** Returns the number of unstarted jobs by team, as last reported by the dispatchers. */
  waiting(): Record<string, number>;
  /** Hands all shards of this instance over to other instances, before a graceful shutdown. */
  cede(): Promise<void>;
  close(): void;
}

export function createFleetLeadership(options: FleetLeadershipOptions): FleetLeadership {
  const { self, store, server, timer, clock, logger } = options;
  const closing = new AbortController();
  const members = createMembers(timer, logger);
  const patience = createPatience(timer);
  const links = createPeerLinks({ ...options, patience });
  const contact = createStoreContact(clock, logger);
  const subscribers: ((shards: readonly Leadership[]) => void)[] = [];
  /** Dispatcher entries received before the shards were created. */
  const pendingEntries = new Map<string, Entry>();
  let shards: readonly Leadership[] = [];
  let shardCount: number | undefined;

  function applyEntry(entry: Entry): void {
    if (entry.key.startsWith(MEMBER_PREFIX)) {
      members.applyEntry(entry.key.slice(MEMBER_PREFIX.length), entry.value);
    } else if (entry.key === SHARD_COUNT_KEY) {
      shardCount = parseShardCount(entry);
      if (shardCount === undefined && shards.length > 0) void restoreShardCount(entry);
    } else {
      const shard = shards.findIndex((_one, index) => dispatcherKey(index) === entry.key);
      if (shard >= 0) shards[shard]?.applyStoredEntry(entry);
      else pendingEntries.set(entry.key, entry);
    }
  }

  /** Overwrites a malformed shard count in the store with the count that this instance uses. */
  async function restoreShardCount({ revision }: Entry): Promise<void> {
    const text = JSON.stringify({ shards: shards.length });
    const restored = await store.compareAndSwap(SHARD_COUNT_KEY, revision, text);
    logger.warn('Number of shards could not be read.', {
      shards: shards.length,
      isRestored: restored.isOk,
    });
  }

  async function createShards(): Promise<void> {
    const count = await agreeOnShardCount({
      store,
      timer,
      logger,
      instances: () => members.others(self.incarnation).length + 1,
      watchedCount: () => shardCount,
      signal: closing.signal,
    });
    if (count === undefined) return;
    shards = Array.from({ length: count }, (_none, shard) => createShardLeadership(shard, count));
    for (const subscriber of subscribers) subscriber(shards);
    for (const leadership of shards) {
      const entry = pendingEntries.get(dispatcherKey(leadership.shard));
      if (entry !== undefined) leadership.applyStoredEntry(entry);
    }
    pendingEntries.clear();
    if (!shards.some((leadership) => leadership.view() !== undefined))
      await timer.sleep(ELECTION_DELAY_MS, closing.signal);
    for (const leadership of shards) leadership.start();
  }

  function createShardLeadership(shard: number, shards: number): Leadership {
    return createLeadership({
      ...options,
      shard,
      heartbeat: shards > 1 ? MANY_SHARDS_HEARTBEAT : ONE_SHARD_HEARTBEAT,
      members,
      links,
      contact,
      patience,
      ranking: () => ({
        precedingShards: countPrecedingWithoutDispatcher(shard),
        countDispatchedShards: (member) => countDispatchedBy(member, shard),
      }),
      waiting: () => options.waiting(shard),
      onHeartbeat: (gateway, state) => {
        options.onHeartbeat(shard, gateway, state);
      },
      cancellationsAfter: (position) => options.cancellationsAfter(shard, position),
    });
  }

  /** Counts the lower-numbered shards whose dispatcher is unavailable. */
  function countPrecedingWithoutDispatcher(shard: number): number {
    return shards.slice(0, shard).filter((leadership) => leadership.isDispatcherUnavailable())
      .length;
  }

  /** Counts the shards that a member dispatches, excluding one shard. */
  function countDispatchedBy(member: FleetMember, excludedShard: number): number {
    return shards.filter(
      (leadership) =>
        leadership.shard !== excludedShard &&
        leadership.view()?.dispatcher.incarnation === member.incarnation,
    ).length;
  }

  /** Closes connections to instances that are neither fleet members nor dispatchers. */
  function pruneLinks(): void {
    const wanted = new Set(members.others().map((member) => member.incarnation));
    for (const leadership of shards) {
      const view = leadership.view();
      if (view !== undefined) wanted.add(view.dispatcher.incarnation);
    }
    links.keepOnly(wanted);
  }

  function registerRequestHandlers(): void {
    server.onRequest('pulse', (request, peer) =>
      findShard(request.shard).handlePulse(request, peer),
    );
    server.onRequest('documents', (request, peer) => {
      for (const [name, document] of Object.entries(request.documents)) {
        options.documents.offer(name, document, peer.instance);
      }
      return {};
    });
    server.onRequest('fetchDocuments', ({ names }) => ({
      documents: options.documents.select(names),
    }));
    server.onRequest('opinion', (request) => findShard(request.shard).handleOpinion(request));
    server.onRequest('takeOver', (request, peer) => ({
      accepted: findShard(request.shard).handleTakeOver(request, peer),
    }));
  }

  function findShard(shard: number): Leadership {
    const leadership = shards[shard];
    if (leadership === undefined) throw new Error(`no shard ${shard} is known here`);
    return leadership;
  }

  return {
    start() {
      registerRequestHandlers();
      const common = { store, timer, random: options.random, signal: closing.signal };
      const onContact = contact.record;
      void followPrefix({
        ...common,
        prefix: FLEET_PREFIX,
        onEntry: applyEntry,
        onRemoved: (key) => {
          if (key.startsWith(MEMBER_PREFIX)) members.applyRemoval(key.slice(MEMBER_PREFIX.length));
        },
        onBatch: pruneLinks,
        onContact,
      });
      const key = `${MEMBER_PREFIX}${self.instance}`;
      void keepRegistered({ ...common, key, self, logger, onContact });
      void createShards();
    },
    shards: () => shards,
    onShards(subscriber) {
      subscribers.push(subscriber);
    },
    isComplete: () => shards.length > 0 && shards.every((leadership) => leadership.canServe()),
    isDispatching: () => shards.some((leadership) => leadership.isDispatching()),
    isLikelyToDispatch() {
      const larger = members
        .others(self.incarnation)
        .filter((member) => member.weight > self.weight);
      const spares = Math.max(SPARE_CANDIDATES, SPARE_SHARE * shards.length);
      return larger.length < shards.length + spares;
    },
    isStoreReachable: contact.isReachable,
    waiting() {
      const sums = new Map<string, number>();
      for (const leadership of shards) {
        for (const [team, count] of Object.entries(leadership.waiting()))
          sums.set(team, (sums.get(team) ?? 0) + count);
      }
      return Object.fromEntries(sums);
    },
    async cede() {
      await Promise.all(shards.map((leadership) => leadership.cede()));
    },
    close() {
      closing.abort();
      for (const leadership of shards) leadership.close();
      links.close();
    },
  };
}
