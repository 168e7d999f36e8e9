/** Computes a policy's metrics: response time over the ideal, wasted messages, control cost. */
import { build } from 'hdr-histogram-js';
import type { Experiment } from './experimentSchema.js';
import type { JobResult } from './jobResult.js';

export interface TrafficSample {
  readonly messages: number;
  readonly controlBytes: number;
  readonly payloadBytes: number;
}

export interface UsageSample {
  readonly instance: string;
  readonly counters: Record<string, number>;
  readonly platform: { readonly calls: Record<string, number> };
  readonly traffic: { readonly sent: Record<string, TrafficSample> };
  readonly process: {
    readonly cpuMs: number;
    readonly residentBytes: number;
    readonly uptimeMs: number;
  };
}

export interface Quantiles {
  readonly p50: number;
  readonly p90: number;
  readonly p99: number;
}

export interface PolicyResult {
  readonly policy: string;
  readonly jobs: number;
  readonly tasks: number;
  readonly outcomes: Record<string, number>;
  /** Quantiles of the measured and ideal response times and of the lower bound, in milliseconds. */
  readonly responseMs: Quantiles;
  readonly idealMs: Quantiles;
  readonly boundMs: Quantiles;
  /** Quantiles of the response times divided by the same quantiles of the ideal times. */
  readonly overIdeal: Quantiles;
  readonly overIdealByTeam: Record<string, Quantiles>;
  /** Requests that started no task (refused tasks, batches sent again), per completed or failed task. */
  readonly wastedPerTask: number;
  readonly messagesPerTask: number;
  readonly messagesPerJob: number;
  readonly perInstance: {
    readonly startsPerSecond: number;
    readonly cpuShare: number;
    readonly residentMegabytes: number;
    readonly controlBytesPerSecond: number;
    readonly controlBytesPerTask: number;
    readonly platformCallsPerSecond: number;
  };
  readonly controlBytesByType: Record<string, number>;
}

export interface SummaryOptions {
  readonly policy: string;
  readonly experiment: Experiment;
  readonly results: readonly JobResult[];
  readonly before: readonly UsageSample[];
  readonly after: readonly UsageSample[];
}

const BYTES_PER_MEGABYTE = 1_048_576;

export function summarize(options: SummaryOptions): PolicyResult {
  const { policy, experiment, results } = options;
  const countedJobs = results.filter((result) => result.job.atMs >= experiment.warmupMs);
  const complete = countedJobs.filter((result) => result.outcome === 'complete');
  const responseMs = computeQuantiles(complete.map((result) => result.responseMs));
  const idealMs = computeQuantiles(complete.map((result) => result.ideal.responseMs));
  const usage = summarizeUsage(options);
  return {
    policy,
    jobs: countedJobs.length,
    tasks: countedJobs.reduce((sum, result) => sum + result.job.tasks.length, 0),
    outcomes: countBy(countedJobs.map((result) => result.outcome)),
    responseMs,
    idealMs,
    boundMs: computeQuantiles(complete.map((result) => result.ideal.boundMs)),
    overIdeal: divide(responseMs, idealMs),
    overIdealByTeam: computeOverIdealByTeam(complete),
    ...usage,
  };
}

function summarizeUsage({ results, before, after }: SummaryOptions) {
  const seconds = getElapsedSeconds(before, after);
  const instances = Math.max(1, after.length);
  const sentMessages = computeDifference(before, after, (sample) =>
    sumBy(Object.values(sample.traffic.sent), (traffic) => traffic.messages),
  );
  const controlBytes = computeDifference(before, after, (sample) =>
    sumBy(Object.values(sample.traffic.sent), (traffic) => traffic.controlBytes),
  );
  const wastedRequests = computeDifference(
    before,
    after,
    (sample) =>
      (sample.counters['tasks.refused'] ?? 0) + (sample.counters['batches.sent-again'] ?? 0),
  );
  const endedTasks = Math.max(
    1,
    computeDifference(
      before,
      after,
      (sample) => (sample.counters['tasks.done'] ?? 0) + (sample.counters['tasks.failed'] ?? 0),
    ),
  );
  const platformCalls = computeDifference(before, after, (sample) =>
    sumBy(Object.values(sample.platform.calls), (count) => count),
  );
  const cpuMs = computeDifference(before, after, (sample) => sample.process.cpuMs);
  return {
    wastedPerTask: wastedRequests / endedTasks,
    messagesPerTask: sentMessages / endedTasks,
    messagesPerJob: sentMessages / Math.max(1, results.length),
    perInstance: {
      startsPerSecond: endedTasks / seconds / instances,
      cpuShare: cpuMs / 1_000 / seconds / instances,
      residentMegabytes:
        sumBy(after, (sample) => sample.process.residentBytes) / instances / BYTES_PER_MEGABYTE,
      controlBytesPerSecond: controlBytes / seconds / instances,
      controlBytesPerTask: controlBytes / endedTasks,
      platformCallsPerSecond: platformCalls / seconds / instances,
    },
    controlBytesByType: countBytesByType(before, after),
  };
}

function getElapsedSeconds(before: readonly UsageSample[], after: readonly UsageSample[]): number {
  const spanMs = (after[0]?.process.uptimeMs ?? 1) - (before[0]?.process.uptimeMs ?? 0);
  return Math.max(0.001, spanMs / 1_000);
}

function computeDifference(
  before: readonly UsageSample[],
  after: readonly UsageSample[],
  valueOf: (sample: UsageSample) => number,
): number {
  return sumBy(after, valueOf) - sumBy(before, valueOf);
}

function countBytesByType(
  before: readonly UsageSample[],
  after: readonly UsageSample[],
): Record<string, number> {
  const types = new Set(after.flatMap((sample) => Object.keys(sample.traffic.sent)));
  return Object.fromEntries(
    [...types].map((type) => [
      type,
      computeDifference(before, after, (sample) => sample.traffic.sent[type]?.controlBytes ?? 0),
    ]),
  );
}

function computeOverIdealByTeam(results: readonly JobResult[]): Record<string, Quantiles> {
  const teams = [...new Set(results.map((result) => result.job.team))].sort();
  return Object.fromEntries(
    teams.map((team) => {
      const teamResults = results.filter((result) => result.job.team === team);
      const response = computeQuantiles(teamResults.map((result) => result.responseMs));
      return [
        team,
        divide(response, computeQuantiles(teamResults.map((result) => result.ideal.responseMs))),
      ];
    }),
  );
}

function computeQuantiles(values: readonly number[]): Quantiles {
  const histogram = build({ numberOfSignificantValueDigits: 3, highestTrackableValue: 3_600_000 });
  for (const value of values) histogram.recordValue(Math.max(0, Math.round(value)));
  return {
    p50: histogram.getValueAtPercentile(50),
    p90: histogram.getValueAtPercentile(90),
    p99: histogram.getValueAtPercentile(99),
  };
}

function divide(a: Quantiles, b: Quantiles): Quantiles {
  return { p50: a.p50 / b.p50, p90: a.p90 / b.p90, p99: a.p99 / b.p99 };
}

function countBy(names: readonly string[]): Record<string, number> {
  const counts: Record<string, number> = {};
  for (const name of names) counts[name] = (counts[name] ?? 0) + 1;
  return counts;
}

function sumBy<T>(values: readonly T[], valueOf: (value: T) => number): number {
  return values.reduce((total, value) => total + valueOf(value), 0);
}
