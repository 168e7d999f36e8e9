/**
 * Runs the jobs of one instance. When a submission reaches the owner of its id, it joins the
 * running job, gets the answer of the ended job, or is admitted, claimed and run. No id runs twice.
 */
import type { Result } from 'true-myth';
import { Outcomes } from '@celerybarrow/shared';
import type { TimerService } from '@celerybarrow/timer';
import type {
  Answer,
  RequestBody,
  Claim,
  Member,
  Problem,
  ProtocolError,
  Reply,
  Submission,
} from '@celerybarrow/protocol';
import type { ActiveConfiguration } from '@celerybarrow/configuration';
import { findOwner, type Peers, type RosterCache } from '@celerybarrow/membership';
import {
  type ClaimRecord,
  type ClaimRegistry,
  type ClaimStore,
  type Handover,
} from '@celerybarrow/claims';
import type { Placement } from '@celerybarrow/placement';
import type { Admission } from '@celerybarrow/admission';
import type { Metrics } from '@celerybarrow/telemetry';
import { ErrorCodes } from '@celerybarrow/shared';
import { createAnswerCache } from './answerCache.js';
import { createJobRun, type JobRun } from './jobRun.js';
import {
  createSubmissionChecks,
  MAX_JOB_DURATION_MS,
  type AdmittedJob,
} from './submissionChecks.js';
import * as problems from './problems.js';
import type { Traces } from './traces.js';

/**
 * How long a submission waits for the claims of its range, for the registration of its claim, or
 * for a connection to its runner.
 */
const CLAIM_WAIT_MS = 3_000;
const TRANSFER_POLL_MS = 10;
const MIN_CLAIM_WAIT_MS = 50;

export interface JobService {
  /**
   * Resolves with the answer when the job has ended, or undefined if another instance owns the id.
   */
  submit(submission: Submission): Promise<Answer | undefined>;
  /**
   * Handles a request of the owner of an id whose claim names this instance as the runner.
   */
  join(ask: RequestBody<'join'>): Promise<Reply<'join'>>;
  lookup(id: string): Reply<'lookup'>;
  cancel(id: string): boolean;
  running(): number;
}

export interface JobServiceOptions {
  readonly self: Member;
  readonly store: ClaimStore;
  readonly claimRegistry: ClaimRegistry;
  readonly handover: Handover;
  readonly rosters: RosterCache;
  readonly peers: Peers;
  readonly configuration: ActiveConfiguration;
  readonly admission: Admission;
  readonly placement: Placement;
  readonly timer: TimerService;
  readonly metrics: Metrics;
  readonly traces: Traces;
  /** Memory limit for the answers of ended jobs, in bytes. */
  readonly answerBytes: number;
}

interface ActiveJob {
  readonly digest: string;
  readonly answer: Promise<Answer | undefined>;
  run?: JobRun;
  isCancelled: boolean;
  readonly tasks: number;
}

export function createJobService(options: JobServiceOptions): JobService {
  const {
    self,
    store,
    claimRegistry,
    handover,
    rosters,
    configuration,
    placement,
    timer,
    metrics,
  } = options;
  const activeJobs = new Map<string, ActiveJob>();
  const cache = createAnswerCache(options.answerBytes);
  const checks = createSubmissionChecks(options);

  async function submit(submission: Submission): Promise<Answer | undefined> {
    const { id, digest } = submission;
    const activeJob = activeJobs.get(id);
    if (activeJob !== undefined) {
      return activeJob.digest === digest
        ? activeJob.answer
        : reject(id, problems.contentMismatch(id));
    }
    const record = store.find(id);
    if (record !== undefined) return answerFromRecord(submission, record);
    if (!isOwner(id)) return undefined;
    if (!handover.hasAllClaims(id)) return submitAfterTransfer(submission);
    return startJob(submission);
  }

  function isOwner(id: string): boolean {
    const view = rosters.ownView();
    if (view === undefined || claimRegistry.isSealed()) return false;
    return findOwner(view, id)?.incarnation === self.incarnation;
  }

  /** Waits until this instance has every claim of the id's range, then submits again. */
  async function submitAfterTransfer(submission: Submission): Promise<Answer | undefined> {
    const timeoutAtMs = timer.nowMs() + CLAIM_WAIT_MS;
    while (timer.nowMs() < timeoutAtMs) {
      await timer.sleep(TRANSFER_POLL_MS);
      if (!isOwner(submission.id)) return undefined;
      if (handover.hasAllClaims(submission.id)) return submit(submission);
    }
    const cause = problems.homeUnreachable(rosters.dataCentre, Outcomes.MAY_HAVE_RUN);
    return reject(submission.id, cause);
  }

  async function answerFromRecord(
    submission: Submission,
    record: ClaimRecord,
  ): Promise<Answer | undefined> {
    const { id, digest } = submission;
    if (record.claim.digest !== digest) return reject(id, problems.contentMismatch(id));
    if (record.answer !== undefined) return record.answer;
    if (record.claim.runnerIncarnation === self.incarnation)
      return answerOwnRecord(submission, record);
    return joinRunner(submission, record.claim);
  }

  /**
   * Answers from a claim of this instance that has no running job. The job has ended, or the claim
   * was abandoned before any task started.
   */
  async function answerOwnRecord(
    submission: Submission,
    record: ClaimRecord,
  ): Promise<Answer | undefined> {
    if (record.hasEnded === true) return reject(submission.id, problems.answerDiscarded());
    if (!isOwner(submission.id)) return undefined;
    if (!handover.hasAllClaims(submission.id)) return submitAfterTransfer(submission);
    if (record.conflicting === undefined) return startJob(submission);
    // Another runner may have the job; it is asked next.
    store.remove(submission.id);
    return submit(submission);
  }

  async function joinRunner(submission: Submission, claim: Claim): Promise<Answer | undefined> {
    const { id, digest } = submission;
    const runner = {
      instance: claim.runner,
      incarnation: claim.runnerIncarnation,
      peer: claim.runnerPeer,
    };
    const timeoutMs = submission.deadlineMs ?? MAX_JOB_DURATION_MS;
    const askedEpoch = findCompleteEpoch(id);
    const joined = await askRunner(runner, { id, digest }, timer.nowMs() + timeoutMs);
    if (joined.isErr) return reject(id, problems.runnerLost(claim.runner));
    if (joined.value.answer !== undefined) return joined.value.answer;
    if (!joined.value.released) return reject(id, problems.runnerLost(claim.runner));
    options.traces.add(id, `Instance ${claim.runner} released the claim.`);
    if (!isOwner(id)) return undefined;
    // While the runner could still claim the id in an earlier epoch, its release proves nothing: it
    // may have claimed the id again since.
    const epoch = findCompleteEpoch(id);
    if (epoch === undefined) return submitAfterTransfer(submission);
    if (epoch !== askedEpoch) return submit(submission);
    if (store.find(id)?.claim === claim) store.remove(id);
    return activeJobs.has(id) || store.find(id) !== undefined
      ? submit(submission)
      : startJob(submission, claim.runnerIncarnation);
  }

  /** Returns the present epoch if this instance has all claims of an id in it. */
  function findCompleteEpoch(id: string): number | undefined {
    return handover.hasAllClaims(id) ? rosters.ownView()?.roster.epoch : undefined;
  }

  /**
   * Asks the runner of a claim for the answer. Asks once more if the runner was unresponsive but its
   * process has not exited. Asking again is safe, because a released claim is never used again.
   */
  async function askRunner(
    runner: Member,
    ask: RequestBody<'join'>,
    endMs: number,
  ): Promise<Result<Reply<'join'>, ProtocolError>> {
    const createTimeouts = () => ({
      timeoutMs: endMs - timer.nowMs(),
      connectWaitMs: CLAIM_WAIT_MS,
    });
    const first = await options.peers.request(runner, 'join', ask, createTimeouts());
    if (first.isOk || timer.nowMs() >= endMs) return first;
    if (options.peers.linkTo(runner).isGone()) return first;
    return options.peers.request(runner, 'join', ask, createTimeouts());
  }

  /**
   * Answers with the job's outcome, or releases the claim and removes it so that it is not reused.
   */
  function join({ id, digest }: RequestBody<'join'>): Promise<Reply<'join'>> {
    const activeJob = activeJobs.get(id);
    if (activeJob !== undefined) return joinActive(id, digest, activeJob);
    const record = store.find(id);
    const isAbandoned =
      record?.claim.runnerIncarnation === self.incarnation && record.hasEnded !== true;
    if (isAbandoned) store.remove(id);
    if (record === undefined || isAbandoned) return Promise.resolve({ released: true });
    const answer = record.answer ?? problems.toAnswer(id, problems.answerDiscarded());
    return Promise.resolve({ answer, released: false });
  }

  async function joinActive(
    id: string,
    digest: string,
    activeJob: ActiveJob,
  ): Promise<Reply<'join'>> {
    if (activeJob.digest !== digest) {
      return { answer: problems.toAnswer(id, problems.contentMismatch(id)), released: false };
    }
    const answer = await activeJob.answer;
    return answer === undefined ? { released: !isRunner(id) } : { answer, released: false };
  }

  function isRunner(id: string): boolean {
    return store.find(id)?.claim.runnerIncarnation === self.incarnation;
  }

  /**
   * Starts a job whose id this instance owns, with all claims, in the present epoch. It is added to
   * `activeJobs` before its claim is registered, so that no other submission of the id can start it
   * again.
   */
  function startJob(submission: Submission, supersedes?: string): Promise<Answer | undefined> {
    const epoch = rosters.ownView()?.roster.epoch ?? 0;
    const checked = checks.check(submission);
    if (checked.isErr) return confirmAndReject(submission.id, checked.error, epoch);
    const admitted = checked.value;
    const job: ActiveJob = {
      digest: submission.digest,
      isCancelled: false,
      tasks: submission.tasks.length,
      answer: Promise.resolve().then(() => claimAndRun(submission, admitted, epoch, supersedes)),
    };
    activeJobs.set(submission.id, job);
    return job.answer;
  }

  async function claimAndRun(
    submission: Submission,
    admitted: AdmittedJob,
    epoch: number,
    supersedes: string | undefined,
  ): Promise<Answer | undefined> {
    const { id } = submission;
    const startedMs = timer.nowMs();
    const claim = createClaim(submission, epoch, supersedes);
    if (!store.add(claim)) {
      activeJobs.delete(id);
      return reject(id, problems.claimContested());
    }
    const remainingMs = admitted.startBefore - timer.wallMs();
    const registered = await claimRegistry.register(
      claim,
      epoch,
      Math.max(MIN_CLAIM_WAIT_MS, Math.min(remainingMs, CLAIM_WAIT_MS)),
    );
    metrics.time('claim.ms', 'all', timer.nowMs() - startedMs);
    if (registered.isErr) {
      activeJobs.delete(id);
      store.remove(id);
      // The epoch has changed, or the claim of another instance has been received meanwhile.
      if (registered.error.code === ErrorCodes.CLAIM_OUTDATED || store.find(id) !== undefined)
        return submit(submission);
      if (registered.error.code === ErrorCodes.CLAIM_REFUSED)
        return reject(id, problems.claimContested());
      return isOwner(id) ? confirmAndReject(id, problems.claimNotRegistered(), epoch) : undefined;
    }
    options.traces.add(id, `Claimed in epoch ${rosters.ownView()?.roster.epoch ?? 0}.`);
    const answer = await runClaimed(submission, admitted);
    storeAnswer(id, answer);
    activeJobs.delete(id);
    const { team } = admitted.service;
    metrics.time('job.ms', team, timer.nowMs() - startedMs);
    for (const kind of new Set(submission.tasks.map((task) => task.kind))) {
      metrics.time('job.ms', `${team}/${kind}`, timer.nowMs() - startedMs);
    }
    metrics.increment('answers' in answer ? 'jobs.complete' : `jobs.${answer.problem.outcome}`);
    return answer;
  }

  function runClaimed(submission: Submission, admitted: AdmittedJob): Promise<Answer> {
    const { id } = submission;
    const run = createJobRun({
      submission,
      team: admitted.service.team,
      weight: configuration.findQuota(admitted.service.team)?.share ?? 1,
      tasks: admitted.tasks,
      startBefore: admitted.startBefore,
      submittedAt: timer.wallMs(),
      placement,
      timer,
      trace: (sentence) => {
        options.traces.add(id, sentence);
      },
    });
    const job = activeJobs.get(id);
    if (job !== undefined) job.run = run;
    if (job?.isCancelled === true) {
      return Promise.resolve(problems.toAnswer(id, problems.cancelled(Outcomes.NOT_RUN)));
    }
    return run.run();
  }

  /**
   * Stores the answer of an ended job. If no task was started, removes the record instead, so that
   * the job can be submitted again.
   */
  function storeAnswer(id: string, answer: Answer): void {
    if ('problem' in answer && answer.problem.outcome === Outcomes.NOT_RUN) {
      store.remove(id);
      return;
    }
    store.setAnswer(id, answer);
    for (const evictedId of cache.add(id, answer)) {
      const record = store.find(evictedId);
      if (record !== undefined) record.answer = undefined;
    }
  }

  function createClaim(
    submission: Submission,
    epoch: number,
    supersedes: string | undefined,
  ): Claim {
    return {
      id: submission.id,
      digest: submission.digest,
      createdAt: submission.createdAt,
      runner: self.instance,
      runnerIncarnation: self.incarnation,
      runnerPeer: self.peer,
      epoch,
      ...(supersedes === undefined ? {} : { supersedes }),
    };
  }

  /**
   * Rejects a submission. Answers not-run only if the epoch in which that was decided is confirmed:
   * an owner that was replaced without knowing it cannot rule out that the job ran.
   */
  async function confirmAndReject(id: string, cause: Problem, epoch: number): Promise<Answer> {
    const isCertain =
      cause.outcome !== Outcomes.NOT_RUN || (await claimRegistry.confirm(id, epoch));
    return reject(id, isCertain ? cause : { ...cause, outcome: Outcomes.MAY_HAVE_RUN });
  }

  function reject(id: string, cause: Problem): Answer {
    metrics.increment(`refused.${cause.outcome}`);
    options.traces.add(id, `Refused: ${cause.title} (${cause.outcome}).`);
    return problems.toAnswer(id, cause);
  }

  return {
    submit,
    join,
    lookup(id) {
      const job = activeJobs.get(id);
      if (job !== undefined) {
        return { state: 'running', endedTasks: job.run?.endedTasks() ?? 0, tasks: job.tasks };
      }
      const answer = store.find(id)?.answer;
      return answer === undefined ? { state: 'unknown' } : { state: 'ended', answer };
    },
    cancel(id) {
      const job = activeJobs.get(id);
      if (job === undefined) return false;
      job.isCancelled = true;
      job.run?.cancel();
      return true;
    },
    running: () => activeJobs.size,
  };
}
