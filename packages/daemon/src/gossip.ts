/**
 * Updates instances that cannot reach the platform. An instance fetches the roster and the
 * configuration from a peer that has a newer one. It learns the versions of members of its own data
 * centre from heartbeats, and pings one random member of another data centre at a fixed interval.
 * While it has no roster or no configuration, it also requests them from the seed peers.
 */
import type { Random } from '@celerybarrow/shared';
import type { TimerService } from '@celerybarrow/timer';
import type { RequestBody, Member, PeerLink } from '@celerybarrow/protocol';
import type { ActiveConfiguration } from '@celerybarrow/configuration';
import type { Heartbeat, Peers, RosterCache } from '@celerybarrow/membership';

const REMOTE_INTERVAL_MS = 1_000;
const SEED_INTERVAL_MS = 500;
const FETCH_TIMEOUT_MS = 2_000;

export interface GossipOptions {
  readonly selfIncarnation: string;
  readonly rosters: RosterCache;
  readonly configuration: ActiveConfiguration;
  readonly peers: Peers;
  readonly heartbeat: Heartbeat;
  readonly seeds: readonly PeerLink[];
  readonly timer: TimerService;
  readonly random: Random;
  readonly createPing: () => RequestBody<'ping'>;
}

/** Starts the gossip timers. Returns a function that stops them. */
export function startGossip(options: GossipOptions): () => void {
  const { rosters, configuration, peers, heartbeat, timer, random } = options;

  function fetchNewerDocuments(
    member: Member,
    dataCentre: string,
    pong: RequestBody<'ping'>,
  ): void {
    const epoch = rosters.view(dataCentre)?.roster.epoch ?? 0;
    if (pong.epoch > epoch) void fetchRoster(peers.linkTo(member), dataCentre);
    if (pong.configurationVersion > configuration.current().version) {
      void fetchConfiguration(peers.linkTo(member), member.instance);
    }
  }

  async function fetchRoster(link: PeerLink, dataCentre: string): Promise<void> {
    const reply = await link.request('roster', { dataCentre }, { timeoutMs: FETCH_TIMEOUT_MS });
    if (reply.isOk && reply.value.roster !== undefined) rosters.update(reply.value.roster);
  }

  async function fetchConfiguration(link: PeerLink, source: string): Promise<void> {
    const ask = { newerThan: configuration.current().version };
    const reply = await link.request('configuration', ask, { timeoutMs: FETCH_TIMEOUT_MS });
    if (reply.isOk && reply.value.document !== undefined) {
      configuration.update(reply.value.document, source);
    }
  }

  function pingRandomRemoteMember(): void {
    const remote = rosters
      .rosters()
      .filter((roster) => roster.dataCentre !== rosters.dataCentre)
      .flatMap((roster) => roster.members.map((member) => ({ member, name: roster.dataCentre })));
    const chosen = remote[Math.floor(random.next() * remote.length)];
    if (chosen === undefined) return;
    void pingRemoteMember(chosen.member, chosen.name);
  }

  async function pingRemoteMember(member: Member, dataCentre: string): Promise<void> {
    const ping = { ...options.createPing(), load: { groups: [] } };
    const pong = await peers.request(member, 'ping', ping, {
      timeoutMs: FETCH_TIMEOUT_MS,
      connectWaitMs: FETCH_TIMEOUT_MS,
    });
    if (pong.isOk) fetchNewerDocuments(member, dataCentre, pong.value);
  }

  function fetchFromSeeds(): void {
    if (rosters.ownView() !== undefined && configuration.current().version > 0) return;
    for (const seed of options.seeds) {
      void fetchRoster(seed, rosters.dataCentre);
      void fetchConfiguration(seed, seed.address);
    }
  }

  heartbeat.onPong((member, pong) => {
    fetchNewerDocuments(member, rosters.dataCentre, pong);
  });
  const stopTimers = [
    timer.onEvery(REMOTE_INTERVAL_MS, pingRandomRemoteMember),
    timer.onEvery(SEED_INTERVAL_MS, fetchFromSeeds),
  ];
  return () => {
    for (const stop of stopTimers) stop();
    for (const seed of options.seeds) seed.close();
  };
}
