/**
 * Tracks unacknowledged starts and renewals that were sent to earlier incarnations of an endpoint
 * and may still extend the leases in the current one.
 *
 * Failure: a start or renewal gets no answer and is carried out seconds later, after the endpoint
 * has restarted. Its lease end refers to the clock of the incarnation that it was sent to, which is
 * far ahead of the new one, so the endpoint grants the longest lease from the time it carries out
 * the order. The requested lease end is therefore useless here. Only the age of the order proves
 * that it can no longer arrive. All times are on the local monotonic clock.
 */
import { MAX_ORDER_DELAY_MS } from './unacknowledgedStarts.js';

export interface UnacknowledgedLeases {
  /** Records a start or renewal that got no answer. */
  recordUnacknowledged(sentMs: number): void;
  /** Records a restart of the endpoint. */
  beginIncarnation(nowMs: number): void;
  /** Whether no order to an earlier incarnation can be carried out from `sinceMs` on. */
  haveExpired(sinceMs: number): boolean;
}

export function createUnacknowledgedLeases(): UnacknowledgedLeases {
  let incarnationSeenMs = -Infinity;
  /** When the newest unanswered order was sent, to an earlier and to the current incarnation. */
  let sentToEarlierMs = -Infinity;
  let sentToCurrentMs = -Infinity;

  return {
    recordUnacknowledged(sentMs) {
      if (sentMs < incarnationSeenMs) sentToEarlierMs = Math.max(sentToEarlierMs, sentMs);
      else sentToCurrentMs = Math.max(sentToCurrentMs, sentMs);
    },
    beginIncarnation(nowMs) {
      incarnationSeenMs = nowMs;
      sentToEarlierMs = Math.max(sentToEarlierMs, sentToCurrentMs);
      sentToCurrentMs = -Infinity;
    },
    haveExpired: (sinceMs) => sinceMs - sentToEarlierMs >= MAX_ORDER_DELAY_MS,
  };
}
