/**
 * Assigns each task of a job to an endpoint controller. It chooses the controller whose slots are
 * expected to finish the task first, based on the free slots and queues in the last load reports.
 */
import { pipe } from 'fp-ts/lib/function.js';
import * as N from 'fp-ts/lib/number.js';
import * as Ord from 'fp-ts/lib/Ord.js';
import * as RA from 'fp-ts/lib/ReadonlyArray.js';
import * as RNEA from 'fp-ts/lib/ReadonlyNonEmptyArray.js';
import * as Semigroup from 'fp-ts/lib/Semigroup.js';
import type { BatchTask, GroupLoad, Load } from '@celerybarrow/protocol';
import { isGroupFor } from './peerLoads.js';

/**
 * Added time for sending a batch to a peer. It also keeps work local if sending it gains little.
 */
const PEER_HOP_MS = 2;

/** An instance that controls endpoints, with its last reported load. */
export interface CandidateController {
  readonly incarnation: string;
  readonly isSelf: boolean;
  readonly load: Load;
}

/** The tasks that are assigned to one controller. */
export interface TaskAssignment {
  readonly incarnation: string;
  readonly isSelf: boolean;
  readonly tasks: BatchTask[];
}

/** The expected load of a controller, including the tasks assigned so far. */
interface ProjectedLoad {
  readonly assignment: TaskAssignment;
  readonly free: { speed: number; slots: number }[];
  queuedMs: number;
  readonly slots: number;
  readonly capacity: number;
  readonly hopMs: number;
}

/** Assigns the tasks of a job. Returns an empty list if no candidate has slots for the service. */
export function planPlacement(
  service: string,
  tasks: readonly BatchTask[],
  candidates: readonly CandidateController[],
): readonly TaskAssignment[] {
  const projections = candidates.flatMap((candidate) => createProjectedLoad(candidate, service));
  if (projections.length === 0) return [];
  // Assigns the longest tasks first, because the job finishes with its last task.
  const longestFirst = [...tasks].sort((a, b) => b.expectedMs - a.expectedMs);
  for (const task of longestFirst) {
    const best = findEarliestFinish(projections, task);
    if (best !== undefined) assignTask(best, task);
  }
  return projections
    .map((projectedLoad) => projectedLoad.assignment)
    .filter((assignment) => assignment.tasks.length > 0);
}

function createProjectedLoad(candidate: CandidateController, service: string): ProjectedLoad[] {
  const groups = candidate.load.groups.filter((group) => isGroupFor(group, service));
  const slots = sumOf(groups, (group) => group.slots);
  if (slots === 0) return [];
  const { incarnation, isSelf } = candidate;
  return [
    {
      assignment: { incarnation, isSelf, tasks: [] },
      free: groups.flatMap((group) => group.free.map((entry) => ({ ...entry }))),
      queuedMs: sumOf(groups, (group) => group.queuedMs),
      slots,
      capacity: sumOf(groups, (group) => group.capacity),
      hopMs: isSelf ? 0 : PEER_HOP_MS,
    },
  ];
}

function findEarliestFinish(
  projections: readonly ProjectedLoad[],
  task: BatchTask,
): ProjectedLoad | undefined {
  const orderByFinish = pipe(
    N.Ord,
    Ord.contramap((projectedLoad: ProjectedLoad) =>
      estimateFinishMs(projectedLoad, task.expectedMs),
    ),
  );
  return RA.isNonEmpty(projections)
    ? pipe(projections, RNEA.concatAll(Semigroup.min(orderByFinish)))
    : undefined;
}

function estimateFinishMs(projectedLoad: ProjectedLoad, expectedMs: number): number {
  const slot = findFastestFreeSlot(projectedLoad);
  if (slot !== undefined) return projectedLoad.hopMs + expectedMs / slot.speed;
  const meanSpeed = projectedLoad.capacity / projectedLoad.slots;
  // If every slot is busy, the next one becomes free after about the run time of a mean task
  // divided by the number of slots. Adding `expectedMs` to the queued work accounts for this time.
  const waitMs = (projectedLoad.queuedMs + expectedMs) / projectedLoad.capacity;
  return projectedLoad.hopMs + waitMs + expectedMs / meanSpeed;
}

function assignTask(projectedLoad: ProjectedLoad, task: BatchTask): void {
  projectedLoad.assignment.tasks.push(task);
  const slot = findFastestFreeSlot(projectedLoad);
  if (slot === undefined) projectedLoad.queuedMs += task.expectedMs;
  else slot.slots -= 1;
}

function findFastestFreeSlot(
  projectedLoad: ProjectedLoad,
): { speed: number; slots: number } | undefined {
  let best: { speed: number; slots: number } | undefined;
  for (const entry of projectedLoad.free) {
    if (entry.slots > 0 && (best === undefined || entry.speed > best.speed)) best = entry;
  }
  return best;
}

function sumOf(groups: readonly GroupLoad[], valueOf: (group: GroupLoad) => number): number {
  return groups.reduce((total, group) => total + valueOf(group), 0);
}
