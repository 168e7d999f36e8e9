/**
 * Speed of an endpoint now, from the progress rates of the runs on it, each relative to the
 * predicted length of its own job.
 *
 * Fault pattern: an endpoint turns several times slow for some seconds. All its runs then progress
 * slowly at the same time, and runs of the same jobs elsewhere do not.
 *
 * Load pattern: one of several runs on a sound endpoint belongs to a long job. The estimate is
 * robust against it.
 *
 * A rate is measured between two reports by the endpoint's clock, so that neither a delayed start
 * nor a report that is read late looks like a slow run.
 */

/** Runs kept for each endpoint, current and recent ones. */
const MAX_RUNS = 16;
/** Minimum time between the reports of a rate. */
const MIN_SPAN_MS = 60;
/** A rate is measured anew after this progress or time, so that it shows the speed of late. */
const NEXT_PERCENT = 5;
const NEXT_SPAN_MS = 250;
/** Least share of the time of a measurement that has to be after the begin of the compared run. */
const MIN_OVERLAP = 0.8;
/** Spread of a rate from the percentage being a whole number: about half a percent at either end. */
const ROUNDING_PERCENT = 0.5;
/** Degrees of freedom of the t distribution that the robust estimate assumes. */
const DEGREES_OF_FREEDOM = 3;
const ITERATIONS = 4;
/**
 * Least share of slow runs, also without a history, and its weight in runs: a pool in which no
 * endpoint was slow yet may get one at any time.
 */
const PRIOR_SLOW_SHARE = 0.005;
const PRIOR_RUNS = 200;
/** Runs after which half of the history is forgotten. */
const HISTORY_RUNS = 4_000;

/** Log of a run time relative to the prediction, with its standard deviation. */
export interface LogSample {
  readonly logFactor: number;
  readonly spread: number;
}

export interface EndpointSpeed extends LogSample {
  readonly runs: number;
}

/** What one report tells of a run. */
export interface ObservedProgress {
  readonly key: string;
  readonly job: string;
  readonly clockMs: number;
  readonly percent: number;
  readonly expectedMs: number;
}

/** A current or recent run on an endpoint. */
export interface ObservedRun extends LogSample {
  readonly key: string;
  readonly job: string;
  /** Between which times the rate was measured, on the local clock. */
  readonly fromMs: number;
  readonly atMs: number;
  /** Log factor of the first measurement, to notice that the rate changed. */
  readonly first: LogSample;
}

export interface EndpointSpeeds {
  /** Adds the progress of a run from a report. */
  observe(endpoint: string, progress: ObservedProgress, nowMs: number): void;
  /** Adds the total time of a completed run. */
  observeEnd(endpoint: string, run: ObservedEnd, nowMs: number): void;
  /** Returns the rate of a run; undefined while it is not measured. */
  find(endpoint: string, key: string): ObservedRun | undefined;
  /** Returns the runs of other jobs whose rates were measured mostly after a time. */
  neighbours(endpoint: string, job: string, sinceMs: number): readonly ObservedRun[];
  /** Counts a run whose cause of slowness was decided, or that was not slow. */
  recordCause(isEndpointSlow: boolean): void;
  /** Returns the share of runs that were slow because of their endpoint. */
  slowShare(): number;
  forget(endpoint: string): void;
}

export interface ObservedEnd extends LogSample {
  readonly key: string;
  readonly job: string;
  readonly fromMs: number;
}

interface Entry {
  readonly key: string;
  readonly job: string;
  logFactor: number;
  spread: number;
  fromMs: number;
  atMs: number;
  first: LogSample | undefined;
  fromClockMs: number;
  fromPercent: number;
}

export function createEndpointSpeeds(): EndpointSpeeds {
  const endpoints = new Map<string, Entry[]>();
  let runs = PRIOR_RUNS;
  let slowRuns = PRIOR_RUNS * PRIOR_SLOW_SHARE;

  function entriesOf(endpoint: string): Entry[] {
    const known = endpoints.get(endpoint);
    if (known !== undefined) return known;
    const created: Entry[] = [];
    endpoints.set(endpoint, created);
    return created;
  }

  function replace(endpoint: string, entry: Entry): void {
    const entries = entriesOf(endpoint);
    const index = entries.findIndex(({ key }) => key === entry.key);
    if (index >= 0) entries[index] = entry;
    else entries.push(entry);
    if (entries.length > MAX_RUNS) entries.shift();
  }

  return {
    observe(endpoint, { key, job, clockMs, percent, expectedMs }, nowMs) {
      const entry = entriesOf(endpoint).find((one) => one.key === key);
      if (entry === undefined || entry.fromClockMs > clockMs || entry.fromPercent > percent) {
        const start = { fromClockMs: clockMs, fromPercent: percent, first: undefined };
        replace(endpoint, {
          key,
          job,
          logFactor: 0,
          spread: Infinity,
          fromMs: nowMs,
          atMs: nowMs,
          ...start,
        });
        return;
      }
      const spanMs = clockMs - entry.fromClockMs;
      if (spanMs < MIN_SPAN_MS) return;
      const progress = Math.max(ROUNDING_PERCENT, percent - entry.fromPercent);
      entry.logFactor = Math.log((spanMs * 100) / progress / Math.max(1, expectedMs));
      entry.spread = ROUNDING_PERCENT / progress;
      entry.fromMs = nowMs - spanMs;
      entry.atMs = nowMs;
      if (progress < NEXT_PERCENT && spanMs < NEXT_SPAN_MS) return;
      entry.first ??= { logFactor: entry.logFactor, spread: entry.spread };
      entry.fromClockMs = clockMs;
      entry.fromPercent = percent;
    },
    observeEnd(endpoint, { key, job, logFactor, spread, fromMs }, nowMs) {
      const ended = { fromClockMs: Infinity, fromPercent: Infinity, first: undefined };
      replace(endpoint, { key, job, logFactor, spread, fromMs, atMs: nowMs, ...ended });
    },
    find(endpoint, key) {
      const entry = endpoints.get(endpoint)?.find((one) => one.key === key);
      return entry === undefined || entry.spread === Infinity ? undefined : toObservedRun(entry);
    },
    neighbours(endpoint, job, sinceMs) {
      const entries = endpoints.get(endpoint) ?? [];
      return entries
        .filter((one) => one.job !== job && one.spread < Infinity && isMostlyAfter(one, sinceMs))
        .map(toObservedRun);
    },
    recordCause(isEndpointSlow) {
      runs += 1;
      if (isEndpointSlow) slowRuns += 1;
      if (runs < HISTORY_RUNS) return;
      runs /= 2;
      slowRuns /= 2;
    },
    slowShare: () => Math.max(PRIOR_SLOW_SHARE, slowRuns / runs),
    forget(endpoint) {
      endpoints.delete(endpoint);
    },
  };
}

function isMostlyAfter({ fromMs, atMs }: Entry, sinceMs: number): boolean {
  return atMs - Math.max(fromMs, sinceMs) >= MIN_OVERLAP * (atMs - fromMs);
}

function toObservedRun(entry: Entry): ObservedRun {
  return { ...entry, first: entry.first ?? entry };
}

/**
 * Returns the robust mean of the samples by a t distribution, in which an outlier has little
 * weight; undefined without samples.
 */
export function speedOf(samples: readonly LogSample[]): EndpointSpeed | undefined {
  if (samples.length === 0) return undefined;
  let mean = weightedMedian(samples);
  let weights = 0;
  for (let iteration = 0; iteration < ITERATIONS; iteration += 1) {
    let sum = 0;
    weights = 0;
    for (const { logFactor, spread } of samples) {
      const deviation = (logFactor - mean) / spread;
      const weight = 1 / (spread * spread * (1 + (deviation * deviation) / DEGREES_OF_FREEDOM));
      sum += weight * logFactor;
      weights += weight;
    }
    mean = sum / weights;
  }
  return { logFactor: mean, spread: 1 / Math.sqrt(weights), runs: samples.length };
}

function weightedMedian(samples: readonly LogSample[]): number {
  const sorted = [...samples].sort((a, b) => a.logFactor - b.logFactor);
  let left = sorted.reduce((sum, { spread }) => sum + 1 / (spread * spread), 0) / 2;
  for (const { logFactor, spread } of sorted) {
    left -= 1 / (spread * spread);
    if (left <= 0) return logFactor;
  }
  return sorted.at(-1)?.logFactor ?? 0;
}
