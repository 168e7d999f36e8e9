/**
 * Retains the unacknowledged starts of endpoints that have no controller, by endpoint id.
 *
 * Failure: an endpoint leaves a start unanswered, leaves the directory and is added again under its
 * id. The start is carried out by the next incarnation, which does not know the stops that the
 * earlier one answered, while the task runs elsewhere. The controller of the next incarnation takes
 * the retained starts and stops them first.
 */
import { MAX_ORDER_DELAY_MS, type UnacknowledgedStart } from './unacknowledgedStarts.js';

/** Retained starts of all endpoints, about 200 bytes each; those of the oldest endpoint are dropped. */
const MAX_RETAINED_STARTS = 4_096;

/** All times are on the local monotonic clock. */
export interface RetainedStarts {
  retain(endpoint: string, starts: readonly UnacknowledgedStart[], nowMs: number): void;
  /** Removes and returns the starts that may still be carried out. */
  take(endpoint: string, nowMs: number): readonly UnacknowledgedStart[];
}

export function createRetainedStarts(): RetainedStarts {
  const byEndpoint = new Map<string, readonly UnacknowledgedStart[]>();

  function removeExpired(nowMs: number): void {
    for (const [endpoint, starts] of byEndpoint) {
      const left = starts.filter(({ sentMs }) => nowMs - sentMs < MAX_ORDER_DELAY_MS);
      if (left.length === 0) byEndpoint.delete(endpoint);
      else byEndpoint.set(endpoint, left);
    }
  }

  return {
    retain(endpoint, starts, nowMs) {
      removeExpired(nowMs);
      if (starts.length === 0) return;
      const all = [...(byEndpoint.get(endpoint) ?? []), ...starts];
      byEndpoint.delete(endpoint);
      byEndpoint.set(endpoint, all.slice(-MAX_RETAINED_STARTS));
      let size = [...byEndpoint.values()].reduce((sum, { length }) => sum + length, 0);
      for (const [oldest, { length }] of byEndpoint) {
        if (size <= MAX_RETAINED_STARTS) return;
        byEndpoint.delete(oldest);
        size -= length;
      }
    },
    take(endpoint, nowMs) {
      removeExpired(nowMs);
      const starts = byEndpoint.get(endpoint) ?? [];
      byEndpoint.delete(endpoint);
      return starts;
    },
  };
}
