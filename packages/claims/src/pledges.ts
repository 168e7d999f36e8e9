/**
 * Stores the pledges of a member. A pledge is a promise not to accept a claim of an id in an epoch.
 * If the owner's process has exited and all other members have pledged, the id was never claimed
 * and cannot be claimed in that epoch. Its submission can then be refused as not run. Pledges do
 * not apply to later epochs.
 */
import type { TimerService } from '@celerybarrow/timer';
import { RETENTION_MS } from './claimStore.js';

/**
 * Longer than an owner accepts a submission, so that no pledge expires while its id can still be
 * claimed.
 */
const PLEDGE_RETENTION_MS = RETENTION_MS + 60_000;

export interface Pledges {
  add(id: string, epoch: number): void;
  has(id: string, epoch: number): boolean;
}

interface Pledge {
  readonly epoch: number;
  readonly createdMs: number;
}

export function createPledges(timer: TimerService): Pledges {
  /** In order of creation. */
  const pledges = new Map<string, Pledge>();

  function expire(epoch: number): void {
    const oldestMs = timer.nowMs() - PLEDGE_RETENTION_MS;
    for (const [id, pledge] of pledges) {
      if (pledge.epoch >= epoch && pledge.createdMs >= oldestMs) return;
      pledges.delete(id);
    }
  }

  return {
    add(id, epoch) {
      expire(epoch);
      pledges.delete(id);
      pledges.set(id, { epoch, createdMs: timer.nowMs() });
    },
    has: (id, epoch) => pledges.get(id)?.epoch === epoch,
  };
}
