/** Finds the running jobs that are known to be long, and what they and a waiting job need of the pool. */
import type { LongJob, RefusedWork } from './longJobYield.js';
import type { JobRecord } from './jobRecord.js';
import type { Placer } from './placer.js';

export interface LongJobsOptions {
  readonly placer: Pick<Placer, 'runningWorkLeft'>;
  readonly isLong: (record: JobRecord) => boolean;
}

/** Returns the open jobs with runs whose length is known to be more than the usual spread explains. */
export function findLongJobs(
  records: Iterable<JobRecord>,
  nowMs: number,
  { placer, isLong }: LongJobsOptions,
): LongJob<JobRecord>[] {
  return [...records]
    .filter((record) => record.outcome === undefined && isLong(record))
    .map((record) => {
      const runs = record.tasks.flatMap(({ run }) => (run === undefined ? [] : [run]));
      const workDone = runs.map(({ demand, sentMs }) => demand.cores * (nowMs - sentMs));
      return {
        job: record,
        priority: record.job.priority,
        workDone: sum(workDone),
        workLeft: placer.runningWorkLeft(record, nowMs),
        cores: sum(runs.map(({ demand }) => demand.cores)),
      };
    });
}

/** Returns what a job needs that would be refused, given the work of its waiting tasks. */
export function refusedWorkOf({ job }: JobRecord, work: number): RefusedWork {
  const cores = sum(job.steps.map(({ tasks, demand }) => tasks * demand.cores));
  return { priority: job.priority, work, cores };
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
