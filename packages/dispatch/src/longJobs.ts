/** Finds the running jobs that are known to be long, and what they and a waiting job need of the pool. */
import { RunStates, type Run } from '@celerybarrow/endpoints';
import type { LongJob, RefusedWork } from './longJobYield.js';
import type { JobRecord } from './jobRecord.js';

export interface LongJobsOptions {
  readonly isLong: (record: JobRecord) => boolean;
  /** Returns the time until a run is expected to end; infinite if that is unknown. */
  readonly expectedEndInMs: (run: Run, nowMs: number) => number;
}

/** Returns the open jobs with runs whose length is known to be more than the usual spread explains. */
export function findLongJobs(
  records: Iterable<JobRecord>,
  nowMs: number,
  { isLong, expectedEndInMs }: LongJobsOptions,
): LongJob<JobRecord>[] {
  return [...records]
    .filter((record) => record.outcome === undefined && isLong(record))
    .map((record) => {
      const runs = record.tasks.flatMap(({ run }) => {
        // A stop makes no room soon on an endpoint that does not answer, or whose run is stalled.
        if (run?.state !== RunStates.RUNNING) return [];
        const endInMs = expectedEndInMs(run, nowMs);
        return Number.isFinite(endInMs) ? [{ run, endInMs }] : [];
      });
      return {
        job: record,
        priority: record.job.priority,
        workDone: sum(runs.map(({ run }) => run.demand.cores * (nowMs - run.sentMs))),
        workLeft: sum(runs.map(({ run, endInMs }) => run.demand.cores * endInMs)),
        cores: sum(runs.map(({ run }) => run.demand.cores)),
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
