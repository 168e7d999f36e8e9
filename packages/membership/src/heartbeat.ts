/**
 * Sends heartbeats to the other members of the data centre, in one loop for each member. A ping
 * carries the sender's epoch, configuration version and load, so that a member that is behind can
 * fetch newer versions from its peers.
 */
import type { TimerService } from '@celerybarrow/timer';
import type { RequestBody, Member } from '@celerybarrow/protocol';
import type { Peers } from './peers.js';
import type { RosterCache } from './rosterCache.js';

export const HEARTBEAT_INTERVAL_MS = 1_000;
/** Time without an answer after which a member is suspected to have failed. */
export const HEARTBEAT_TIMEOUT_MS = 2_500;
const PAUSE_CHECK_INTERVAL_MS = 250;
/** A longer gap between two checks means that this process itself was paused. */
const PAUSE_THRESHOLD_MS = 1_000;

export interface Heartbeat {
  /** Whether a member is suspected to have failed. */
  isSuspected(incarnation: string): boolean;
  /**
   * Whether a member's process has certainly ended: its address refuses connections or answers as
   * another incarnation.
   */
  isGone(incarnation: string): boolean;
  isReachable(incarnation: string): boolean;
  onPong(subscriber: (member: Member, pong: RequestBody<'ping'>) => void): void;
  close(): void;
}

export interface HeartbeatOptions {
  readonly selfIncarnation: string;
  readonly rosters: RosterCache;
  readonly peers: Peers;
  readonly timer: TimerService;
  readonly createPing: () => RequestBody<'ping'>;
}

interface MemberHeartbeat {
  lastContactMs: number;
  hasAnswered: boolean;
  readonly stop: AbortController;
}

export function createHeartbeat(options: HeartbeatOptions): Heartbeat {
  const { rosters, peers, timer } = options;
  const heartbeats = new Map<string, MemberHeartbeat>();
  const subscribers = new Set<(member: Member, pong: RequestBody<'ping'>) => void>();
  let lastPauseCheckMs = timer.nowMs();

  function syncMembers(): void {
    const view = rosters.ownView();
    const members = view === undefined ? [] : view.roster.members;
    const others = members.filter((member) => member.incarnation !== options.selfIncarnation);
    for (const member of others) {
      if (!heartbeats.has(member.incarnation)) startHeartbeat(member);
    }
    for (const [incarnation, heartbeat] of heartbeats) {
      if (others.some((member) => member.incarnation === incarnation)) continue;
      heartbeat.stop.abort();
      heartbeats.delete(incarnation);
    }
  }

  function startHeartbeat(member: Member): void {
    const heartbeat = {
      lastContactMs: timer.nowMs(),
      hasAnswered: false,
      stop: new AbortController(),
    };
    heartbeats.set(member.incarnation, heartbeat);
    void sendPings(member, heartbeat);
  }

  async function sendPings(member: Member, heartbeat: MemberHeartbeat): Promise<void> {
    const { signal } = heartbeat.stop;
    while (!signal.aborted) {
      const timeoutMs = HEARTBEAT_TIMEOUT_MS;
      const pong = await peers.request(member, 'ping', options.createPing(), { timeoutMs, signal });
      if (pong.isOk) {
        heartbeat.lastContactMs = timer.nowMs();
        heartbeat.hasAnswered = true;
        for (const subscriber of subscribers) subscriber(member, pong.value);
      }
      await timer.sleep(HEARTBEAT_INTERVAL_MS, signal);
    }
  }

  /**
   * Restarts the heartbeat timeouts after a pause of this process. Missing answers from that time
   * do not show that the other members failed.
   */
  function resetAfterOwnPause(): void {
    const nowMs = timer.nowMs();
    if (nowMs - lastPauseCheckMs > PAUSE_THRESHOLD_MS) {
      for (const heartbeat of heartbeats.values()) heartbeat.lastContactMs = nowMs;
    }
    lastPauseCheckMs = nowMs;
  }

  function isSuspected(incarnation: string): boolean {
    resetAfterOwnPause();
    const heartbeat = heartbeats.get(incarnation);
    if (heartbeat === undefined) return false;
    return isGone(incarnation) || timer.nowMs() - heartbeat.lastContactMs > HEARTBEAT_TIMEOUT_MS;
  }

  function isGone(incarnation: string): boolean {
    const member = rosters.ownView()?.roster.members.find((one) => one.incarnation === incarnation);
    return member !== undefined && peers.linkTo(member).isGone();
  }

  rosters.onChange((dataCentre) => {
    if (dataCentre === rosters.dataCentre) syncMembers();
  });
  syncMembers();
  const stopPauseChecks = timer.onEvery(PAUSE_CHECK_INTERVAL_MS, resetAfterOwnPause);

  return {
    isSuspected,
    isGone,
    isReachable(incarnation) {
      if (incarnation === options.selfIncarnation) return true;
      const heartbeat = heartbeats.get(incarnation);
      return heartbeat?.hasAnswered === true && !isSuspected(incarnation);
    },
    onPong(subscriber) {
      subscribers.add(subscriber);
    },
    close() {
      stopPauseChecks();
      for (const heartbeat of heartbeats.values()) heartbeat.stop.abort();
      heartbeats.clear();
    },
  };
}
