/** Creates an instance from its settings, starts it and stops it. */
import { randomUUID } from 'node:crypto';
import { createRandom, formatAddress, type Random } from '@celerybarrow/shared';
import type { TimerService } from '@celerybarrow/timer';
import { createLogger, createMetrics } from '@celerybarrow/telemetry';
import {
  createPeerLink,
  createPeerServer,
  createTraffic,
  PROTOCOL_VERSION,
  type RequestBody,
  type Greeting,
  type Member,
} from '@celerybarrow/protocol';
import { createHttpStore, followPrefix, type Entry } from '@celerybarrow/store';
import { CONFIGURATION_KEY, createActiveConfiguration } from '@celerybarrow/configuration';
import {
  createHeartbeat,
  createMembership,
  createPeers,
  createRosterCache,
  createSingleMemberLease,
  DIRECTORY_KEY,
  readDirectory,
  ROSTER_PREFIX,
} from '@celerybarrow/membership';
import { createClaimRegistry, createClaimStore, createHandover } from '@celerybarrow/claims';
import {
  createEndpointClient,
  createEndpointDirectory,
  createPlacement,
  createLoadBalancingPolicy,
} from '@celerybarrow/placement';
import { createAdmission } from '@celerybarrow/admission';
import { createJobService, createRouter, createTraces } from '@celerybarrow/jobs';
import { createGateway } from '@celerybarrow/gateway';
import { createOperateServer } from '@celerybarrow/operate';
import { startGossip } from './gossip.js';
import { addPeerHandlers } from './peerHandlers.js';
import type { Settings } from './settings.js';
import { createStatus } from './status.js';
import { stopGracefully } from './stopGracefully.js';

const WATCHED_PREFIX = 'celerybarrow/';
const EXPIRY_INTERVAL_MS = 5_000;
const BYTES_IN_A_MEGABYTE = 1_048_576;

export interface Daemon {
  /** Binds the listeners. Resolves when all of them accept connections. */
  start(): Promise<void>;
  /** Hands over ids and records and answers open requests. Resolves when the process may exit. */
  stop(): Promise<void>;
}

export interface DaemonOptions {
  readonly settings: Settings;
  readonly timer: TimerService;
  readonly random?: Random;
}

export function createDaemon({ settings, timer, random: injectedRandom }: DaemonOptions): Daemon {
  const random = injectedRandom ?? createRandom(seedFromUuid(randomUUID()));
  const closeController = new AbortController();
  const log = createLogger('daemon');
  const self: Member = {
    instance: settings.instance,
    incarnation: randomUUID(),
    peer: formatAddress(settings.advertisePeer ?? settings.peer),
    operate: formatAddress(settings.operate),
  };
  const greeting: Greeting = {
    version: PROTOCOL_VERSION,
    instance: self.instance,
    incarnation: self.incarnation,
    dataCentre: settings.dataCentre,
  };
  const metrics = createMetrics(settings.statsd === undefined ? {} : { statsd: settings.statsd });
  const traffic = createTraffic();
  const platform = createHttpStore(settings.platform);
  const configuration = createActiveConfiguration(createLogger('configuration'));
  const rosters = createRosterCache(settings.dataCentre, createLogger('roster'));
  const linkOptions = { self: greeting, localHost: settings.peer.host, timer, random, traffic };
  const peers = createPeers({ ...linkOptions, isListed: isListedMember });
  const seeds = settings.seedPeers.map((seed) =>
    createPeerLink({ ...linkOptions, address: formatAddress(seed) }),
  );
  const directory = createEndpointDirectory({
    dataCentre: settings.dataCentre,
    platform,
    timer,
    random,
    logger: createLogger('endpoints'),
    signal: closeController.signal,
  });
  const heartbeat = createHeartbeat({
    selfIncarnation: self.incarnation,
    rosters,
    peers,
    timer,
    createPing,
  });
  const client = createEndpointClient();
  const placement = createPlacement({
    self,
    client,
    directory,
    rosters,
    peers,
    heartbeat,
    policy: createLoadBalancingPolicy(settings.policy, random),
    timer,
    random,
    metrics,
    concurrencyOf,
  });
  const singleMemberLease = createSingleMemberLease({
    platform,
    timer,
    rosters,
    incarnation: self.incarnation,
  });
  const store = createClaimStore();
  const claimRegistry = createClaimRegistry({
    self,
    store,
    rosters,
    peers,
    heartbeat,
    singleMemberLease,
    timer,
  });
  const handover = createHandover({
    self,
    store,
    rosters,
    peers,
    timer,
    logger: createLogger('claims'),
    stopClaiming: () => claimRegistry.cede(),
  });
  const membership = createMembership({
    self,
    platform,
    timer,
    rosters,
    peers,
    heartbeat,
    singleMemberLease,
    logger: createLogger('membership'),
    isDelisted: (instance) => directory.isDelisted(instance),
    hasSealed: () => claimRegistry.isSealed(),
    hasTransferredClaims: (epoch) => handover.hasTransferredClaims(epoch),
  });
  const admission = createAdmission({
    configuration,
    timer,
    random,
    countInstances,
  });
  const traces = createTraces(() => timer.wallMs());
  const jobs = createJobService({
    self,
    store,
    claimRegistry,
    handover,
    rosters,
    peers,
    configuration,
    admission,
    placement,
    timer,
    metrics,
    traces,
    answerBytes: settings.answerMegabytes * BYTES_IN_A_MEGABYTE,
  });
  const router = createRouter({
    self,
    jobs,
    rosters,
    peers,
    timer,
    random,
    readDirectory: () => readDirectory(platform),
    pledge: (ask) => claimRegistry.pledge(ask),
    findTrace: (id) => traces.find(id),
  });
  const gateway = createGateway({ router, logger: createLogger('gateway'), metrics });
  const peerLog = createLogger('peers');
  const peerServer = createPeerServer({
    self: greeting,
    timer,
    traffic,
    onProtocolError: (fault, remote) => {
      peerLog.warn('Closed a connection.', { remote, reason: fault.message });
    },
  });
  const status = createStatus({
    settings,
    self,
    metrics,
    traffic,
    platform,
    configuration,
    rosters,
    membership,
    store,
    placement,
    admission,
    jobs,
    gateway,
    timer,
  });
  const operate = createOperateServer({
    isReady: () => !status.isStopping() && status.hasReadPlatform(),
    status: status.describe,
    router,
    configuration,
    logger: createLogger('operate'),
  });

  function countInstances(): number {
    return rosters.rosters().reduce((sum, roster) => sum + roster.members.length, 0);
  }

  /**
   * Returns this instance's equal share of the concurrency limit of a service. The share is at
   * least one task; with none, jobs would wait forever.
   */
  function concurrencyOf(service: string): number {
    const limit = configuration.findService(service)?.limits.concurrency;
    if (limit === undefined) return Number.POSITIVE_INFINITY;
    return Math.max(1, Math.ceil(limit / Math.max(1, countInstances())));
  }

  function createPing(): RequestBody<'ping'> {
    return {
      epoch: rosters.ownView()?.roster.epoch ?? 0,
      configurationVersion: configuration.current().version,
      load: placement.load(),
    };
  }

  function isListedMember(incarnation: string): boolean {
    return rosters
      .rosters()
      .some((roster) => roster.members.some((member) => member.incarnation === incarnation));
  }

  function onEntry(entry: Entry): void {
    if (entry.key === CONFIGURATION_KEY) configuration.update(entry.value, 'platform');
    else if (entry.key === DIRECTORY_KEY) rosters.updateDirectory(entry.value);
    else if (entry.key.startsWith(ROSTER_PREFIX)) rosters.updateFromText(entry.value);
  }

  heartbeat.onPong((member, pong) => {
    placement.onPeerLoad(member.incarnation, pong.load);
  });
  addPeerHandlers({
    server: peerServer,
    rosters,
    configuration,
    claimRegistry,
    handover,
    placement,
    jobs,
    router,
    traces,
    createPing,
  });
  const stopGossip = startGossip({
    selfIncarnation: self.incarnation,
    rosters,
    configuration,
    peers,
    heartbeat,
    seeds,
    timer,
    random,
    createPing,
  });
  const stopExpiry = timer.onEvery(EXPIRY_INTERVAL_MS, () => {
    store.expire(timer.wallMs());
  });

  async function close(): Promise<void> {
    closeController.abort();
    stopGossip();
    stopExpiry();
    membership.close();
    heartbeat.close();
    handover.close();
    placement.close();
    peers.close();
    metrics.close();
    await Promise.all([peerServer.close(), operate.close(), client.close(), platform.close()]);
  }

  return {
    async start() {
      await peerServer.listen(settings.peer);
      await operate.listen(settings.operate);
      await gateway.listen(settings.listen);
      void followPrefix({
        store: platform,
        timer,
        random,
        prefix: WATCHED_PREFIX,
        onEntry,
        onContact: status.onPlatformContact,
        signal: closeController.signal,
      });
      log.info('Started.', { instance: settings.instance, dataCentre: settings.dataCentre });
    },
    async stop() {
      status.startStopping();
      await stopGracefully({
        gateway,
        handover,
        jobs,
        placement,
        membership,
        timer,
        logger: log,
        drainGraceMs: settings.drainGraceMs,
      });
      await close();
    },
  };
}

const SEED_HEX_DIGITS = 8;

function seedFromUuid(uuid: string): number {
  return Number.parseInt(uuid.slice(0, SEED_HEX_DIGITS), 16);
}
