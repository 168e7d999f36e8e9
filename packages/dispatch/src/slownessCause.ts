/**
 * Weighs the evidence for the cause of a slow run: a long job, or a slow endpoint.
 *
 * Load pattern: 3% of the jobs take seven times as long as predicted, on every endpoint. Restarted
 * runs of such a job take as long again and lose their progress.
 *
 * Fault pattern: an endpoint turns 4 to 8 times slow while the jobs are of usual length.
 *
 * Both hypotheses explain the run itself equally well. They differ in what they expect of the other
 * runs on the endpoint, of the other runs of the job, and of the rate of the run over time, and in
 * how often the cause occurs. The result is the probability of the long job by Bayes' rule.
 */
import type { LogSample } from './endpointSpeed.js';

/** Density of an outlier's log factor: uniform between about 2 and 20 times the prediction. */
const OUTLIER_DENSITY = 0.43;
/** Least share of outliers among other runs, whatever the history says. */
const MIN_OUTLIER_SHARE = 0.01;
/** Spread of the run times of the tasks of one job, with margin for estimates of the speed. */
const TASK_SPREAD = 0.2;
/** Spread of the log length of a usual job: estimates are off by 0.4. */
export const JOB_SPREAD = 0.35;
/** Spread of the rate of a run over its time. */
const RATE_SPREAD = 0.25;
/** Share of the slow endpoints that turned slow during the run, not before. */
const TURNED_SHARE = 0.5;

export interface SlownessEvidence {
  /** Log factor of the run on its predicted time. */
  readonly logFactor: number;
  /** Runs of other jobs at the same time on the endpoint, relative to the lengths of their jobs. */
  readonly neighbours: readonly LogSample[];
  /** Runs of the same job on other endpoints, one for each endpoint. */
  readonly siblings: readonly LogSample[];
  /** Change of the log factor since the first progress of the run, if it was measured. */
  readonly rateChange: LogSample | undefined;
  /** How often a job of the team is that long, and how often a run is on a slow endpoint. */
  readonly longShare: number;
  readonly slowShare: number;
}

/** Returns the probability that the job is long and the endpoint is not the cause. */
export function longJobChance(evidence: SlownessEvidence): number {
  const { logFactor, neighbours, siblings, rateChange, longShare, slowShare } = evidence;
  let logOdds = Math.log(longShare / slowShare);
  const outlierShare = Math.max(MIN_OUTLIER_SHARE, longShare);
  for (const { logFactor: other, spread } of neighbours) {
    const sound = density(other, Math.hypot(spread, TASK_SPREAD), outlierShare);
    const slow = density(other - logFactor, Math.hypot(spread, JOB_SPREAD), outlierShare);
    logOdds += Math.log(sound / slow);
  }
  for (const { logFactor: other, spread } of siblings) {
    const long = density(other - logFactor, Math.hypot(spread, TASK_SPREAD), MIN_OUTLIER_SHARE);
    const usual = density(other, Math.hypot(spread, JOB_SPREAD), MIN_OUTLIER_SHARE);
    logOdds += Math.log(long / usual);
  }
  if (rateChange !== undefined) {
    const spread = Math.hypot(rateChange.spread, RATE_SPREAD);
    const constant = density(rateChange.logFactor, spread, MIN_OUTLIER_SHARE);
    const turned = density(rateChange.logFactor, spread, TURNED_SHARE);
    logOdds += Math.log(constant / turned);
  }
  return 1 / (1 + Math.exp(-logOdds));
}

/** Returns the density of a normal deviation that is an outlier in a share of the cases. */
function density(deviation: number, spread: number, outlierShare: number): number {
  const normal = Math.exp(-0.5 * (deviation / spread) ** 2) / (spread * Math.sqrt(2 * Math.PI));
  return (1 - outlierShare) * normal + outlierShare * OUTLIER_DENSITY;
}
