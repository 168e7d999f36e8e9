/**
 * Follows the runs on each endpoint and divides each run into segments at the changes of its
 * neighbours. All durations are on the endpoint's clock, so that delayed reports do not look like
 * slow runs.
 */
import type { Group } from './groupTable.js';
import type { RunSegment } from './runContrasts.js';

/** A shorter segment says little, because the progress is a whole percentage. */
const MIN_SEGMENT_PERCENT = 8;
const MIN_SEGMENT_MS = 25;
/** Segments of a run that are kept until it ends. A run with more of them is evaluated in parts. */
const MAX_SEGMENTS = 6;
/** An endpoint with more runs is not evaluated, which bounds the work for a report. */
const MAX_RUNS = 12;
/** Least expected time until the end of a run that is overdue. */
const MIN_REMAINING_MS = 20;
const MIN_PROJECTION_PERCENT = 4;

export interface ObservedRun {
  readonly key: string;
  readonly group: Group;
  /** When the start was sent, on the local clock. */
  readonly sentMs: number;
  readonly expectedMs: number;
}

/** What a report says about one run. */
export interface ListedRun {
  readonly key: string;
  readonly percent: number;
  /** Whether the run is being stopped. Its progress says nothing then. */
  readonly isStopping: boolean;
}

export interface ObservedReport {
  /** When the report was received, on the local clock. */
  readonly receivedMs: number;
  /** The endpoint's clock, and the local time at which it wrote the report; undefined if unknown. */
  readonly clockMs?: number | undefined;
  readonly writtenMs?: number | undefined;
  readonly running: readonly ListedRun[];
}

export interface RunObservation {
  started(endpoint: string, run: ObservedRun): void;
  /** Handles the end of a run. The report that shows it has to follow. */
  ended(endpoint: string, key: string, isDone: boolean): void;
  reported(endpoint: string, report: ObservedReport): void;
  forget(endpoint: string): void;
  runsOn(endpoint: string): Iterable<LiveRun>;
  remainingMs(run: LiveRun, nowMs: number): number;
}

export interface LiveRun extends ObservedRun {
  percent: number;
  /** When the newest report with the run was received, on the local clock. */
  seenMs: number;
  /** When the run started, on the endpoint's clock; undefined until a report shows the run. */
  startedClockMs?: number | undefined;
  segment?: OpenSegment | undefined;
  segments: RunSegment[];
  isDone?: boolean;
}

interface OpenSegment {
  readonly fromClockMs: number;
  readonly fromPercent: number;
  readonly isStart: boolean;
  readonly besideMs: Map<Group, number>;
}

interface ObservedEndpoint {
  readonly runs: Map<string, LiveRun>;
  ended: LiveRun[];
  clockMs: number;
  /** How far the local clock is ahead of the endpoint's; undefined before the first report. */
  offsetMs?: number;
  /** Least time that a report has taken to arrive. */
  minReturnMs: number;
}

/** `onSegments` receives the segments of a run, at its end or before. */
export function createRunObservation(
  onSegments: (run: ObservedRun, segments: readonly RunSegment[], endpoint: string) => void,
): RunObservation {
  const endpoints = new Map<string, ObservedEndpoint>();

  function endpointOf(id: string): ObservedEndpoint {
    const known = endpoints.get(id);
    if (known !== undefined) return known;
    const created = { runs: new Map(), ended: [], clockMs: -Infinity, minReturnMs: Infinity };
    endpoints.set(id, created);
    return created;
  }

  function finish(run: LiveRun, endpoint: string): void {
    if (run.segments.length > 1) onSegments(run, run.segments, endpoint);
    run.segments = [];
    run.segment = undefined;
  }

  function closeSegment(run: LiveRun, clockMs: number, percent: number, isEnd: boolean): boolean {
    const { segment } = run;
    if (segment === undefined) return false;
    const ms = clockMs - segment.fromClockMs;
    const progress = percent - segment.fromPercent;
    if (ms < MIN_SEGMENT_MS || progress < MIN_SEGMENT_PERCENT) return false;
    const { besideMs, isStart } = segment;
    run.segments.push({ percent: progress, ms, besideMs, isStart, isEnd });
    return true;
  }

  function openSegment(run: LiveRun, clockMs: number, percent: number): void {
    run.segment = {
      fromClockMs: clockMs,
      fromPercent: percent,
      isStart: false,
      besideMs: new Map(),
    };
  }

  /** Adds to each run how long the others ran beside it since the previous report. */
  function addNeighbours(runs: readonly LiveRun[], fromClockMs: number, clockMs: number): void {
    for (const run of runs) {
      if (run.segment === undefined) continue;
      const runFromMs = Math.max(run.startedClockMs ?? clockMs, fromClockMs);
      for (const other of runs) {
        const ms = clockMs - Math.max(runFromMs, other.startedClockMs ?? clockMs);
        if (other === run || ms <= 0) continue;
        const { besideMs } = run.segment;
        besideMs.set(other.group, (besideMs.get(other.group) ?? 0) + ms);
      }
    }
  }

  function advance(
    endpoint: string,
    state: ObservedEndpoint,
    clockMs: number,
    running: readonly ListedRun[],
  ): void {
    const offsetMs = state.offsetMs ?? 0;
    // Without a newer clock the time of the ends is unknown.
    const isNewer = clockMs > state.clockMs;
    let hasChanged = state.ended.length > 0;
    const begin = (run: LiveRun) => {
      run.startedClockMs = Math.min(clockMs, run.sentMs - offsetMs);
      const fromClockMs = run.startedClockMs;
      run.segment = { fromClockMs, fromPercent: 0, isStart: true, besideMs: new Map() };
    };
    const active: LiveRun[] = [];
    const listed: { run: LiveRun; listing: ListedRun }[] = [];
    for (const listing of running) {
      const run = state.runs.get(listing.key);
      if (run === undefined) continue;
      if (run.startedClockMs === undefined) {
        begin(run);
        hasChanged = true;
      }
      active.push(run);
      listed.push({ run, listing });
    }
    for (const run of state.ended) {
      if (run.startedClockMs === undefined && run.isDone === true) begin(run);
      if (run.startedClockMs !== undefined) active.push(run);
    }
    const isCrowded = active.length > MAX_RUNS;
    if (!isCrowded) addNeighbours(active, state.clockMs, clockMs);
    for (const { run, listing } of listed) {
      // The percentage is rounded down, so the progress is half a percent higher on average.
      const percent = listing.percent + 0.5;
      if (listing.isStopping || isCrowded) {
        finish(run, endpoint);
      } else if (run.segment === undefined) openSegment(run, clockMs, percent);
      else if (hasChanged && closeSegment(run, clockMs, percent, false)) {
        openSegment(run, clockMs, percent);
        if (run.segments.length >= MAX_SEGMENTS) {
          onSegments(run, run.segments, endpoint);
          run.segments = [];
        }
      }
    }
    for (const run of state.ended) {
      if (run.isDone === true && isNewer && !isCrowded) closeSegment(run, clockMs, 100, true);
      finish(run, endpoint);
    }
    state.ended = [];
    state.clockMs = clockMs;
  }

  /** Drops the open segments, because the clock of another incarnation is not comparable. */
  function restart(state: ObservedEndpoint, clockMs: number): void {
    for (const run of state.runs.values()) {
      run.segments = [];
      run.segment = undefined;
    }
    state.ended = [];
    state.clockMs = clockMs;
    state.minReturnMs = Infinity;
  }

  return {
    started(endpoint, run) {
      const live = { ...run, percent: 0, seenMs: run.sentMs, segments: [] };
      endpointOf(endpoint).runs.set(run.key, live);
    },
    ended(endpoint, key, isDone) {
      const state = endpoints.get(endpoint);
      const run = state?.runs.get(key);
      if (state === undefined || run === undefined) return;
      state.runs.delete(key);
      run.isDone = isDone;
      // Ends without a report, for example refused starts, would accumulate.
      if (isDone || run.startedClockMs !== undefined) state.ended.push(run);
    },
    reported(endpoint, { receivedMs, clockMs, writtenMs, running }) {
      const state = endpoints.get(endpoint);
      if (state === undefined) return;
      if (clockMs !== undefined && writtenMs !== undefined) {
        state.offsetMs = writtenMs - clockMs;
        state.minReturnMs = Math.min(state.minReturnMs, receivedMs - writtenMs);
        if (clockMs < state.clockMs) restart(state, clockMs);
        else advance(endpoint, state, clockMs, running);
      } else if (state.ended.length > 0) {
        // A report without running tasks. Its clock follows from when it was received.
        const estimatedMs = receivedMs - (state.offsetMs ?? 0) - state.minReturnMs;
        if (state.offsetMs !== undefined && estimatedMs >= state.clockMs) {
          advance(endpoint, state, estimatedMs, running);
        } else {
          state.ended = [];
        }
      }
      for (const { key, percent } of running) {
        const run = state.runs.get(key);
        if (run === undefined) continue;
        run.percent = percent;
        run.seenMs = receivedMs;
      }
    },
    forget(endpoint) {
      endpoints.delete(endpoint);
    },
    runsOn: (endpoint) => endpoints.get(endpoint)?.runs.values() ?? [],
    remainingMs({ percent, seenMs, sentMs, expectedMs }, nowMs) {
      const projectedMs =
        percent >= MIN_PROJECTION_PERCENT ? ((seenMs - sentMs) * 100) / percent : expectedMs;
      return Math.max(MIN_REMAINING_MS, sentMs + projectedMs - nowMs);
    },
  };
}
