/** One run of a task on an endpoint, as its steward knows it. */
import type { Resources } from '@celerybarrow/protocol';
import type { TaskRef } from './leasedEndpoint.js';

export const RunStates = {
  /** The start was sent and not answered yet. */
  STARTING: 'starting',
  RUNNING: 'running',
  /** The start got no answer; whether it runs is open. */
  IN_DOUBT: 'in-doubt',
  STOPPING: 'stopping',
} as const;
export type RunState = (typeof RunStates)[keyof typeof RunStates];

/** What one report has said of a run. */
export interface Listing {
  /** The endpoint's clock in the report. */
  readonly clockMs: number;
  readonly percent: number;
  /** When the report was written at the earliest, on the own clock. */
  readonly writtenMs: number;
}

export interface Run {
  readonly task: TaskRef;
  readonly key: string;
  readonly number: number;
  readonly demand: Resources;
  readonly sentMs: number;
  state: RunState;
  percent: number;
  /** When the progress was last seen to change, and when it was last seen at all. */
  percentAtMs: number;
  seenMs: number;
  /** The first and the newest report that have listed it. */
  firstListing?: Listing;
  newestListing?: Listing;
}

export interface RunRequest {
  readonly task: TaskRef;
  readonly number: number;
  readonly demand: Resources;
  readonly payload: string;
}
