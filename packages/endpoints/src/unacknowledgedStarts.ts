/**
 * Tracks unacknowledged starts: start orders that got no answer, or none before their stop was
 * answered. The endpoint may still carry them out.
 *
 * Failure: an endpoint leaves orders unanswered and carries them out seconds later. The lease in
 * the order does not prevent this, because the endpoint may apply the lease that later renewals
 * gave to all its tasks. Only an answered stop prevents it, and only in the same incarnation of the
 * endpoint, because a restart forgets the stops. The controller therefore polls an endpoint with
 * unacknowledged starts as often as one that runs tasks, and repeats the stops after a restart.
 */
import { taskKey, type TaskRef } from './leasedEndpoint.js';

/** How long after sending it an endpoint may still carry out an unanswered order. */
export const MAX_ORDER_DELAY_MS = 12_000;

export interface UnacknowledgedStart {
  readonly key: string;
  readonly task: TaskRef;
  readonly run: number;
  /** On the local monotonic clock. */
  readonly sentMs: number;
}

/** All times are on the local monotonic clock. */
export interface UnacknowledgedStarts {
  record(task: TaskRef, run: number, sentMs: number): void;
  /** Records that a stop of the run was answered. */
  recordStopped(key: string, run: number): void;
  /**
   * Removes a start that was carried out or refused; no order is carried out twice. Returns whether
   * it was unacknowledged.
   */
  recordResolved(key: string, run: number): boolean;
  /** Marks all starts as not stopped, because a restarted endpoint has forgotten the stops. */
  forgetStops(): void;
  /** Returns the starts that may still be carried out, now or after a restart of the endpoint. */
  all(nowMs: number): readonly UnacknowledgedStart[];
  /** Returns the starts without an answered stop. */
  open(nowMs: number): readonly UnacknowledgedStart[];
  /** Whether no start can be carried out any more, not even after a restart of the endpoint. */
  isEmpty(nowMs: number): boolean;
}

const NONE: readonly UnacknowledgedStart[] = [];

export function createUnacknowledgedStarts(): UnacknowledgedStarts {
  const starts = new Map<string, UnacknowledgedStart & { isStopped: boolean }>();
  const runIdOf = (key: string, run: number) => `${key}#${run}`;

  function removeExpired(nowMs: number): void {
    for (const [runId, { sentMs }] of starts) {
      if (nowMs - sentMs >= MAX_ORDER_DELAY_MS) starts.delete(runId);
    }
  }

  return {
    record(task, run, sentMs) {
      const key = taskKey(task);
      starts.set(runIdOf(key, run), { key, task, run, sentMs, isStopped: false });
    },
    recordStopped(key, run) {
      const start = starts.get(runIdOf(key, run));
      if (start !== undefined) start.isStopped = true;
    },
    recordResolved: (key, run) => starts.delete(runIdOf(key, run)),
    forgetStops() {
      for (const start of starts.values()) start.isStopped = false;
    },
    all(nowMs) {
      removeExpired(nowMs);
      return [...starts.values()].map(({ key, task, run, sentMs }) => ({ key, task, run, sentMs }));
    },
    open(nowMs) {
      if (starts.size === 0) return NONE;
      removeExpired(nowMs);
      return [...starts.values()].filter(({ isStopped }) => !isStopped);
    },
    isEmpty(nowMs) {
      removeExpired(nowMs);
      return starts.size === 0;
    },
  };
}
