/**
 * Derives the length of a job's tasks from the run times of its runs.
 *
 * Load pattern: estimates are far off, and the tasks of one step take similar time. A run that is
 * slower than expected means either a long task or a slow endpoint. If the other tasks of the job
 * are as slow on other endpoints, the job is long, and restarting its runs elsewhere would only
 * lose work.
 */
import type { JobRecord, TaskRecord } from './jobRecord.js';

/** Run time of one run. */
export interface LengthSample {
  readonly task: string;
  readonly step: number;
  readonly endpoint: string | undefined;
  /** Actual or projected run time. */
  readonly totalMs: number;
  /** Actual or projected run time, divided by the expected run time. */
  readonly factor: number;
}

/** Records the run time of a task: projected from its progress, or final. */
export function recordLength(
  record: JobRecord,
  task: TaskRecord,
  totalMs: number,
  expectedMs: number,
): void {
  if (!Number.isFinite(totalMs)) return;
  const { key, ref, endpoint } = task;
  const factor = totalMs / Math.max(1, expectedMs);
  const sample = { task: key, step: ref.step, endpoint, totalMs, factor };
  record.lengthSamples.set(`${key}@${endpoint ?? ''}`, sample);
}

/**
 * Returns the run time of the job's longest task, by the fastest run of each; undefined if no run has
 * shown its length.
 */
export function longestTaskMs({ lengthSamples }: JobRecord): number | undefined {
  const fastestMs = new Map<string, number>();
  for (const { task, totalMs } of lengthSamples.values())
    fastestMs.set(task, Math.min(totalMs, fastestMs.get(task) ?? Infinity));
  return fastestMs.size === 0 ? undefined : Math.max(...fastestMs.values());
}

/**
 * Returns the median factor of the step's runs on other endpoints, including earlier runs of the
 * same task; undefined if there are none.
 */
export function lengthFactorOfOthers(record: JobRecord, task: TaskRecord): number | undefined {
  const factors = [...record.lengthSamples.values()]
    .filter((sample) => sample.step === task.ref.step && sample.endpoint !== task.endpoint)
    .map((sample) => sample.factor)
    .sort((a, b) => a - b);
  return factors[Math.floor((factors.length - 1) / 2)];
}

/** Log length of a job that its runs on one endpoint show. */
export interface EndpointLength {
  readonly endpoint: string;
  readonly logFactor: number;
}

/** Returns the median length by the runs on each endpoint except one, for all steps of the job. */
export function lengthsElsewhere(
  samples: Iterable<LengthSample>,
  endpoint: string | undefined,
): EndpointLength[] {
  const byEndpoint = new Map<string, number[]>();
  for (const sample of samples) {
    if (sample.endpoint === undefined || sample.endpoint === endpoint) continue;
    const known = byEndpoint.get(sample.endpoint);
    if (known === undefined) byEndpoint.set(sample.endpoint, [sample.factor]);
    else known.push(sample.factor);
  }
  return [...byEndpoint].map(([id, factors]) => {
    factors.sort((a, b) => a - b);
    const median = factors[Math.floor((factors.length - 1) / 2)] ?? 1;
    return { endpoint: id, logFactor: Math.log(median) };
  });
}

/** Returns the objective of a job whose tasks take `factor` times the expected run time. */
export function adjustedObjectiveMs(record: JobRecord, factor = 1): number {
  const excess = Math.max(0, factor - 1);
  return record.objectiveMs + record.job.objectiveStretch * record.criticalPathMs * excess;
}
