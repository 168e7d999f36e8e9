/**
 * When endpoints that are busy now will have room, from the progress of what runs there.
 *
 * Load pattern: long tasks end well only on the few fast endpoints, which are busy, while slower
 * ones are idle. Waiting for a fast one serves a task only if its turn comes early enough, and ten
 * tasks can't wait for the same place: each that waits has its turn after those before it.
 */
import type { Resources } from '@celerybarrow/protocol';
import {
  expectedRunMs,
  hasCapacityFor,
  isEligible,
  type Candidate,
  type PlacementRequest,
} from './chooseEndpoint.js';

/** What is free on an endpoint before the plan, and what runs there. */
export interface Occupancy {
  readonly room: Resources;
  readonly runs: readonly ExpectedEnd[];
}

/** When a run is expected to end, in milliseconds from now, and the room that it leaves. */
export interface ExpectedEnd {
  readonly inMs: number;
  readonly demand: Resources;
}

export interface CapacityForecast {
  /** Counts a task that starts now. */
  addStart(candidate: Candidate, request: PlacementRequest): void;
  /** Milliseconds until a task that waits for room could have ended; infinite if there is no such place. */
  earliestEndMs(request: PlacementRequest): number;
  /** Keeps the place of the soonest end for the task, if there is one in its caller's time. */
  reserve(request: PlacementRequest): boolean;
}

interface Timeline {
  readonly candidate: Candidate;
  /** What is free now, less what waiting tasks are to get. */
  room: Resources;
  /** In the order of the ends. */
  readonly ends: ExpectedEnd[];
}

interface Slot {
  readonly timeline: Timeline;
  readonly startInMs: number;
  readonly endInMs: number;
}

/**
 * Forecast for one plan; the places are those that may get tasks, busy or not. What occupies one is
 * looked at only if a task would wait for it.
 */
export function createCapacityForecast<T extends Candidate>(
  candidates: readonly T[],
  occupancyOf: (candidate: T) => Occupancy,
): CapacityForecast {
  const timelines = new Map<string, Timeline>();
  /** What starts now, by endpoint, until its timeline is needed. */
  const started = new Map<string, PlacementRequest[]>();

  function timelineOf(candidate: T): Timeline {
    const known = timelines.get(candidate.entry.id);
    if (known !== undefined) return known;
    const { room, runs } = occupancyOf(candidate);
    const ends = [...runs].sort((a, b) => a.inMs - b.inMs);
    const timeline: Timeline = { candidate, room, ends };
    timelines.set(candidate.entry.id, timeline);
    for (const request of started.get(candidate.entry.id) ?? []) occupy(timeline, request, 0);
    return timeline;
  }

  function occupy(timeline: Timeline, request: PlacementRequest, startInMs: number): void {
    const { demand } = request.step;
    const inMs = startInMs + expectedRunMs(timeline.candidate, request);
    timeline.room = subtract(timeline.room, demand);
    const later = timeline.ends.findIndex((end) => end.inMs > inMs);
    timeline.ends.splice(later < 0 ? timeline.ends.length : later, 0, { inMs, demand });
  }

  function earliestSlot(request: PlacementRequest): Slot | undefined {
    let earliest: Slot | undefined;
    for (const candidate of candidates) {
      const runMs = expectedRunMs(candidate, request);
      if (runMs >= (earliest?.endInMs ?? request.patienceMs)) continue;
      if (!isEligible(candidate.entry, request)) continue;
      const timeline = timelineOf(candidate);
      const startInMs = capacityInMs(timeline, request.step.demand);
      const endInMs = startInMs + runMs;
      if (endInMs <= request.patienceMs && endInMs < (earliest?.endInMs ?? Infinity)) {
        earliest = { timeline, startInMs, endInMs };
      }
    }
    return earliest;
  }

  return {
    addStart({ entry }, request) {
      const timeline = timelines.get(entry.id);
      if (timeline !== undefined) occupy(timeline, request, 0);
      else started.set(entry.id, [...(started.get(entry.id) ?? []), request]);
    },
    earliestEndMs: (request) => earliestSlot(request)?.endInMs ?? Infinity,
    reserve(request) {
      const slot = earliestSlot(request);
      if (slot === undefined) return false;
      occupy(slot.timeline, request, slot.startInMs);
      return true;
    },
  };
}

/** Time until an endpoint has room for a task. */
function capacityInMs({ room, ends }: Timeline, demand: Resources): number {
  let free = room;
  if (hasCapacityFor(free, demand)) return 0;
  for (const end of ends) {
    free = add(free, end.demand);
    if (hasCapacityFor(free, demand)) return end.inMs;
  }
  return Infinity;
}

function add(a: Resources, b: Resources): Resources {
  return {
    cores: a.cores + b.cores,
    memoryMb: a.memoryMb + b.memoryMb,
    accelerators: a.accelerators + b.accelerators,
  };
}

function subtract(a: Resources, b: Resources): Resources {
  return {
    cores: a.cores - b.cores,
    memoryMb: a.memoryMb - b.memoryMb,
    accelerators: a.accelerators - b.accelerators,
  };
}
