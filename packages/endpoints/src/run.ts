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
}

export interface RunRequest {
  readonly task: TaskRef;
  readonly number: number;
  readonly demand: Resources;
  readonly payload: string;
}
