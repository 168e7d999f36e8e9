/**
 * Leases that allow the jobs of each gateway to run, renewed by the gateway's heartbeats.
 *
 * A gateway lease is shorter than the leases of endpoints and than the delay after which a caller
 * submits its job again. The job of a lost gateway therefore ends here before it can start
 * elsewhere.
 */
import type { ElapsedClock } from '@celerybarrow/timer';

/** Less than the 950 ms of endpoint leases and the 1.3 s after which callers resubmit. */
const GATEWAY_LEASE_MS = 550;

export interface LeaseAge {
  readonly renewedAgoMs: number;
  /** Time since the lease began, without an interruption before `renewedAgoMs`. */
  readonly grantedAgoMs: number;
}

export interface GatewayLeases {
  renew(gateway: string): void;
  /** Returns the age of a lease, whether or not it is valid; undefined if there was none. */
  ageOf(gateway: string): LeaseAge | undefined;
  /** Whether the lease has been valid without interruption since `sinceMs`. */
  isValidSince(gateway: string, sinceMs: number): boolean;
}

interface GatewayLease {
  grantedMs: number;
  renewedMs: number;
}

export function createGatewayLeases(clock: ElapsedClock): GatewayLeases {
  const leases = new Map<string, GatewayLease>();
  return {
    renew(gateway) {
      const nowMs = clock.nowMs();
      const lease = leases.get(gateway);
      // A renewal after expiry, such as after this machine was frozen, starts a new lease.
      if (lease === undefined || nowMs - lease.renewedMs >= GATEWAY_LEASE_MS) {
        leases.set(gateway, { grantedMs: nowMs, renewedMs: nowMs });
      } else lease.renewedMs = nowMs;
    },
    ageOf(gateway) {
      const lease = leases.get(gateway);
      if (lease === undefined) return undefined;
      const nowMs = clock.nowMs();
      return { renewedAgoMs: nowMs - lease.renewedMs, grantedAgoMs: nowMs - lease.grantedMs };
    },
    isValidSince(gateway, sinceMs) {
      const lease = leases.get(gateway);
      if (lease === undefined || lease.grantedMs > sinceMs) return false;
      return clock.nowMs() - lease.renewedMs < GATEWAY_LEASE_MS;
    },
  };
}
