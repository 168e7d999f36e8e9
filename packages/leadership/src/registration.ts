/**
 * Keeps this instance's entry in the store, bound to a lease that is renewed all the time. When the
 * lease has lapsed, because the store was away or this machine stood still, the entry is put anew.
 */
import { Result } from 'true-myth';
import { ErrorCodes, spreadDelay, type Random } from '@celerybarrow/shared';
import type { TimerService } from '@celerybarrow/timer';
import type { FleetMember } from '@celerybarrow/protocol';
import type { Lease, Store, StoreError } from '@celerybarrow/store';
import type { Logger } from '@celerybarrow/telemetry';

const LEASE_MS = 3_000;
const RENEWAL_INTERVAL_MS = 1_000;
const RETRY_MS = 300;

export interface RegistrationOptions {
  readonly store: Store;
  readonly key: string;
  readonly self: FleetMember;
  readonly timer: TimerService;
  readonly random: Random;
  readonly logger: Logger;
  readonly onContact: (isReachable: boolean) => void;
  readonly signal: AbortSignal;
}

/** Runs until the signal is aborted. */
export async function keepRegistered(options: RegistrationOptions): Promise<void> {
  const { store, timer, random, logger, signal } = options;
  let lease: Lease | undefined;
  while (!signal.aborted) {
    const renewed = lease === undefined ? await enrol(options) : await store.renewLease(lease);
    if (signal.aborted) return;
    options.onContact(renewed.isOk || isAnswer(renewed.error));
    if (renewed.isErr && lease !== undefined && isAnswer(renewed.error)) {
      logger.warn('Entry of this instance has lapsed.', { reason: renewed.error.message });
      lease = undefined;
      continue;
    }
    if (renewed.isOk) lease = renewed.value;
    const pauseMs = renewed.isOk ? RENEWAL_INTERVAL_MS : RETRY_MS;
    await timer.sleep(spreadDelay(pauseMs, random), signal);
  }
}

async function enrol({
  store,
  key,
  self,
}: RegistrationOptions): Promise<Result<Lease, StoreError>> {
  const lease = await store.grantLease(LEASE_MS);
  if (lease.isErr) return lease;
  const earlier = await store.get(key);
  if (earlier.isErr) return Result.err(earlier.error);
  const revision = earlier.value?.revision ?? 0;
  const put = await store.compareAndSwap(key, revision, JSON.stringify(self), lease.value);
  return put.isErr ? Result.err(put.error) : lease;
}

/** Whether the store answered, although not with success. */
function isAnswer(error: StoreError): boolean {
  return (
    error.code === ErrorCodes.PLATFORM_CONFLICT || error.code === ErrorCodes.PLATFORM_BAD_ANSWER
  );
}
