/**
 * Tells when the fencing token of a dispatcher changes while it runs, and which endpoints may have got
 * orders under an earlier one.
 *
 * Fault pattern: two dispatchers are disconnected from each other. One of them raises its token above
 * that of the other, or is named again, and goes on with the jobs that it had. Under the tokens in
 * between, the other one may have started tasks of the same jobs.
 */
import type { ElapsedClock, MonotonicClock } from '@celerybarrow/timer';

/** A job outlives the departure of an endpoint from the list by less than this. */
const DEPARTURE_RETENTION_MS = 12_000;

/** A fencing token of this dispatcher, and since when it had it, on the elapsed clock. */
export interface EarlierToken {
  readonly fence: number;
  readonly sinceMs: number;
}

export interface TokenChanges {
  /** Returns the present token. */
  fence(): number;
  /** Since when this dispatcher has had the present token, on the elapsed clock. */
  sinceMs(): number;
  /** The same moment on the monotonic clock. */
  sinceMonotonicMs(): number;
  /** Returns the earlier token if the token has changed since the last call. */
  detect(): EarlierToken | undefined;
  /** Records the list of endpoints. */
  recordListed(endpoints: readonly string[]): void;
  /** Returns the endpoints that have left the list since a time of the elapsed clock. */
  departedSince(sinceMs: number): readonly string[];
}

export interface TokenChangesOptions {
  readonly fence: () => number;
  readonly clock: ElapsedClock;
  readonly monotonicClock: MonotonicClock;
}

export function createTokenChanges(options: TokenChangesOptions): TokenChanges {
  const { clock, monotonicClock } = options;
  let fence = options.fence();
  let sinceMs = clock.nowMs();
  let sinceMonotonicMs = monotonicClock.nowMs();
  let listed: ReadonlySet<string> = new Set();
  const departedAtMs = new Map<string, number>();

  return {
    fence: () => fence,
    sinceMs: () => sinceMs,
    sinceMonotonicMs: () => sinceMonotonicMs,
    detect() {
      const present = options.fence();
      if (present === fence) return undefined;
      const earlier = { fence, sinceMs };
      fence = present;
      sinceMs = clock.nowMs();
      sinceMonotonicMs = monotonicClock.nowMs();
      return earlier;
    },
    recordListed(endpoints) {
      const nowMs = clock.nowMs();
      const next = new Set(endpoints);
      for (const id of listed) if (!next.has(id)) departedAtMs.set(id, nowMs);
      listed = next;
      for (const [id, atMs] of departedAtMs)
        if (next.has(id) || nowMs - atMs > DEPARTURE_RETENTION_MS) departedAtMs.delete(id);
    },
    departedSince: (momentMs) =>
      [...departedAtMs].filter(([, atMs]) => atMs >= momentMs).map(([id]) => id),
  };
}
