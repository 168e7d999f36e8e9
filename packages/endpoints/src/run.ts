/** One run of a task on an endpoint, as the controller of the endpoint knows it. */
import type { Resources } from '@celerybarrow/protocol';
import type { TaskRef } from './leasedEndpoint.js';

export const RunStates = {
  /** The start was sent and is not answered yet. */
  STARTING: 'starting',
  RUNNING: 'running',
  /** The start is unacknowledged: it got no answer, and the task may or may not run. */
  IN_DOUBT: 'in-doubt',
  STOPPING: 'stopping',
} as const;
export type RunState = (typeof RunStates)[keyof typeof RunStates];

/** What one report says about a run. */
export interface Listing {
  /** The endpoint's clock in the report. */
  readonly clockMs: number;
  readonly percent: number;
  /** Earliest time at which the endpoint wrote the report, on the local clock. */
  readonly writtenMs: number;
}

export interface Run {
  readonly task: TaskRef;
  readonly key: string;
  readonly number: number;
  readonly demand: Resources;
  /** When the start was sent or the orphaned run was claimed, on the elapsed clock. */
  readonly sentMs: number;
  state: RunState;
  percent: number;
  /** When the controller last saw the progress change. */
  percentAtMs: number;
  /** When a report last listed the run. */
  seenMs: number;
  /** The first and the newest report that listed the run. */
  firstListing?: Listing;
  newestListing?: Listing;
}

export interface RunRequest {
  readonly task: TaskRef;
  readonly number: number;
  readonly demand: Resources;
  readonly payload: string;
}
