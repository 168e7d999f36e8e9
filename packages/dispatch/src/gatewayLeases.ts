/**
 * Leases that allow the jobs of each gateway to run, renewed by what the gateway sends.
 *
 * Fault pattern: a link is cut in one direction, or delivers seconds later what was sent in a cut. The
 * gateway has lost contact and hands its jobs over to another dispatcher, but its messages still
 * arrive. A lease is therefore limited by the newest time of this dispatcher that the gateway has heard
 * of, and does not count from the arrival of the message alone.
 *
 * A lease ends before a caller submits its job again elsewhere.
 */
import type { GatewayState } from '@celerybarrow/protocol';
import type { ElapsedClock } from '@celerybarrow/timer';

/** Lease from the arrival of a message: more than two heartbeat intervals. */
const GATEWAY_LEASE_MS = 550;
/**
 * Longest lease from the time that the gateway has heard of. A heartbeat tells a time that is one
 * interval and one reply old, up to 600 ms at a busy dispatcher of several shards, and its lease must
 * reach to the next one. Callers resubmit after 1.3 s.
 */
const MAX_LEASE_FROM_HEARD_MS = 1_000;

/** A message of a gateway, as evidence that the gateway is in contact. */
export interface GatewayMessage {
  readonly gateway: string;
  /** Incarnation of the gateway's process; undefined if not known. */
  readonly incarnation?: string | undefined;
  /** Undefined for the gateway of this instance, and for one of an earlier version. */
  readonly sender?: GatewayState | undefined;
}

/** The fencing token of the dispatcher, and since when it has had it. */
export interface TokenAge {
  readonly fence: number;
  readonly sinceMs: number;
}

export interface LeaseAge {
  readonly renewedAgoMs: number;
  /** Time since the lease began, without an interruption before `renewedAgoMs`. */
  readonly grantedAgoMs: number;
}

export interface GatewayLeases {
  /** Renews the lease of a gateway. Returns false if the message is too old to prove contact. */
  renew(message: GatewayMessage, token: TokenAge): boolean;
  /** Whether the lease has been valid without interruption since `sinceMs`. */
  isValidSince(gateway: string, sinceMs: number): boolean;
  /** Returns the age of a lease, whether or not it is valid; undefined if there was none. */
  ageOf(gateway: string): LeaseAge | undefined;
}

interface GatewayLease {
  readonly incarnation: string | undefined;
  readonly grantedMs: number;
  /** When the last message that renewed it arrived. */
  renewedMs: number;
  endMs: number;
}

export function createGatewayLeases(clock: ElapsedClock): GatewayLeases {
  const leases = new Map<string, GatewayLease>();
  return {
    renew(message, token) {
      const { gateway, incarnation } = message;
      const nowMs = clock.nowMs();
      const endMs = leaseEndMs(message, token, nowMs);
      if (endMs <= nowMs) return false;
      const lease = leases.get(gateway);
      // A renewal after expiry, such as after this machine was frozen, starts a new lease, and so does
      // the first one of a restarted gateway.
      if (lease === undefined || nowMs >= lease.endMs || isOtherProcess(lease, incarnation)) {
        leases.set(gateway, { incarnation, grantedMs: nowMs, renewedMs: nowMs, endMs });
      } else {
        lease.renewedMs = nowMs;
        lease.endMs = Math.max(lease.endMs, endMs);
      }
      return true;
    },
    ageOf(gateway) {
      const lease = leases.get(gateway);
      if (lease === undefined) return undefined;
      const nowMs = clock.nowMs();
      return { renewedAgoMs: nowMs - lease.renewedMs, grantedAgoMs: nowMs - lease.grantedMs };
    },
    isValidSince(gateway, sinceMs) {
      const lease = leases.get(gateway);
      return lease !== undefined && lease.grantedMs <= sinceMs && clock.nowMs() < lease.endMs;
    },
  };
}

/** Returns until when a message proves contact, on the clock of the dispatcher. */
function leaseEndMs({ sender }: GatewayMessage, token: TokenAge, nowMs: number): number {
  const fromArrivalMs = nowMs + GATEWAY_LEASE_MS;
  if (sender === undefined) return fromArrivalMs;
  // A gateway that knows the present token has sent its first message since there is that token.
  const tokenMs = sender.fence === token.fence ? token.sinceMs : -Infinity;
  return Math.min(fromArrivalMs, (sender.heardMs ?? tokenMs) + MAX_LEASE_FROM_HEARD_MS);
}

function isOtherProcess(lease: GatewayLease, incarnation: string | undefined): boolean {
  return (
    incarnation !== undefined &&
    lease.incarnation !== undefined &&
    lease.incarnation !== incarnation
  );
}
