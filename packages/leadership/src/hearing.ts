/**
 * What the signs of life to a dispatcher have shown: whether it answers, owes an answer, or is in
 * doubt. Everything begins anew with each view.
 */
import type { PeerLink } from '@celerybarrow/protocol';
import type { ElapsedClock, SteadyClock } from '@celerybarrow/timer';

/** Answers to signs of life come within milliseconds; a dispatcher that owes one may be cut off. */
const OVERDUE_MS = 100;
/** How long a dispatcher may be out of hearing before callers are better served elsewhere. */
const UNHEARD_LIMIT_MS = 1_500;

export interface Hearing {
  /** A new view was learned; its dispatcher may be busy opening connections. */
  restart(): void;
  noteAsked(): void;
  noteHeard(): void;
  /** Time since the dispatcher was heard; undefined if it has not been under this view. */
  silentMs(): number | undefined;
  /** Whether it owes the answer to a sign of life for too long to be given jobs. */
  isOverdue(): boolean;
  /** Whether it is to be doubted: after the usual silence, or sooner if its connection tells. */
  isLost(link: PeerLink): boolean;
  /** Notes the doubt; true the first time. */
  doubt(): boolean;
  isDoubted(): boolean;
  /** How long it has been in doubt for certain; others act on it. */
  doubtedForMs(): number;
  isUnheardForLong(): boolean;
}

export function createHearing(
  clock: ElapsedClock,
  steady: SteadyClock,
  silenceMs: number,
): Hearing {
  let learnedMs = clock.nowMs();
  let heardMs: number | undefined;
  let askedMs: number | undefined;
  let doubtedMs: number | undefined;
  /** The same moment on the steady clock. */
  let doubtedSteadyMs = 0;

  function sinceMs(momentMs: number): number {
    return clock.nowMs() - momentMs;
  }

  return {
    restart() {
      learnedMs = clock.nowMs();
      heardMs = undefined;
      askedMs = undefined;
      doubtedMs = undefined;
    },
    noteAsked() {
      if (heardMs !== undefined) askedMs ??= clock.nowMs();
    },
    noteHeard() {
      heardMs = clock.nowMs();
      askedMs = undefined;
      doubtedMs = undefined;
    },
    silentMs: () => (heardMs === undefined ? undefined : sinceMs(heardMs)),
    isOverdue: () => askedMs !== undefined && sinceMs(askedMs) > OVERDUE_MS,
    isLost(link) {
      const isSilent = sinceMs(heardMs ?? learnedMs) > silenceMs;
      const hasBrokenOff = heardMs !== undefined && !link.isConnected();
      return isSilent || hasBrokenOff || link.isRefused();
    },
    doubt() {
      const isFirst = doubtedMs === undefined;
      if (isFirst) {
        doubtedMs = clock.nowMs();
        doubtedSteadyMs = steady.nowMs();
      }
      return isFirst;
    },
    isDoubted: () => doubtedMs !== undefined,
    doubtedForMs: () => (doubtedMs === undefined ? 0 : steady.nowMs() - doubtedSteadyMs),
    isUnheardForLong: () => doubtedMs !== undefined && sinceMs(doubtedMs) >= UNHEARD_LIMIT_MS,
  };
}
