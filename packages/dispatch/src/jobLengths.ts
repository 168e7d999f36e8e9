/**
 * Distribution of the lengths of jobs, by team. The length of a job is the factor of its run times
 * on the predicted ones, without the speed of the endpoints.
 *
 * Load pattern: a few percent of the jobs of some teams run several times as long as predicted, on
 * every endpoint. How often a team submits such jobs is the prior for the cause of a slow run.
 *
 * A service has a tail once at least two of its jobs, and a share that its usual spread does not
 * explain, were certainly long. Without a tail, the decisions do not use the lengths.
 */
// Imports the class directly: the library's index also loads compression and WebAssembly.
import hdrInt32 from 'hdr-histogram-js/dist/Int32Histogram.js';

const Histogram = hdrInt32.default;
type Histogram = InstanceType<typeof Histogram>;

/** Histograms hold whole percents of the predicted length. */
const PERCENT = 100;
const MIN_PERCENT = 1;
const MAX_PERCENT = 5_000;
const SIGNIFICANT_DIGITS = 2;
/** Jobs after which the older of two generations is dropped, so that old lengths are forgotten. */
const GENERATION_JOBS = 1_000;
/** Further teams and services share one entry, which bounds the memory to about 1.5 MB. */
const MAX_TEAMS = 100;
const MAX_SERVICES = 20;
const OTHERS = '';
/** Least length of a long job: more than the error of estimates explains. */
const MIN_LONG_FACTOR = 3.5;
/** Deviation of a long job in units of the usual spread: 1 of 30,000 log-normal lengths exceeds it. */
const LONG_JOB_SPREADS = 4;
const MIN_LONG_JOBS = 2;
/** Shares of long jobs at which a service gets a tail, and below which it has none any more. */
const MIN_TAIL_SHARE = 0.005;
const END_TAIL_SHARE = 0.002;
/** Spread of the log lengths, assumed until enough jobs are known: estimates are off by 0.4. */
const DEFAULT_SPREAD = 0.35;
const MIN_JOBS_FOR_SPREAD = 20;
/** Ratio of the interquartile range to the standard deviation of a normal distribution. */
const QUARTILE_SPREADS = 1.349;
/** Share of long jobs that is assumed of an unknown service, and its weight in jobs. */
const PRIOR_LONG_SHARE = 0.005;
const SERVICE_PRIOR_JOBS = 200;
/** Weight of the service's share in the share of a team, in jobs. */
const TEAM_PRIOR_JOBS = 50;

export interface JobLengths {
  /** Records the length of a job; a long one only if its endpoints were certainly not the cause. */
  record(service: string, team: string, factor: number): void;
  /** Returns the share of the team's jobs that are at least `factor` times as long as predicted. */
  shareAbove(service: string, team: string, factor: number): number;
  /** Whether the lengths of the service's jobs have a tail. */
  hasTail(service: string): boolean;
  /** Returns the length from which a job is longer than the usual spread explains. */
  longFactor(service: string): number;
  /** Returns the number of known jobs of a service and of the long ones among them. */
  summarize(service: string): LengthSummary;
}

export interface LengthSummary {
  readonly jobs: number;
  readonly longJobs: number;
  /** The length from which a job is long. */
  readonly longFactor: number;
}

interface Generations {
  newer: Histogram;
  older: Histogram | undefined;
}

export function createJobLengths(): JobLengths {
  const teams = new Map<string, Generations>();
  const services = new Map<string, Generations>();
  /** Computed when a job is recorded, because every evaluated run asks for it. */
  const withTail = new Set<string>();

  function longFactor(service: string): number {
    const known = find(services, service);
    const spread = count(known) < MIN_JOBS_FOR_SPREAD ? DEFAULT_SPREAD : spreadOf(known);
    return Math.max(MIN_LONG_FACTOR, Math.exp(LONG_JOB_SPREADS * spread));
  }

  function summarize(service: string): LengthSummary {
    const known = find(services, service);
    const from = longFactor(service);
    return { jobs: count(known), longJobs: countAbove(known, from), longFactor: from };
  }

  return {
    record(service, team, factor) {
      add(findOrCreate(teams, `${service}/${team}`, MAX_TEAMS), factor);
      add(findOrCreate(services, service, MAX_SERVICES), factor);
      const { jobs, longJobs } = summarize(service);
      const key = services.has(service) ? service : OTHERS;
      const hadTail = withTail.has(key);
      const minJobs = hadTail ? 1 : MIN_LONG_JOBS;
      const minShare = hadTail ? END_TAIL_SHARE : MIN_TAIL_SHARE;
      if (longJobs >= minJobs && longJobs >= minShare * jobs) withTail.add(key);
      else withTail.delete(key);
    },
    shareAbove(service, team, factor) {
      const ofService = find(services, service);
      const serviceShare =
        (countAbove(ofService, factor) + PRIOR_LONG_SHARE * SERVICE_PRIOR_JOBS) /
        (count(ofService) + SERVICE_PRIOR_JOBS);
      const ofTeam = find(teams, `${service}/${team}`);
      return (
        (countAbove(ofTeam, factor) + serviceShare * TEAM_PRIOR_JOBS) /
        (count(ofTeam) + TEAM_PRIOR_JOBS)
      );
    },
    hasTail: (service) => withTail.has(services.has(service) ? service : OTHERS),
    longFactor,
    summarize,
  };
}

function createHistogram(): Histogram {
  return new Histogram(MIN_PERCENT, MAX_PERCENT, SIGNIFICANT_DIGITS);
}

function find(entries: ReadonlyMap<string, Generations>, key: string): Generations | undefined {
  return entries.get(key) ?? entries.get(OTHERS);
}

function findOrCreate(entries: Map<string, Generations>, key: string, max: number): Generations {
  const known = entries.get(key);
  if (known !== undefined) return known;
  const ownKey = entries.size < max ? key : OTHERS;
  const shared = entries.get(ownKey);
  if (shared !== undefined) return shared;
  const created: Generations = { newer: createHistogram(), older: undefined };
  entries.set(ownKey, created);
  return created;
}

function add(generations: Generations, factor: number): void {
  if (generations.newer.totalCount >= GENERATION_JOBS) {
    generations.older = generations.newer;
    generations.newer = createHistogram();
  }
  const percent = Math.round(factor * PERCENT);
  generations.newer.recordValue(Math.min(MAX_PERCENT, Math.max(MIN_PERCENT, percent)));
}

function histogramsOf(generations: Generations | undefined): Histogram[] {
  if (generations === undefined) return [];
  const { newer, older } = generations;
  return older === undefined ? [newer] : [newer, older];
}

function count(generations: Generations | undefined): number {
  return histogramsOf(generations).reduce((sum, { totalCount }) => sum + totalCount, 0);
}

function countAbove(generations: Generations | undefined, factor: number): number {
  let jobs = 0;
  const from = Math.round(factor * PERCENT);
  for (const histogram of histogramsOf(generations)) {
    if (histogram.maxValue < from) continue;
    const last = histogram.countsArrayIndex(Math.min(histogram.maxValue, MAX_PERCENT));
    for (let index = histogram.countsArrayIndex(from); index <= last; index += 1) {
      jobs += histogram.getCountAtIndex(index);
    }
  }
  return jobs;
}

/** Returns the spread of the log lengths between the quartiles, which a tail hardly changes. */
function spreadOf(generations: Generations | undefined): number {
  const [histogram] = histogramsOf(generations);
  const older = generations?.older;
  const source =
    older !== undefined && histogram !== undefined && histogram.totalCount < MIN_JOBS_FOR_SPREAD
      ? older
      : histogram;
  if (source === undefined) return DEFAULT_SPREAD;
  const lower = Math.max(MIN_PERCENT, source.getValueAtPercentile(25));
  const upper = Math.max(lower, source.getValueAtPercentile(75));
  return Math.log(upper / lower) / QUARTILE_SPREADS;
}
