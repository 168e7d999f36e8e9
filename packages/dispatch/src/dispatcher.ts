/**
 * The dispatcher accepts jobs from all gateways, starts their tasks through the endpoint
 * controllers, and answers when a job has ended.
 *
 * It keeps the record of a job until all its runs have terminated. If the same id is submitted
 * again meanwhile, the submission joins the job or waits, so that no task ever has two runs at a
 * time.
 *
 * A job may run only while its gateway's lease is valid; heartbeats renew the lease. When a gateway
 * stops sending them, its jobs end before any other instance may start them. All durations are
 * measured by a clock that includes the time during which this machine was suspended.
 */
import { createCancelledJobs, type Random, type RecordedJobs } from '@celerybarrow/shared';
import {
  OrderAnswers,
  RunEnds,
  taskKey,
  type DepartingEndpoint,
  type EndpointEntry,
  type EndpointNetwork,
  type OrderAnswer,
  type OrphanedRun,
  type Run,
  type RunEnd,
} from '@celerybarrow/endpoints';
import type { SharedPair } from '@celerybarrow/interference';
import {
  CANCELLED_OUTCOME,
  JobStates,
  type GatewayState,
  type JobOutcome,
  type JobState,
  type LeasedJob,
  type Withdrawal,
} from '@celerybarrow/protocol';
import type { LogContext, Logger, Metrics } from '@celerybarrow/telemetry';
import type { ElapsedClock, TimerService } from '@celerybarrow/timer';
import { createArrivalRates } from './arrivalRates.js';
import { createConfirmations, hasLostAnswers } from './confirmations.js';
import { createReconciliation, RECONCILIATION_TIMEOUT_MS } from './reconciliation.js';
import { createEndpointPool } from './endpointPool.js';
import { describeDepartures, findDepartures } from './departures.js';
import { createInheritedEndpoints } from './inheritedEndpoints.js';
import { describeFirstStart } from './describeFirstStart.js';
import { describeEnd, describeUnserved, outcomeName } from './describeOutcome.js';
import { createEndpointHealth } from './endpointHealth.js';
import { logFenceChange } from './fenceLog.js';
import { createGatewayLeases, type GatewayMessage, type LeaseAge } from './gatewayLeases.js';
import {
  createJobRecord,
  endpointsWithRuns,
  describeRuns,
  runSuffix,
  type JobRecord,
  type TaskRecord,
} from './jobRecord.js';
import { recordLength } from './jobLength.js';
import { createJobSizeClassifier } from './jobSizes.js';
import { findLongJobs, refusedWorkOf } from './longJobs.js';
import { createLongJobYield, type LongJob } from './longJobYield.js';
import { createOrderWindow, orderBytes } from './orderWindow.js';
import { createNeighbourLoss } from './neighbourLoss.js';
import { createOutcomeCache } from './outcomeCache.js';
import { findOverdueTasks } from './overdueTasks.js';
import { createPlacer, type PlannedJob } from './placer.js';
import { createLateStarts } from './lateStarts.js';
import { createPassSchedule, PassCauses, type PassCause } from './passSchedule.js';
import type { PlannedStart } from './placeTasks.js';
import { describeRelocations } from './quieterEndpoint.js';
import { expectedEndInMs, isRefused, retryAfterMs } from './refusal.js';
import { createRunLengths } from './runLengths.js';
import { createRunTimes } from './runTimes.js';
import { createDuplicateRunDetector } from './duplicateRunDetector.js';
import { createStallDetector } from './stallDetector.js';
import { createEndpointReportLog } from './endpointReportLog.js';
import { createTokenChanges } from './tokenChanges.js';

/** Interval of the periodic check of waiting jobs, deadlines and gateway leases. */
const REVIEW_INTERVAL_MS = 20;
/**
 * Tasks of all open jobs. Callers may send many jobs of 10,000 tasks, each of which takes memory and
 * time here. 900 jobs of 5 tasks a second that are open for 1.5 s have 7,000. A single job is always
 * accepted.
 */
const MAX_OPEN_TASKS = 40_000;
const MOVED_REASON = 'another instance dispatches';
/** Gateways hand their jobs over to a new dispatcher within this time. */
const HANDOVER_MS = 1_000;
/**
 * Run numbers of a submission start above a multiple of this, so that its runs are newer than those
 * of earlier submissions.
 */
const RUN_NUMBERS_PER_SUBMISSION = 100;

export interface Submission {
  readonly job: LeasedJob;
  readonly gateway: string;
  /** Incarnation of the gateway's process; undefined for that of this instance. */
  readonly incarnation?: string | undefined;
  /**
   * What the gateway knew when it sent the job; undefined for the gateway of this instance, and for one
   * of an earlier version.
   */
  readonly sender?: GatewayState | undefined;
  /** How often the gateway has submitted the job to a dispatcher before. */
  readonly resubmissions: number;
  /** Endpoints on which an earlier dispatcher left runs of the job. */
  readonly heldOn?: readonly string[] | undefined;
  /**
   * Time since another dispatcher, which was lost without handing the job over, last may have started
   * tasks of it.
   */
  readonly lostHandoverAgoMs?: number | undefined;
  /** Version of the departing endpoints that the gateway knows; see `DispatcherOptions`. */
  readonly departuresVersion?: number | undefined;
  /** Whether the gateway knows that the job was cancelled. */
  readonly isCancelled?: boolean | undefined;
}

export interface Dispatcher {
  /** Resolves when the job has ended. */
  submit(submission: Submission): Promise<JobOutcome>;
  /**
   * Ends a job at the request of its caller. If a gateway is given, only a job of that gateway
   * ends. Otherwise the job is cancelled, and does not run either if it arrives again.
   */
  withdraw(job: string, gateway?: string): Withdrawal;
  /** Returns the cancelled jobs that may be submitted again, for the next dispatcher. */
  cancelledJobs(): string[];
  /** Returns the first of the jobs that were cancelled after a position, for the gateways. */
  cancellationsAfter(position: number): RecordedJobs;
  /**
   * Shortens the deadlines of a gateway's open jobs to `remainingMs`, because the gateway can give
   * no answer after that.
   */
  limitJobs(gateway: string, remainingMs: number): void;
  /** Whether a job is open, has recently ended, or may have orphaned runs. */
  isKnown(job: string): boolean;
  /**
   * Handles a heartbeat of a gateway: renews the lease that allows its jobs to run, and confirms them
   * after a change of the fencing token.
   */
  renewGatewayLease(gateway: string, message?: Omit<GatewayMessage, 'gateway'>): void;
  /** Replaces the list of endpoints. */
  setEndpoints(entries: readonly EndpointEntry[]): void;
  /** Returns the endpoints with possible runs that the next dispatcher may not know. */
  departures(): readonly DepartingEndpoint[];
  /** Takes the departing endpoints of an earlier dispatcher, and asks them for their runs. */
  inherit(departures: readonly DepartingEndpoint[]): void;
  /** Returns the number of jobs without a started task, by team. */
  waiting(): Record<string, number>;
  /** Returns the noisy neighbours in force for other dispatchers, and takes those of others. */
  exportPairs(): SharedPair[];
  importPairs(pairs: readonly SharedPair[]): void;
  /** Returns all jobs to their gateways and leaves their runs for the next dispatcher to claim. */
  close(): void;
}

export interface DispatcherOptions {
  readonly network: EndpointNetwork;
  readonly timer: TimerService;
  readonly clock: ElapsedClock;
  readonly random: Random;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly fence: () => number;
  /** Called when an endpoint rejects this dispatcher's fencing token in favour of a higher one. */
  readonly onFenced: (endpoint: string) => void;
  /** Name of this instance, for the log. */
  readonly instance?: string | undefined;
  /**
   * Whether the endpoint list is at least as recent as any earlier dispatcher's; true by default.
   */
  readonly isListCurrent?: () => boolean;
  /**
   * Returns the version of the departing endpoints that were inherited last, 0 if there are none. A job
   * whose gateway knows a newer version waits for that.
   */
  readonly departuresVersion?: () => number;
  /** Called with each periodic review. */
  readonly onReview?: () => void;
  /** Whether to learn which tasks slow each other down, and to keep them apart; off by default. */
  readonly isInterferenceEnabled?: boolean | undefined;
  /** Factor on the run time outside the rack that holds the data of a task; 1.5 by default. */
  readonly otherRackFactor?: number | undefined;
}

export function createDispatcher(options: DispatcherOptions): Dispatcher {
  const { timer, clock, logger, metrics } = options;
  const jobs = new Map<string, JobRecord>();
  const byTask = new Map<string, { record: JobRecord; task: TaskRecord }>();
  const outcomeCache = createOutcomeCache(timer);
  const cancelledJobs = createCancelledJobs(timer);
  const runTimes = createRunTimes();
  const runLengths = createRunLengths({
    logger,
    metrics,
    find: (key) => byTask.get(key)?.record,
  });
  const neighbourLoss =
    options.isInterferenceEnabled === true
      ? createNeighbourLoss({ clock, logger, metrics })
      : undefined;
  const gatewayLeases = createGatewayLeases(clock);
  const tokens = createTokenChanges({ fence: options.fence, clock, monotonicClock: timer });
  const jobSizes = createJobSizeClassifier();
  const duplicateRuns = createDuplicateRunDetector({
    clock,
    logger,
    metrics,
    find: (key) => byTask.get(key),
  });
  const orderWindow = createOrderWindow(timer);
  const openOrders = new Map<Run, (isAnswered: boolean) => void>();
  /** Whether the last pass held jobs back until more orders are answered. */
  let areJobsHeldByLink = false;
  /** Whether endpoints were left out of the last pass until their open starts are answered. */
  let wereStartsLimited = false;
  /** The long jobs that run, once a placement pass has looked for them. */
  let longJobsOfPass: readonly LongJob<JobRecord>[] | undefined;
  let hasEvacuatedEndpoints = false;
  /** Whether a job can start nowhere because of an evacuation, by the current list of endpoints. */
  let evacuatedJobs = new WeakMap<JobRecord, boolean>();
  const pool = createEndpointPool({
    network: options.network,
    timer,
    clock,
    fence: options.fence,
    eventsOf: (endpoint) => ({
      onEnd: handleEnd,
      onStartSettled(run, isAnswered) {
        openOrders.get(run)?.(isAnswered);
        openOrders.delete(run);
        if (areJobsHeldByLink || wereStartsLimited) schedulePass();
      },
      onFenced: () => {
        options.onFenced(endpoint);
      },
      onChange: schedulePass,
      onReport: () => {
        neighbourLoss?.reported(pool.find(endpoint));
        handleOverdueTasks(endpoint);
      },
      onLog: (sentence, details) => {
        logger.warn(sentence, details);
      },
      onInferredEnd: (run, proof, details) => {
        metrics.increment(`run-taken-as-over/${proof}`);
        const runContext = { job: run.task.job, task: run.key, run: run.number, endpoint };
        logger.warn('Run is considered terminated.', { ...runContext, proof, ...details });
      },
      onOrphanedRun: (listing) => {
        duplicateRuns.check(endpoint, listing);
        if (listing.run.isLate) claimLateRun(listing.run);
      },
      onPossibleRestart: (starts) => {
        lateStarts.suspect(endpoint, starts);
      },
    }),
    onRemoved: (endpoint) => {
      runTimes.forget(endpoint);
      runLengths.forget(endpoint);
      neighbourLoss?.forgetEndpoint(endpoint);
      health.forget(endpoint);
    },
  });
  const health = createEndpointHealth(() => pool.size());
  const arrivalRates = createArrivalRates();
  const placer = createPlacer({
    pool,
    times: runTimes,
    health,
    rates: arrivalRates,
    clock,
    hasTail: runLengths.hasTail,
    find: (run) => byTask.get(run.key),
    neighbourLoss,
    otherRackFactor: options.otherRackFactor,
  });
  const longJobYield = createLongJobYield<JobRecord>({
    longJobs,
    end(record) {
      metrics.increment('long-job-yields');
      finish(record, { state: JobStates.EXPIRED, reason: 'makes room for shorter jobs' });
    },
  });
  const lateStarts = createLateStarts({
    pool,
    clock: timer,
    logger,
    metrics,
    find: (key) => byTask.get(key),
    stop: stopTask,
  });
  const inherited = createInheritedEndpoints(pool, timer);
  const reconciliation = createReconciliation({
    pool,
    tokens,
    inherited,
    clock,
    monotonicClock: timer,
    logger,
    isListCurrent: options.isListCurrent ?? (() => true),
    departuresVersion: options.departuresVersion ?? (() => 0),
    onDone: completeIfDone,
    onLost: (record, reason) => {
      finish(record, { state: JobStates.LOST, reason });
    },
    onReconciled: schedulePass,
  });
  const confirmations = createConfirmations({ reconciliation, tokens, clock, logger, metrics });
  const createdMs = clock.nowMs();
  const reportLog = createEndpointReportLog({ pool, clock, logger });
  const stallDetector = createStallDetector(clock);
  const passes = createPassSchedule(runPass);
  let isClosed = false;
  const stopReviews = timer.onEvery(REVIEW_INTERVAL_MS, review);

  function submit(submission: Submission): Promise<JobOutcome> {
    if (isClosed)
      return Promise.resolve({ state: JobStates.MOVED, reason: 'no longer dispatching' });
    const { id } = submission.job;
    if (stallDetector.wasStalled() && !jobs.has(id)) {
      logger.warn('Job is returned to its gateway after a stall.', {
        job: id,
        gateway: submission.gateway,
      });
      const reason = 'it may have waited for long';
      return Promise.resolve({ state: JobStates.MOVED, reason, isUntouched: true });
    }
    const leaseAge = gatewayLeases.ageOf(submission.gateway);
    detectTokenChange();
    const isRecent = renewLease(submission);
    const cached = outcomeCache.find(id);
    if (cached !== undefined) return Promise.resolve(cached);
    if (submission.isCancelled === true) withdraw(id);
    if (cancelledJobs.has(id)) {
      // Its caller may go on submitting it, so the time for which it is remembered begins again.
      cancelledJobs.record(id);
      cancelledJobs.recordFound(id);
      logger.info('Cancelled job is not started.', { job: id, gateway: submission.gateway });
      return Promise.resolve(CANCELLED_OUTCOME);
    }
    const known = jobs.get(id);
    if (known === undefined) return admit(submission, isRecent, leaseAge);
    logResubmission(known, submission);
    if (known.outcome === undefined) return join(known, submission, isRecent);
    return readmit(known, submission);
  }

  /** Renews the lease of a gateway; returns false if the message is too old to prove contact. */
  function renewLease(message: GatewayMessage): boolean {
    return gatewayLeases.renew(message, { fence: tokens.fence(), sinceMs: tokens.sinceMs() });
  }

  /** Reconciles all open jobs again if the fencing token has changed. */
  function detectTokenChange(): void {
    const earlier = tokens.detect();
    if (earlier === undefined) return;
    const open = [...jobs.values()].filter(({ outcome }) => outcome === undefined);
    const change = { earlier, fence: tokens.fence(), nowMs: tokens.sinceMs() };
    logFenceChange(change, open, { ...options, instance: options.instance });
    reconciliation.restart(open);
    confirmations.addAll(open);
  }

  function logResubmission(record: JobRecord, { gateway, resubmissions }: Submission): void {
    logger.info('Job was submitted again.', {
      job: record.job.id,
      gateway,
      resubmissions,
      earlierGateway: record.gateway,
      earlierState: record.outcome?.state,
      runs: describeRuns(record),
    });
  }

  /** Joins a resubmission to the open job, so that the new caller gets the answer as well. */
  function join(record: JobRecord, submission: Submission, isRecent: boolean): Promise<JobOutcome> {
    const { gateway, resubmissions, heldOn = [], lostHandoverAgoMs } = submission;
    const wasElsewhere = heldOn.length > 0 || lostHandoverAgoMs !== undefined;
    // The same gateway submitted the job to this dispatcher before, unless the submission says
    // otherwise.
    const isOtherGateway = gateway !== record.gateway;
    const mayRunElsewhere =
      wasElsewhere ||
      (resubmissions > 0 && isOtherGateway) ||
      (resubmissions === 0 && !isOtherGateway && hasLostAnswers(record, submission.sender));
    if (confirmations.isProved(submission, isRecent)) confirmations.apply(record, submission);
    else confirmations.recordClaimant(record, submission);
    record.mayHaveRun ||= mayRunElsewhere;
    const earlier = record.answer;
    return new Promise((resolve) => {
      record.answer = (outcome) => {
        earlier(outcome);
        resolve(outcome);
      };
      if (!mayRunElsewhere) return;
      reconciliation.claim(record, { ...submission, resubmissions: Math.max(1, resubmissions) });
    });
  }

  /** Admits a resubmission of an ended job once the runs of that job have terminated. */
  async function readmit(record: JobRecord, submission: Submission): Promise<JobOutcome> {
    const sinceMs = clock.nowMs();
    let heldOn: string[] = [];
    while (jobs.get(record.job.id) === record) {
      heldOn = endpointsWithRuns(record);
      await timer.sleep(REVIEW_INTERVAL_MS);
      const waitedMs = clock.nowMs() - sinceMs;
      if (waitedMs > submission.job.remainingMs) {
        return { state: JobStates.EXPIRED, reason: 'earlier runs did not end in time' };
      }
    }
    if (isClosed) return { state: JobStates.MOVED, reason: MOVED_REASON, heldOn };
    const waitedMs = clock.nowMs() - sinceMs;
    const { job } = submission;
    return submit({
      ...submission,
      resubmissions: submission.resubmissions + 1,
      job: { ...job, ageMs: job.ageMs + waitedMs, remainingMs: job.remainingMs - waitedMs },
    });
  }

  function admit(
    submission: Submission,
    isRecent: boolean,
    lease: LeaseAge | undefined,
  ): Promise<JobOutcome> {
    const { job, gateway, resubmissions } = submission;
    const tasks = job.steps.reduce((sum, step) => sum + step.tasks, 0);
    if (byTask.size > 0 && byTask.size + tasks > MAX_OPEN_TASKS)
      return Promise.resolve(refuseUntracked(submission, tasks));
    return new Promise((resolve) => {
      const arrivedMs = clock.nowMs();
      const criticalPathMs = placer.criticalPathMs(job);
      const firstRun = resubmissions * RUN_NUMBERS_PER_SUBMISSION + 1;
      const mayHaveRun = resubmissions > 0;
      const work = placer.totalWork(job);
      const size = jobSizes.classify(job.team, work);
      const fence = tokens.fence();
      const admission = { resubmissions, fence, lease };
      const estimates = { criticalPathMs, work, size };
      const recordOptions = { arrivedMs, firstRun, fence, mayHaveRun, admission, ...estimates };
      const record = createJobRecord(job, gateway, recordOptions, resolve);
      record.incarnation = submission.incarnation;
      jobs.set(job.id, record);
      for (const task of record.tasks) byTask.set(task.key, { record, task });
      arrivalRates.record(job.priority, placer.workLeft(record), arrivedMs - job.ageMs, arrivedMs);
      reconciliation.claim(record, submission);
      if (record.outcome !== undefined) return;
      record.unanswered = submission.sender?.unanswered;
      if (!confirmations.isProved(submission, isRecent)) confirmations.await(record, submission);
      if (!placer.isRunnable(record)) {
        finish(record, { state: stateOfUnserved(record), reason: 'no endpoint can run it' });
        return;
      }
      schedulePass();
    });
  }

  /** Refuses a job before anything is kept of it. */
  function refuseUntracked({ job, resubmissions }: Submission, tasks: number): JobOutcome {
    metrics.increment(`refused/${job.team}`);
    metrics.increment('refused-by-open-tasks');
    logger.warn('Job is refused because too many tasks are open.', {
      job: job.id,
      tasks,
      openTasks: byTask.size,
    });
    return {
      state: resubmissions > 0 ? JobStates.LOST : JobStates.REFUSED,
      reason: 'too many open tasks',
      retryAfterMs: retryAfterMs(0, options.random),
    };
  }

  /** Has one placement pass run for all events of this turn of the event loop. */
  function schedulePass(): void {
    passes.request(PassCauses.CHANGE);
  }

  /** Runs a placement pass. Unless it is a review, it is cheap while there is no free capacity. */
  function runPass(cause: PassCause): void {
    const nowMs = clock.nowMs();
    detectTokenChange();
    if (nowMs - tokens.sinceMs() < RECONCILIATION_TIMEOUT_MS)
      reconciliation.reconcile(jobs.values(), nowMs);
    const waiting = [...jobs.values()].filter((record) => mayStartTasks(record, nowMs));
    if (waiting.length === 0) return;
    if (cause === PassCauses.REVIEW || placer.hasFreeCapacity(waiting, nowMs))
      executePlan(waiting, nowMs);
  }

  /** Starts the planned tasks, and refuses jobs that can no longer end before their deadline. */
  function executePlan(waiting: readonly JobRecord[], nowMs: number): void {
    metrics.increment('placement-passes');
    longJobsOfPass = undefined;
    let plannedBytes = 0;
    const linkWaitsMs = new Map<JobRecord, number>();
    // A job is as late as its last task. It begins only if all its orders can be sent at once, and
    // later orders of a job that has begun are never held back.
    const mayStart = (record: JobRecord): boolean => {
      if (record.hasStarted) return true;
      if (isEvacuated(record)) return false;
      const isFirst = plannedBytes === 0;
      plannedBytes += record.waiting * orderBytes(record.job.payload);
      if (orderWindow.hasRoom(plannedBytes) || (isFirst && orderWindow.isEmpty())) return true;
      linkWaitsMs.set(record, orderWindow.drainMs(plannedBytes));
      return false;
    };
    for (const planned of placer.plan(waiting, nowMs, mayStart)) {
      // A long job may have ended in this pass, to make room for a job before it in the queue.
      if (planned.record.outcome !== undefined) continue;
      const linkWaitMs = linkWaitsMs.get(planned.record);
      const starts = planned.starts.filter((start) => startTask(planned.record, start));
      if (starts.length > 0) logPlacement({ ...planned, starts }, nowMs);
      const waitMs = Math.max(planned.waitMs, linkWaitMs ?? 0);
      refuseIfLate({ ...planned, waitMs }, linkWaitMs !== undefined);
    }
    areJobsHeldByLink = linkWaitsMs.size > 0;
    wereStartsLimited = [...pool.controllers()].some(placer.isStartLimited);
  }

  function isEvacuated(record: JobRecord): boolean {
    if (!hasEvacuatedEndpoints) return false;
    const known = evacuatedJobs.get(record) ?? placer.isEvacuated(record);
    evacuatedJobs.set(record, known);
    return known;
  }

  /** Refuses a job without a started task if it is expected to end too late, or cannot run. */
  function refuseIfLate(planned: PlannedJob, isHeldByLink: boolean): void {
    const { record, waitMs, runMs, makespanMs, workAhead } = planned;
    const nowMs = clock.nowMs();
    if (record.waiting > 0)
      record.lastEstimate = { atMs: nowMs, waitMs, runMs, makespanMs, workAhead };
    if (record.hasStarted || record.outcome !== undefined) return;
    if (isEvacuated(record)) {
      refuseEvacuated(record);
      return;
    }
    const hasFreeCapacity =
      (planned.hasFreeCapacity && !isHeldByLink) ||
      nowMs - tokens.sinceMs() < RECONCILIATION_TIMEOUT_MS;
    const { deadlineMs, arrivedMs, maxWaitMs } = record;
    const job = {
      nowMs,
      deadlineMs,
      arrivedMs,
      maxWaitMs,
      waitMs,
      runMs,
      makespanMs,
      hasFreeCapacity,
    };
    if (!isRefused(job)) return;
    const refused = refusedWorkOf(record, placer.workLeft(record));
    if (!longJobYield.makesRoomFor(record, refused, nowMs)) refuse(planned);
  }

  /** Returns the long jobs that run; finds them once for each placement pass. */
  function longJobs(): readonly LongJob<JobRecord>[] {
    longJobsOfPass ??= findLongJobs(jobs.values(), clock.nowMs(), {
      isLong: runLengths.isLong,
      expectedEndInMs: placer.expectedEndInMs,
    });
    return longJobsOfPass.filter(({ job }) => job.outcome === undefined);
  }

  function logPlacement({ record, starts, waitMs }: PlannedJob, nowMs: number): void {
    const fence = options.fence();
    // Another dispatcher may have started tasks between the starts under two tokens.
    const isFirstOfFence = record.startFence !== fence;
    record.startFence = fence;
    logger.info('Tasks are placed.', {
      job: record.job.id,
      places: starts
        .map(
          ({ task, controller }) =>
            `${task.ref.step}/${task.ref.index}@${controller.id}${runSuffix(task)}`,
        )
        .join(' '),
      left: record.waiting,
      apart: describeRelocations(starts),
      waitedMs: Math.round(nowMs - record.arrivedMs),
      expectedWaitMs: Math.round(waitMs),
      ...(isFirstOfFence ? firstStartContext(record, fence, nowMs) : {}),
    });
  }

  function firstStartContext(record: JobRecord, fence: number, nowMs: number): LogContext {
    const lease = gatewayLeases.ageOf(record.gateway);
    return describeFirstStart(record, { fence, lease, dispatcherAgeMs: nowMs - createdMs });
  }

  function mayStartTasks(record: JobRecord, nowMs: number): boolean {
    return isWaiting(record, nowMs) && !lateStarts.isHeld(record);
  }

  function isWaiting(record: JobRecord, nowMs: number): boolean {
    return (
      record.outcome === undefined &&
      record.waiting > 0 &&
      record.reconcileUntilMs === undefined &&
      record.fence === options.fence() &&
      nowMs < record.deadlineMs &&
      isLeased(record)
    );
  }

  function refuse({ record, waitMs, runMs, makespanMs }: PlannedJob): void {
    metrics.increment(`refused/${record.job.team}`);
    const endInMs = expectedEndInMs({ waitMs, runMs, makespanMs });
    finish(record, {
      state: stateOfUnserved(record),
      reason: `would wait ${Math.round(waitMs)} ms and end in ${Math.round(endInMs)} ms`,
      retryAfterMs: retryAfterMs(waitMs, options.random),
    });
  }

  function refuseEvacuated(record: JobRecord): void {
    metrics.increment(`refused/${record.job.team}`);
    metrics.increment('refused-by-evacuation');
    finish(record, {
      state: stateOfUnserved(record),
      reason: 'the data centres of all its endpoints are evacuated',
      retryAfterMs: retryAfterMs(0, options.random),
    });
  }

  /**
   * Returns the state of a job that is not served. It is refused only if no task of it can have run;
   * otherwise it is lost, because it is not known here how its runs ended.
   */
  function stateOfUnserved(record: JobRecord): JobState {
    return record.mayHaveRun || record.hasStarted ? JobStates.LOST : JobStates.REFUSED;
  }

  /**
   * Starts a task, or claims its orphaned run if an endpoint reports one. Returns whether it
   * started.
   */
  function startTask(record: JobRecord, { task, controller, relocation }: PlannedStart): boolean {
    const demand = record.job.steps[task.ref.step]?.demand;
    if (demand === undefined || record.fence !== options.fence()) return false;
    if (reconciliation.claimTask(record, task)) {
      const { key, endpoint, run, isDone } = task;
      const claimContext = { job: record.job.id, task: key, endpoint, run: run?.number, isDone };
      logger.info('Orphaned run is claimed instead of a new start.', claimContext);
      return false;
    }
    const number = task.nextRun;
    task.nextRun += 1;
    record.waiting -= 1;
    record.hasStarted = true;
    record.lastStartMs = clock.nowMs();
    record.firstStartMs ??= record.lastStartMs;
    task.endpoint = controller.id;
    const { payload } = record.job;
    const settleOrder = orderWindow.open(payload);
    task.run = controller.start({ task: task.ref, number, demand, payload });
    openOrders.set(task.run, settleOrder);
    neighbourLoss?.started(record, task, task.run, placer.expectedMs(record, task));
    if (relocation !== undefined) metrics.increment('interference.placements-changed');
    metrics.increment('starts');
    return true;
  }

  /**
   * Claims a run that started although it counted as ended, if its task has no other run. Otherwise
   * the controller of the endpoint stops it.
   */
  function claimLateRun({ task: ref, run: number, stopSentMs }: Readonly<OrphanedRun>): void {
    const found = byTask.get(taskKey(ref));
    const mayClaim = found !== undefined && isWaiting(found.record, clock.nowMs());
    if (!mayClaim || !reconciliation.claimTask(found.record, found.task)) {
      if (stopSentMs === undefined) metrics.increment('late-start/stopped');
      return;
    }
    metrics.increment('late-start/claimed');
    const { key, endpoint } = found.task;
    logger.info('Late start is claimed.', { job: ref.job, task: key, endpoint, run: number });
  }

  function handleEnd(run: Run, end: RunEnd, answer: OrderAnswer | undefined): void {
    const found = byTask.get(run.key);
    if (found?.task.run !== run) return;
    const { record, task } = found;
    task.run = undefined;
    neighbourLoss?.ended(task.endpoint ?? '', run, end === RunEnds.DONE);
    if (record.outcome !== undefined) logEndAfterAnswer(record, task, run, end);
    if (end === RunEnds.DONE) handleDone(record, task, run);
    else handleUnsuccessfulEnd(record, task, run, end, answer);
    removeIfFinished(record);
    schedulePass();
  }

  /**
   * Logs the end of a run whose job was answered before. The same id may have been resubmitted
   * meanwhile, and the log has to show when its earlier run ended.
   */
  function logEndAfterAnswer(record: JobRecord, task: TaskRecord, run: Run, end: RunEnd): void {
    logger.info('Run ended after its job was answered.', {
      job: record.job.id,
      task: task.key,
      run: run.number,
      endpoint: task.endpoint,
      end,
      sentAgoMs: Math.round(clock.nowMs() - run.sentMs),
    });
  }

  function handleDone(record: JobRecord, task: TaskRecord, run: Run): void {
    const endpoint = task.endpoint ?? '';
    health.recordSuccess(endpoint);
    const { estimateMs } = record.job.steps[task.ref.step] ?? { estimateMs: 1 };
    const nowMs = clock.nowMs();
    const ranMs = nowMs - run.sentMs;
    const expectedMs = placer.expectedMs(record, task);
    recordLength(record, task, ranMs, expectedMs);
    const { team } = record.job;
    const cause = runLengths.observeEnd({ run, record, task, expectedMs, totalMs: ranMs }, nowMs);
    const longChance = cause?.longChance;
    runTimes.learn({ team, estimateMs, endpoint, ranMs, longChance }, nowMs);
    task.isDone = true;
    completeIfDone(record);
  }

  function handleUnsuccessfulEnd(
    record: JobRecord,
    task: TaskRecord,
    run: Run,
    end: RunEnd,
    answer: OrderAnswer | undefined,
  ): void {
    record.waiting += 1;
    if (record.outcome === undefined) {
      const { endpoint } = task;
      logger.warn('Run ended without success.', {
        job: record.job.id,
        task: task.key,
        run: run.number,
        endpoint,
        end,
        answer,
        sentAgoMs: Math.round(clock.nowMs() - run.sentMs),
      });
    }
    if (end === RunEnds.FAILED) recordFailure(record, task);
    if (answer === OrderAnswers.OUTDATED) task.nextRun += RUN_NUMBERS_PER_SUBMISSION;
    if (answer === OrderAnswers.UNHEALTHY) recordPenalty(task, 1);
    if (record.outcome !== undefined) return;
    if (task.failures >= record.job.maxAttempts) {
      finish(record, { state: JobStates.FAILED, reason: `a task failed ${task.failures} times` });
    }
  }

  function recordFailure(record: JobRecord, task: TaskRecord): void {
    const hasFailedElsewhere = record.tasks.some(
      (other) => other.failures > 0 && other.endpoint !== task.endpoint,
    );
    recordPenalty(task, hasFailedElsewhere || task.failures > 0 ? 0.3 : 1);
    task.failures += 1;
    if (task.endpoint !== undefined) task.avoided.add(task.endpoint);
  }

  function recordPenalty(task: TaskRecord, weight: number): void {
    if (task.endpoint === undefined) return;
    if (!health.recordFailure(task.endpoint, weight, clock.nowMs())) return;
    logger.warn('Endpoint is ejected.', { endpoint: task.endpoint, task: task.key });
  }

  function completeIfDone(record: JobRecord): void {
    if (record.outcome === undefined && record.tasks.every((task) => task.isDone)) {
      finish(record, { state: JobStates.COMPLETED, reason: 'all tasks are done' });
    }
  }

  /** Sets the outcome of a job, answers its caller and stops its remaining runs. */
  function finish(record: JobRecord, outcome: JobOutcome): void {
    if (record.outcome !== undefined) return;
    record.outcome = outcome;
    confirmations.remove(record);
    record.answer(outcome);
    const nowMs = clock.nowMs();
    const { id, team } = record.job;
    logger.info('Job has ended.', describeEnd(record, outcome, nowMs));
    if (outcome.state !== JobStates.COMPLETED) {
      const free = placer.freeCapacity(record);
      logger.info('Job was not served.', describeUnserved(record, free, nowMs));
    }
    metrics.increment(`outcome/${outcome.state}`);
    metrics.increment(`outcome-by-size/${team}/${record.size}/${outcomeName(record, outcome)}`);
    if (outcome.state === JobStates.COMPLETED && nowMs > record.objectiveMs)
      metrics.increment(`late/${team}`);
    metrics.time('job', team, nowMs - record.arrivedMs);
    runLengths.recordJob(record);
    outcomeCache.keep(id, outcome);
    for (const task of record.tasks) stopTask(task);
    removeIfFinished(record);
  }

  function stopTask(task: TaskRecord): void {
    if (task.run === undefined || task.endpoint === undefined) return;
    pool.find(task.endpoint)?.stop(task.run);
  }

  function removeIfFinished(record: JobRecord): void {
    if (record.outcome === undefined || record.tasks.some((task) => task.run !== undefined)) return;
    jobs.delete(record.job.id);
    for (const task of record.tasks) byTask.delete(task.key);
  }

  function handleOverdueTasks(endpoint: string): void {
    const overdue = findOverdueTasks(pool.find(endpoint), clock.nowMs(), {
      placer,
      runLengths,
      logger,
      metrics,
      find(run) {
        const found = byTask.get(run.key);
        const isOpen = found?.task.run === run && found.record.outcome === undefined;
        return isOpen ? found : undefined;
      },
    });
    for (const { record, task, isStalled, cannotMeetDeadline } of overdue) {
      if (cannotMeetDeadline) {
        finish(record, { state: JobStates.EXPIRED, reason: "cannot end in the caller's time" });
        continue;
      }
      task.restarts += 1;
      task.avoided.add(endpoint);
      if (isStalled) recordPenalty(task, 1);
      stopTask(task);
    }
  }

  /** Handles what no event announces: deadlines, expired leases, reconciliation, waiting jobs. */
  function review(): void {
    const nowMs = clock.nowMs();
    stallDetector.tick();
    detectTokenChange();
    pool.removeDrained();
    reportLog.logReports();
    reconciliation.reconcile(jobs.values(), nowMs);
    for (const record of [...jobs.values()]) {
      if (record.outcome !== undefined) continue;
      if (nowMs >= record.deadlineMs) {
        finish(record, expiredOutcome(record));
      } else if (!isLeased(record) && !mayBeConfirmed(record, nowMs)) {
        finish(record, { state: JobStates.LOST, reason: 'its gateway is silent' });
      }
    }
    passes.request(PassCauses.REVIEW);
    options.onReview?.();
  }

  function isLeased({ gateway, leasedSinceMs }: JobRecord): boolean {
    return leasedSinceMs !== undefined && gatewayLeases.isValidSince(gateway, leasedSinceMs);
  }

  /** Whether a job without the lease of its gateway waits for a confirmation. */
  function mayBeConfirmed({ leasedSinceMs, claimant }: JobRecord, nowMs: number): boolean {
    if (leasedSinceMs === undefined) return true;
    return claimant !== undefined && nowMs < claimant.untilMs;
  }

  function expiredOutcome(record: JobRecord): JobOutcome {
    const reason = "the caller's time is over";
    if (record.hasStarted) return { state: JobStates.EXPIRED, reason };
    const waitMs = record.lastEstimate?.waitMs ?? 0;
    return {
      state: stateOfUnserved(record),
      reason,
      retryAfterMs: retryAfterMs(waitMs, options.random),
    };
  }

  function limitJobs(gateway: string, remainingMs: number): void {
    const deadlineMs = clock.nowMs() + remainingMs;
    const limited = [...jobs.values()].filter(
      (record) =>
        record.gateway === gateway &&
        record.outcome === undefined &&
        record.deadlineMs > deadlineMs,
    );
    for (const record of limited) record.deadlineMs = deadlineMs;
    logger.info('Gateway ends.', { gateway, remainingMs, limitedJobs: limited.length });
    schedulePass();
  }

  function withdraw(id: string, gateway?: string): Withdrawal {
    const isCancellation = gateway === undefined;
    if (isCancellation) cancelledJobs.record(id);
    // A dispatcher that stood still may have been replaced, and a new one does not know all jobs.
    const mayBeReplaced = isClosed || stallDetector.wasStalled();
    const isNew = clock.nowMs() - createdMs < HANDOVER_MS;
    const record = jobs.get(id);
    if (record === undefined || record.outcome !== undefined) {
      const found = isCancellation && cancelledJobs.wasFound(id);
      return { found, isUncertain: mayBeReplaced || (isNew && !found) };
    }
    if (!isCancellation && record.gateway !== gateway) return { found: false };
    if (isCancellation) cancelledJobs.recordFound(id);
    const withdrawn = { state: JobStates.EXPIRED, reason: 'withdrawn by its caller' };
    finish(record, isCancellation ? CANCELLED_OUTCOME : withdrawn);
    return { found: true, isUncertain: mayBeReplaced };
  }

  function waiting(): Record<string, number> {
    // A map, because a team may have the name of an inherited property.
    const counts = new Map<string, number>();
    for (const { job, hasStarted, outcome } of jobs.values()) {
      if (!hasStarted && outcome === undefined)
        counts.set(job.team, (counts.get(job.team) ?? 0) + 1);
    }
    return Object.fromEntries(counts);
  }

  function close(): void {
    isClosed = true;
    passes.close();
    stopReviews();
    pool.close();
    neighbourLoss?.close();
    for (const record of jobs.values()) {
      if (record.outcome !== undefined) continue;
      const heldOn = endpointsWithRuns(record);
      record.outcome = { state: JobStates.MOVED, reason: MOVED_REASON, heldOn };
      record.answer(record.outcome);
    }
    jobs.clear();
  }

  return {
    submit,
    withdraw,
    cancelledJobs: cancelledJobs.all,
    cancellationsAfter: cancelledJobs.recordedAfter,
    limitJobs,
    isKnown: (id) =>
      isClosed ||
      jobs.has(id) ||
      outcomeCache.find(id) !== undefined ||
      reconciliation.mayHaveRuns(id),
    renewGatewayLease(gateway, message = {}) {
      detectTokenChange();
      if (renewLease({ gateway, ...message })) confirmations.confirm({ gateway, ...message });
    },
    setEndpoints(entries) {
      reportLog.logListChange(entries);
      tokens.recordListed(entries.map(({ id }) => id));
      pool.setEntries(entries);
      hasEvacuatedEndpoints = entries.some((entry) => entry.isEvacuated === true);
      evacuatedJobs = new WeakMap();
      schedulePass();
    },
    departures: () => findDepartures(pool, inherited),
    inherit(departures) {
      inherited.take(departures);
      metrics.increment('departures/inherited', departures.length);
      logger.info('Departing endpoints are inherited.', describeDepartures(departures));
    },
    waiting,
    exportPairs: () => neighbourLoss?.exportPairs() ?? [],
    importPairs: (pairs) => neighbourLoss?.importPairs(pairs),
    close,
  };
}
