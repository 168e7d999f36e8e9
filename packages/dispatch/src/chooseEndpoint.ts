/**
 * Selects the endpoint on which a task starts, among the candidates with free capacity.
 *
 * Load pattern: endpoints differ in speed by a factor of almost three. Short tasks can afford a
 * slow endpoint, long tasks cannot.
 *
 * - A task takes the slowest endpoint on which it still ends well before its objective and
 *   deadline. This keeps fast endpoints free for the tasks that need them.
 * - Without such an endpoint it takes the one on which it ends first.
 * - It does not start where it would end too late while a busy endpoint could still finish it in
 *   time: a result after the deadline is of no use to the caller.
 * - Estimates are off by a third. A long task that would use most of the time to its deadline on an
 *   endpoint of usual speed waits for a fast one, if it is expected to end sooner there, wait
 *   included. Otherwise it starts at once, while the endpoint of usual speed can still meet the
 *   deadline.
 */
import type { EndpointEntry } from '@celerybarrow/endpoints';
import type { Resources, Step } from '@celerybarrow/protocol';

/**
 * Shares of the time to the objective and to the deadline that the expected run time may use on a
 * slower endpoint. The objective grows with the actual run time and the deadline does not, so the
 * deadline needs a larger margin for wrong estimates.
 */
const SAFE_OBJECTIVE_SHARE = 0.6;
const SAFE_DEADLINE_SHARE = 0.45;
/** Share of the time to the deadline that a run may use without waiting for a faster endpoint. */
const RELIABLE_DEADLINE_SHARE = 0.5;
/** Factor on the run time on the fastest endpoint up to which waiting for it gains too little. */
const COMPARABLE_FACTOR = 1.5;
/** Factor on the run time outside the rack that holds the data, where settings don't tell it. */
export const DEFAULT_OTHER_RACK_FACTOR = 1.5;

/** An endpoint on which a task may start. */
export interface Candidate {
  readonly entry: EndpointEntry;
  /** Free capacity. */
  readonly room: Resources;
  /** Factor on the run time on an endpoint of usual speed. */
  readonly slowness: number;
}

/** A task that needs an endpoint. */
export interface PlacementRequest {
  readonly service: string;
  readonly step: Step;
  /** Expected run time on an endpoint of usual speed. */
  readonly baseMs: number;
  /** Time to the latency objective, and to the caller's deadline. */
  readonly objectiveInMs: number;
  readonly patienceMs: number;
  /** Slowness of the fastest endpoint that could run the task, busy or not. */
  readonly minSlowness: number;
  /** Factor on the run time outside the rack that holds the data of the task. */
  readonly otherRackFactor?: number | undefined;
  /** Whether to accept any endpoint on which the task is expected to end before its deadline. */
  readonly isUrgent?: boolean;
  /**
   * Returns the time until the task is expected to end if it waits for a busy endpoint; infinite if
   * that is after the deadline.
   */
  readonly awaitedEndMs: () => number;
  /** Ids of endpoints that must not be chosen. */
  readonly avoided: ReadonlySet<string>;
  /** Returns how many tasks of the same step run on an endpoint, for the limit per endpoint. */
  readonly tasksOn: (endpoint: string) => number;
}

export function hasCapacityFor(room: Resources, demand: Resources): boolean {
  return (
    room.cores >= demand.cores &&
    room.memoryMb >= demand.memoryMb &&
    room.accelerators >= demand.accelerators
  );
}

/** Whether an endpoint has the label and the total capacity that the step requires, busy or not. */
export function canRunStep(entry: EndpointEntry, step: Step): boolean {
  if (step.label !== undefined && !entry.labels.includes(step.label)) return false;
  return hasCapacityFor(entry.capacity, step.demand);
}

/** Returns the candidate on which the task should start now; undefined if it should wait. */
export function chooseEndpoint<T extends Candidate>(
  candidates: readonly T[],
  request: PlacementRequest,
): T | undefined {
  const maxRunMs = maxRunMsOf(request);
  const safeRunMs = safeRunMsOf(request);
  let slowestSafe: T | undefined;
  let slowestSafeMs = -Infinity;
  let earliest: T | undefined;
  let earliestMs = Infinity;
  for (const candidate of candidates) {
    if (
      !hasCapacityFor(candidate.room, request.step.demand) ||
      !isEligible(candidate.entry, request)
    )
      continue;
    const expectedMs = expectedRunMs(candidate, request);
    if (expectedMs <= safeRunMs && expectedMs > slowestSafeMs) {
      slowestSafe = candidate;
      slowestSafeMs = expectedMs;
    }
    if (expectedMs < earliestMs) {
      earliest = candidate;
      earliestMs = expectedMs;
    }
  }
  if (slowestSafe !== undefined || earliestMs <= maxRunMs) return slowestSafe ?? earliest;
  return earliestMs <= request.patienceMs && earliestMs <= request.awaitedEndMs()
    ? earliest
    : undefined;
}

/** Returns the longest expected run time with which a task ends well before its limits. */
export function safeRunMsOf({ objectiveInMs, patienceMs }: PlacementRequest): number {
  return Math.min(objectiveInMs * SAFE_OBJECTIVE_SHARE, patienceMs * SAFE_DEADLINE_SHARE);
}

/**
 * Returns the longest expected run time that justifies a start.
 *
 * If the fastest endpoint can meet the objective and the deadline, the limit is the objective or a
 * time that meets the deadline reliably, whichever is shorter. Otherwise, and for an urgent task,
 * the limit is the deadline. There is no limit if no endpoint can meet the deadline.
 */
export function maxRunMsOf(request: PlacementRequest): number {
  const { objectiveInMs, patienceMs, isUrgent = false } = request;
  const fastestMs = request.baseMs * request.minSlowness;
  if (!isUrgent && fastestMs <= Math.min(objectiveInMs, patienceMs)) {
    return Math.min(objectiveInMs, maxReliableRunMs(request, fastestMs));
  }
  return fastestMs <= patienceMs ? patienceMs : Infinity;
}

/**
 * Returns the longest expected run time that meets the deadline even if the estimate is too short.
 */
function maxReliableRunMs({ patienceMs }: PlacementRequest, fastestMs: number): number {
  const reliableRunMs = Math.max(
    patienceMs * RELIABLE_DEADLINE_SHARE,
    fastestMs * COMPARABLE_FACTOR,
  );
  return Math.min(patienceMs, reliableRunMs);
}

export function expectedRunMs(candidate: Candidate, request: PlacementRequest): number {
  const { step, baseMs, otherRackFactor = DEFAULT_OTHER_RACK_FACTOR } = request;
  const isOutsideRack = step.rack !== undefined && !candidate.entry.labels.includes(step.rack);
  return baseMs * candidate.slowness * (isOutsideRack ? otherRackFactor : 1);
}

/** Whether an endpoint may run the task, whether or not it has free capacity. */
export function isEligible(entry: EndpointEntry, request: PlacementRequest): boolean {
  const { service, step, avoided, tasksOn } = request;
  if (entry.service !== service || !canRunStep(entry, step) || avoided.has(entry.id)) return false;
  return step.perEndpoint === undefined || tasksOn(entry.id) < step.perEndpoint;
}
