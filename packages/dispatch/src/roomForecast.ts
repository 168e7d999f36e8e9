/**
 * When endpoints that are busy now will have room, from the progress of what runs there.
 *
 * Load pattern: long tasks end well only on the few fast endpoints, which are busy, while slower
 * ones are idle. Waiting for a fast one serves a task only if its turn comes early enough, and ten
 * tasks can't wait for the same place: each that waits has its turn after those before it.
 */
import type { Resources } from '@celerybarrow/protocol';
import { expectedRunMs, hasRoomFor, isSuitable, type Place, type Placing } from './choosePlace.js';

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

export interface RoomForecast {
  /** Counts a task that starts now. */
  noteStart(place: Place, placing: Placing): void;
  /** Milliseconds until a task that waits for room could have ended; infinite if there is no such place. */
  soonestEndMs(placing: Placing): number;
  /** Keeps the place of the soonest end for the task, if there is one in its caller's time. */
  reserve(placing: Placing): boolean;
}

interface Timeline {
  readonly place: Place;
  /** What is free now, less what waiting tasks are to get. */
  room: Resources;
  /** In the order of the ends. */
  readonly ends: ExpectedEnd[];
}

interface Turn {
  readonly timeline: Timeline;
  readonly startInMs: number;
  readonly endInMs: number;
}

/**
 * Forecast for one plan; the places are those that may get tasks, busy or not. What occupies one is
 * looked at only if a task would wait for it.
 */
export function createRoomForecast<T extends Place>(
  places: readonly T[],
  occupancyOf: (place: T) => Occupancy,
): RoomForecast {
  const timelines = new Map<string, Timeline>();
  /** What starts now, by endpoint, until its timeline is needed. */
  const started = new Map<string, Placing[]>();

  function timelineOf(place: T): Timeline {
    const known = timelines.get(place.entry.id);
    if (known !== undefined) return known;
    const { room, runs } = occupancyOf(place);
    const ends = [...runs].sort((a, b) => a.inMs - b.inMs);
    const timeline: Timeline = { place, room, ends };
    timelines.set(place.entry.id, timeline);
    for (const placing of started.get(place.entry.id) ?? []) take(timeline, placing, 0);
    return timeline;
  }

  function take(timeline: Timeline, placing: Placing, startInMs: number): void {
    const { demand } = placing.step;
    const inMs = startInMs + expectedRunMs(timeline.place, placing);
    timeline.room = subtract(timeline.room, demand);
    const later = timeline.ends.findIndex((end) => end.inMs > inMs);
    timeline.ends.splice(later < 0 ? timeline.ends.length : later, 0, { inMs, demand });
  }

  function soonestTurn(placing: Placing): Turn | undefined {
    let soonest: Turn | undefined;
    for (const place of places) {
      const runMs = expectedRunMs(place, placing);
      if (runMs >= (soonest?.endInMs ?? placing.patienceMs)) continue;
      if (!isSuitable(place.entry, placing)) continue;
      const timeline = timelineOf(place);
      const startInMs = roomInMs(timeline, placing.step.demand);
      const endInMs = startInMs + runMs;
      if (endInMs <= placing.patienceMs && endInMs < (soonest?.endInMs ?? Infinity)) {
        soonest = { timeline, startInMs, endInMs };
      }
    }
    return soonest;
  }

  return {
    noteStart({ entry }, placing) {
      const timeline = timelines.get(entry.id);
      if (timeline !== undefined) take(timeline, placing, 0);
      else started.set(entry.id, [...(started.get(entry.id) ?? []), placing]);
    },
    soonestEndMs: (placing) => soonestTurn(placing)?.endInMs ?? Infinity,
    reserve(placing) {
      const turn = soonestTurn(placing);
      if (turn === undefined) return false;
      take(turn.timeline, placing, turn.startInMs);
      return true;
    },
  };
}

/** Time until an endpoint has room for a task. */
function roomInMs({ room, ends }: Timeline, demand: Resources): number {
  let free = room;
  if (hasRoomFor(free, demand)) return 0;
  for (const end of ends) {
    free = add(free, end.demand);
    if (hasRoomFor(free, demand)) return end.inMs;
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
