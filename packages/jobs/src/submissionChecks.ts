/**
 * What an owner checks before it claims a new id: the time of its creation, whether its service and
 * kinds are published, and admission. Every problem found here means that the job was not started.
 */
import { Result } from 'true-myth';
import type { TimerService } from '@celerybarrow/timer';
import type { BatchTask, Problem, Submission } from '@celerybarrow/protocol';
import type { ConfigurationKeeper, ServiceFile } from '@celerybarrow/configuration';
import { MAX_CLOCK_LEAD_MS, type RosterKeeper } from '@celerybarrow/membership';
import { RETENTION_MS } from '@celerybarrow/claims';
import type { Placement } from '@celerybarrow/placement';
import type { Admission } from '@celerybarrow/admission';
import * as problems from './problems.js';

/** Longest time a job may take when its submission names no deadline. */
export const LONGEST_JOB_MS = 600_000;

export interface AdmittedJob {
  readonly service: ServiceFile;
  readonly tasks: readonly BatchTask[];
  /** Wall-clock time after which no task may be started, milliseconds. */
  readonly startBefore: number;
}

export interface SubmissionChecks {
  check(submission: Submission): Result<AdmittedJob, Problem>;
}

export interface SubmissionCheckOptions {
  readonly rosters: RosterKeeper;
  readonly configuration: ConfigurationKeeper;
  readonly admission: Admission;
  readonly placement: Placement;
  readonly timer: TimerService;
}

export function createSubmissionChecks(options: SubmissionCheckOptions): SubmissionChecks {
  const { rosters, configuration, admission, placement, timer } = options;

  function findTimeProblem({ createdAt }: Submission): Problem | undefined {
    const ageMs = timer.wallMs() - createdAt;
    if (ageMs > RETENTION_MS) return problems.tooOld(ageMs);
    if (ageMs < -MAX_CLOCK_LEAD_MS) return problems.clockAhead(-ageMs);
    const lostBefore = rosters.own()?.roster.memoryLostBefore ?? 0;
    return createdAt < lostBefore ? problems.memoryLost() : undefined;
  }

  function findUnknownKind({ service, tasks }: Submission): Problem | undefined {
    const unknown = tasks.find((task) => configuration.findKind(service, task.kind) === undefined);
    return unknown && problems.unknownKind(service, unknown.kind);
  }

  function admit(submission: Submission, service: ServiceFile): Result<AdmittedJob, Problem> {
    const tasks = submission.tasks.map((task, index): BatchTask => {
      const declaredMs = configuration.findKind(submission.service, task.kind)?.expectedMs ?? 1;
      const learnedMs = placement.serviceTimes.estimateRunMs(
        submission.service,
        task.kind,
        declaredMs,
      );
      return { ...task, index, expectedMs: Math.max(1, Math.round(learnedMs)) };
    });
    const remainingMs = Math.min(submission.deadlineMs ?? LONGEST_JOB_MS, LONGEST_JOB_MS);
    const admitted = admission.admit({
      service,
      tasks: tasks.length,
      waitingTasks: placement.waiting(submission.service),
      ...placement.estimate(submission.service, tasks),
      remainingMs,
      hasEndpoints: placement.canServe(submission.service),
    });
    if (admitted.isErr) return Result.err(problems.refused(admitted.error));
    return Result.ok({ service, tasks, startBefore: timer.wallMs() + remainingMs });
  }

  return {
    check(submission) {
      const timeProblem = findTimeProblem(submission);
      if (timeProblem !== undefined) return Result.err(timeProblem);
      const service = configuration.findService(submission.service);
      if (service === undefined) return Result.err(problems.unknownService(submission.service));
      const kindProblem = findUnknownKind(submission);
      return kindProblem === undefined ? admit(submission, service) : Result.err(kindProblem);
    },
  };
}
