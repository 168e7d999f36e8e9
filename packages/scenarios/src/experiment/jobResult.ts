/** The result of one job of an experiment. */
import type { IdealTime } from './idealTimes.js';
import type { PlannedJob } from './workload.js';

export interface JobResult {
  readonly job: PlannedJob;
  readonly ideal: IdealTime;
  readonly outcome: string;
  readonly responseMs: number;
}
