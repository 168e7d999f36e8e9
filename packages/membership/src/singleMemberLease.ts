/**
 * The single-member lease: lets the only active member of a roster run jobs without a witness. It
 * is a key in the platform that is bound to a lease. An instance that wants to remove the only
 * member must acquire the key first, and therefore has to wait until the lease expires. Whoever has
 * acquired the key writes the roster anew before using the lease: a removal that an earlier holder
 * based on its own lease may still be on its way to the platform.
 */
import { ErrorCodes } from '@celerybarrow/shared';
import type { TimerService } from '@celerybarrow/timer';
import type { Lease, Store } from '@celerybarrow/store';
import type { RosterCache } from './rosterCache.js';
import { MAX_INSTANCE_SKEW_MS, renewRoster } from './rosterChanges.js';
import { createRosterWriter } from './rosterWriter.js';

export const SINGLE_MEMBER_LEASE_MS = 10_000;
const RENEW_INTERVAL_MS = 2_000;

export interface SingleMemberLease {
  /**
   * Acquires or renews the lease. Resolves with false when another incarnation holds it or the
   * platform did not answer. `formerHolders` are incarnations that certainly no longer use the
   * lease; it is acquired from them without waiting for it to expire.
   */
  acquire(formerHolders: ReadonlySet<string>): Promise<boolean>;
  /** Returns the wall-clock time until which this process certainly holds the lease, or 0. */
  validUntilMs(): number;
}

export interface SingleMemberLeaseOptions {
  readonly platform: Store;
  readonly timer: TimerService;
  readonly rosters: RosterCache;
  readonly incarnation: string;
}

interface HeldLease {
  readonly lease: Lease;
  readonly renewedMs: number;
  readonly renewedWallMs: number;
}

export function createSingleMemberLease(options: SingleMemberLeaseOptions): SingleMemberLease {
  const { platform, timer, rosters, incarnation } = options;
  const writer = createRosterWriter(options);
  const key = `celerybarrow/sole/${rosters.dataCentre}`;
  let heldLease: HeldLease | undefined;

  async function acquire(formerHolders: ReadonlySet<string>): Promise<boolean> {
    if (heldLease !== undefined && timer.nowMs() - heldLease.renewedMs < RENEW_INTERVAL_MS)
      return true;
    return heldLease === undefined ? acquireKey(formerHolders) : renew(heldLease);
  }

  async function renew(current: HeldLease): Promise<boolean> {
    const startedMs = timer.nowMs();
    const startedWallMs = timer.wallMs();
    const renewed = await platform.renewLease(current.lease);
    if (renewed.isOk) {
      heldLease = { lease: renewed.value, renewedMs: startedMs, renewedWallMs: startedWallMs };
      return true;
    }
    if (renewed.error.code === ErrorCodes.PLATFORM_BAD_ANSWER) heldLease = undefined;
    return validUntilMs() > timer.wallMs();
  }

  async function acquireKey(formerHolders: ReadonlySet<string>): Promise<boolean> {
    const found = await platform.get(key);
    if (found.isErr) return false;
    const holder = found.value;
    if (holder !== undefined && !formerHolders.has(holder.value) && holder.value !== incarnation)
      return false;
    const startedMs = timer.nowMs();
    const startedWallMs = timer.wallMs();
    const lease = await platform.grantLease(SINGLE_MEMBER_LEASE_MS);
    if (lease.isErr) return false;
    const written = await platform.compareAndSwap(
      key,
      holder?.revision ?? 0,
      incarnation,
      lease.value,
    );
    if (written.isErr) return false;
    const renewed = await writer.change((roster, write) => roster && renewRoster(roster, write));
    if (renewed.isErr) return false;
    heldLease = { lease: lease.value, renewedMs: startedMs, renewedWallMs: startedWallMs };
    return true;
  }

  function validUntilMs(): number {
    if (heldLease === undefined) return 0;
    const elapsedMs = Math.max(
      timer.nowMs() - heldLease.renewedMs,
      timer.wallMs() - heldLease.renewedWallMs,
    );
    const remainingMs = heldLease.lease.ttlMs - MAX_INSTANCE_SKEW_MS - elapsedMs;
    return remainingMs <= 0 ? 0 : timer.wallMs() + remainingMs;
  }

  return { acquire, validUntilMs };
}
