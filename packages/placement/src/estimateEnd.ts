/**
 * The earliest end of a job that can be hoped for: all queued work shared by all slots, then its
 * longest task on the fastest free slot. A job that misses its deadline even so cannot meet it.
 */
import type { BatchTask, GroupLoad } from '@celerybarrow/protocol';
import { isGroupFor } from './peerLoads.js';
import type { Candidate } from './planPlacement.js';

export function estimateEnd(
  service: string,
  tasks: readonly BatchTask[],
  candidates: readonly Candidate[],
): number {
  const groups = candidates.flatMap((one) =>
    one.load.groups.filter((group) => isGroupFor(group, service)),
  );
  const capacity = groups.reduce((total, group) => total + group.capacity, 0);
  if (capacity === 0) return 0;
  const longestMs = Math.max(...tasks.map((task) => task.expectedMs));
  const hasFree = groups.some((group) => group.free.length > 0);
  const queuedMs = groups.reduce((total, group) => total + group.queuedMs, 0);
  const waitMs = hasFree ? 0 : queuedMs / capacity;
  return waitMs + longestMs / Math.max(...groups.map(fastestSpeed));
}

function fastestSpeed(group: GroupLoad): number {
  const meanSpeed = group.slots === 0 ? 0 : group.capacity / group.slots;
  return Math.max(meanSpeed, ...group.free.map((one) => one.speed));
}
