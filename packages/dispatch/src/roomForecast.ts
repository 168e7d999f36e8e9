/**
 * When endpoints that are busy now will have room, from the progress of what runs there.
 *
 * Load pattern: long tasks end well only on the few fast endpoints, which are busy, while slower
 * ones are idle. Waiting for a fast one serves a task only if its turn comes early enough, and ten
 * tasks can't wait for the same place: each that waits has its turn after those before it.
 */
import type { Resources } from '@celerybarrow/protocol';
import { expectedRunMs, hasRoomFor, isSuitable, type Place, type Placing } from './choosePlace.js';

/** An endpoint with what runs there. */
export interface BusyPlace extends Place {
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
  /** Keeps the place of the soonest end for the task, if there is one. */
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

/** Forecast for one plan; the places are those that may get tasks, busy or not. */
export function createRoomForecast(listPlaces: () => Iterable<BusyPlace>): RoomForecast {
  let timelines: Map<string, Timeline> | undefined;
  const started: [Place, Placing][] = [];

  function all(): Map<string, Timeline> {
    if (timelines !== undefined) return timelines;
    timelines = new Map();
    for (const place of listPlaces()) {
      const ends = [...place.runs].sort((a, b) => a.inMs - b.inMs);
      timelines.set(place.entry.id, { place, room: place.room, ends });
    }
    for (const [place, placing] of started) take(place, placing, 0);
    return timelines;
  }

  function take({ entry }: Place, placing: Placing, startInMs: number): void {
    const timeline = timelines?.get(entry.id);
    if (timeline === undefined) return;
    const { demand } = placing.step;
    const inMs = startInMs + expectedRunMs(timeline.place, placing);
    timeline.room = subtract(timeline.room, demand);
    const later = timeline.ends.findIndex((end) => end.inMs > inMs);
    timeline.ends.splice(later < 0 ? timeline.ends.length : later, 0, { inMs, demand });
  }

  function soonestTurn(placing: Placing): Turn | undefined {
    let soonest: Turn | undefined;
    for (const timeline of all().values()) {
      if (!isSuitable(timeline.place.entry, placing)) continue;
      const runMs = expectedRunMs(timeline.place, placing);
      if (runMs >= (soonest?.endInMs ?? placing.patienceMs)) continue;
      const startInMs = roomInMs(timeline, placing.step.demand);
      const endInMs = startInMs + runMs;
      if (endInMs < (soonest?.endInMs ?? Infinity)) soonest = { timeline, startInMs, endInMs };
    }
    return soonest;
  }

  return {
    noteStart(place, placing) {
      if (timelines === undefined) started.push([place, placing]);
      else take(place, placing, 0);
    },
    soonestEndMs: (placing) => soonestTurn(placing)?.endInMs ?? Infinity,
    reserve(placing) {
      const turn = soonestTurn(placing);
      if (turn === undefined) return false;
      take(turn.timeline.place, placing, turn.startInMs);
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
