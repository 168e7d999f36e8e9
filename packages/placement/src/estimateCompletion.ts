/**
 * Estimates the minimum time that a job waits and runs. It assumes that all slots share the queued
 * work evenly, and that the longest task of the job then runs on the fastest slot.
 */
import type { BatchTask, GroupLoad } from '@celerybarrow/protocol';
import { isGroupFor } from './peerLoads.js';
import type { CandidateController } from './planPlacement.js';

export interface CompletionEstimate {
  readonly waitMs: number;
  readonly runMs: number;
}

export function estimateCompletion(
  service: string,
  tasks: readonly BatchTask[],
  candidates: readonly CandidateController[],
): CompletionEstimate {
  const groups = candidates.flatMap((candidate) =>
    candidate.load.groups.filter((group) => isGroupFor(group, service)),
  );
  const capacity = groups.reduce((total, group) => total + group.capacity, 0);
  if (capacity === 0) return { waitMs: 0, runMs: 0 };
  const longestMs = Math.max(...tasks.map((task) => task.expectedMs));
  const hasFreeSlots = groups.some((group) => group.free.length > 0);
  const queuedMs = groups.reduce((total, group) => total + group.queuedMs, 0);
  return {
    waitMs: hasFreeSlots ? 0 : queuedMs / capacity,
    runMs: longestMs / Math.max(...groups.map(fastestSpeed)),
  };
}

function fastestSpeed(group: GroupLoad): number {
  const meanSpeed = group.slots === 0 ? 0 : group.capacity / group.slots;
  return Math.max(meanSpeed, ...group.free.map((entry) => entry.speed));
}
