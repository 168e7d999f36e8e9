/**
 * Failure detector for the dispatcher of a shard, driven by the heartbeats that this instance sends
 * to it. It tells whether the dispatcher replies, has a reply outstanding, or is suspected. The state
 * is reset for each view.
 */
import type { PeerLink } from '@celerybarrow/protocol';
import type { ElapsedClock, MonotonicClock } from '@celerybarrow/timer';
import type { Patience } from './patience.js';
import { createRecentMaximum } from './recentMaximum.js';

/** Heartbeats are answered within milliseconds; a dispatcher with a late reply may be partitioned. */
const REPLY_OVERDUE_MS = 100;
/**
 * Changes of dispatcher that are common after one fault or two. Each further one within the retention
 * time doubles the timeout, because takeovers in a series cause each other.
 */
const USUAL_CHANGES = 3;
const CHANGE_RETENTION_MS = 12_000;
const MAX_DOUBLINGS = 3;
/** Slower replies extend no time limit further. */
const MAX_REPLY_MS = 1_000;
/** After this time under suspicion, callers are better served by another instance. */
const CONTACT_LOST_MS = 1_500;

export interface HeartbeatTiming {
  /** Interval between heartbeats to a dispatcher. */
  readonly intervalMs: number;
  /** Time without contact after which the dispatcher is suspected and peers are polled. */
  readonly timeoutMs: number;
  /** The same for a new dispatcher, to which all instances open connections at the same moment. */
  readonly firstReplyTimeoutMs: number;
}

export interface FailureDetector {
  /**
   * Starts over for a new view. The heartbeat timeout then counts from this moment, because the new
   * dispatcher may be busy opening connections.
   */
  reset(): void;
  /**
   * Records that a heartbeat was sent. The oldest unanswered one counts for `isReplyOverdue`, except
   * before the first contact under a view.
   */
  recordHeartbeatSent(): void;
  /** Records the reply to a heartbeat that was sent at `sentMs`, on the elapsed clock; ends a suspicion. */
  recordContact(sentMs: number): void;
  /** Returns the time since the last contact; undefined if there was none under this view. */
  silentMs(): number | undefined;
  /** Whether a heartbeat reply is so late that the dispatcher should get no jobs. */
  isReplyOverdue(): boolean;
  /** Returns the time without contact after which the dispatcher is suspected. */
  timeoutMs(): number;
  /** Whether the heartbeat timeout has passed, or the connection was closed or refused before that. */
  shouldSuspect(link: PeerLink): boolean;
  /** Marks the dispatcher as suspected. Returns true if it was not suspected before. */
  suspect(): boolean;
  isSuspected(): boolean;
  /**
   * Returns for how long the dispatcher has been suspected. Takeovers depend on it, so it is measured
   * by the monotonic clock, which never runs early.
   */
  suspectedForMs(): number;
  /** Whether the dispatcher has been suspected for so long that callers should use another instance. */
  isContactLost(): boolean;
}

export function createFailureDetector(
  clock: ElapsedClock,
  monotonicClock: MonotonicClock,
  heartbeat: HeartbeatTiming,
  patience: Patience,
): FailureDetector {
  /** Outlives a view: the next dispatcher is reached through the same link of this machine. */
  const replyMs = createRecentMaximum(monotonicClock);
  let resetMs = clock.nowMs();
  let lastContactMs: number | undefined;
  /** When the oldest unanswered heartbeat was sent. */
  let unansweredSinceMs: number | undefined;
  let suspectedSinceMs: number | undefined;
  /** The moment of `suspectedSinceMs` on the monotonic clock. */
  let suspectedSinceMonotonicMs = 0;
  /** When the view changed, on the monotonic clock. */
  let changesMs: number[] = [];

  function sinceMs(momentMs: number): number {
    return clock.nowMs() - momentMs;
  }

  function countUnusualChanges(): number {
    const nowMs = monotonicClock.nowMs();
    changesMs = changesMs.filter((atMs) => nowMs - atMs < CHANGE_RETENTION_MS);
    return Math.max(0, changesMs.length - USUAL_CHANGES);
  }

  function timeoutMs(): number {
    const factor = 2 ** Math.min(countUnusualChanges(), MAX_DOUBLINGS);
    const limitMs =
      lastContactMs === undefined ? heartbeat.firstReplyTimeoutMs : heartbeat.timeoutMs;
    return patience.extend(factor * (limitMs + replyMs.value()));
  }

  return {
    reset() {
      resetMs = clock.nowMs();
      changesMs.push(monotonicClock.nowMs());
      lastContactMs = undefined;
      unansweredSinceMs = undefined;
      suspectedSinceMs = undefined;
    },
    recordHeartbeatSent() {
      if (lastContactMs !== undefined) unansweredSinceMs ??= clock.nowMs();
    },
    recordContact(sentMs) {
      const nowMs = clock.nowMs();
      replyMs.record(Math.min(nowMs - sentMs, MAX_REPLY_MS));
      lastContactMs = nowMs;
      unansweredSinceMs = undefined;
      suspectedSinceMs = undefined;
    },
    silentMs: () => (lastContactMs === undefined ? undefined : sinceMs(lastContactMs)),
    isReplyOverdue: () =>
      unansweredSinceMs !== undefined &&
      sinceMs(unansweredSinceMs) > REPLY_OVERDUE_MS + replyMs.value(),
    timeoutMs,
    shouldSuspect(link) {
      const isTimedOut = sinceMs(lastContactMs ?? resetMs) > timeoutMs();
      if (isTimedOut || link.isGone()) return true;
      const isDisconnected = lastContactMs !== undefined && !link.isConnected();
      return (isDisconnected || link.isRefused()) && countUnusualChanges() === 0;
    },
    suspect() {
      const isNewSuspicion = suspectedSinceMs === undefined;
      if (isNewSuspicion) {
        suspectedSinceMs = clock.nowMs();
        suspectedSinceMonotonicMs = monotonicClock.nowMs();
      }
      return isNewSuspicion;
    },
    isSuspected: () => suspectedSinceMs !== undefined,
    suspectedForMs: () =>
      suspectedSinceMs === undefined ? 0 : monotonicClock.nowMs() - suspectedSinceMonotonicMs,
    isContactLost: () =>
      suspectedSinceMs !== undefined && sinceMs(suspectedSinceMs) >= CONTACT_LOST_MS,
  };
}
