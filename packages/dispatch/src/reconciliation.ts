/**
 * Reconciliation: asks every endpoint which runs it has, and claims the orphaned runs of a job. An
 * orphaned run is one that an earlier dispatcher started.
 *
 * Fault pattern: the dispatcher was lost or replaced while jobs ran, and their gateways resubmit
 * them to the next one.
 *
 * - A resubmitted job starts nothing new until every endpoint has reported its runs in answer to a
 *   request made after the job arrived. If that takes too long the job is lost, because a new run
 *   could overlap an orphaned one.
 * - A job that may have runs on an endpoint that has left the list waits for the report of that
 *   endpoint as well. If there is none, the job waits until the leases there have expired, or is lost
 *   if its caller does not wait for that long. Other jobs do not wait for such an endpoint.
 * - A job is also lost if another dispatcher had it after this one was created, and was then lost
 *   itself. That dispatcher was disconnected together with its data centre, and may have used
 *   endpoints that have since left the list here.
 * - Any other job may have been submitted before at another instance. It waits for the first
 *   reports of all endpoints, for at most the same time, and then starts. If the earlier dispatcher
 *   named it among those with runs on such an endpoint, it counts as resubmitted.
 * - When the fencing token of this dispatcher changes, another dispatcher may have had the open jobs
 *   in the meantime. They are reconciled again, and start nothing before their gateway has confirmed
 *   under the new token that it has handed none of them over. A job that is not confirmed in time is
 *   lost here: its gateway has it elsewhere, or submits it again.
 */
import { RunEnds, taskKey } from '@celerybarrow/endpoints';
import type { Logger } from '@celerybarrow/telemetry';
import type { ElapsedClock, MonotonicClock } from '@celerybarrow/timer';
import type { EndpointPool } from './endpointPool.js';
import { ORPHANED_RUN_LIFETIME_MS, type InheritedEndpoints } from './inheritedEndpoints.js';
import { describeRuns, type JobRecord, type TaskRecord } from './jobRecord.js';
import type { TokenChanges } from './tokenChanges.js';

/**
 * Maximum time for the endpoints to report their runs. A resubmitted job is lost after this time. A
 * new dispatcher refuses no job for lack of capacity before it has passed.
 */
export const RECONCILIATION_TIMEOUT_MS = 300;
/** Gateways learn of a new token, and confirm their jobs, within this time. */
export const CONFIRMATION_TIMEOUT_MS = 1_000;
/** Time in which the expiry of the leases is noticed. */
const EXPIRY_MARGIN_MS = 50;

/** Maximum number of endpoints named in a log line. */
const MAX_NAMED_ENDPOINTS = 5;

/** What the gateway reports about the dispatchers that had the job before; see `Submission`. */
export interface Handover {
  readonly resubmissions: number;
  readonly heldOn?: readonly string[] | undefined;
  readonly lostHandoverAgoMs?: number | undefined;
  readonly departuresVersion?: number | undefined;
}

export interface Reconciliation {
  /** Claims the orphaned runs of a job that was just submitted, for the first time or again. */
  claim(record: JobRecord, handover: Handover): void;
  /**
   * Reconciles jobs again under the present token, and waits for their gateways to confirm them if the
   * gateways can.
   */
  restart(records: readonly JobRecord[]): void;
  /** Lets a job wait until its gateway confirms that it has not handed the job over elsewhere. */
  awaitConfirmation(record: JobRecord): void;
  /** Records that the gateway of a job has confirmed it, or submitted it again, under the present token. */
  confirm(record: JobRecord): void;
  /** Claims the orphaned run of a task, if an endpoint reports one; returns whether it did. */
  claimTask(record: JobRecord, task: TaskRecord): boolean;
  /** Whether an endpoint reports an unclaimed run of a job, or may still report one. */
  mayHaveRuns(job: string): boolean;
  /**
   * Lets jobs start once all endpoints have reported. After the timeout, a resubmitted job with
   * unstarted tasks is lost, and any other job may start.
   */
  reconcile(records: Iterable<JobRecord>, nowMs: number): void;
}

export interface ReconciliationOptions {
  readonly pool: EndpointPool;
  readonly tokens: TokenChanges;
  readonly inherited: InheritedEndpoints;
  readonly clock: ElapsedClock;
  /** Clock for the expiry of orphaned runs, and for the request times of reports. */
  readonly monotonicClock: MonotonicClock;
  readonly logger: Logger;
  /** Whether the pool includes every endpoint that an earlier dispatcher may have used. */
  readonly isListCurrent: () => boolean;
  /** Returns the version of the departing endpoints that were received from an earlier dispatcher. */
  readonly departuresVersion: () => number;
  /** Called when a claimed run turns out to have completed. */
  readonly onDone: (record: JobRecord) => void;
  readonly onLost: (record: JobRecord, reason: string) => void;
  /** Called when the remaining tasks of a job may start. */
  readonly onReconciled: () => void;
}

export function createReconciliation(options: ReconciliationOptions): Reconciliation {
  const { pool, tokens, inherited, clock, monotonicClock, logger } = options;
  const createdMs = monotonicClock.nowMs();
  /** Whether the endpoints of a set have reported, found once for the jobs that share it in a pass. */
  const reportedOfPass = new Map<
    ReadonlySet<string>,
    { readonly fromMs: number; readonly haveReported: boolean }
  >();

  function ageMs(): number {
    return monotonicClock.nowMs() - createdMs;
  }

  /** Time since this dispatcher has had the present token. */
  function tokenAgeMs(): number {
    return monotonicClock.nowMs() - tokens.sinceMonotonicMs();
  }

  function restart(records: readonly JobRecord[]): void {
    if (records.length === 0) return;
    const nowMs = clock.nowMs();
    // Jobs share their sets, which are large and looked through in each pass.
    const sets = new Map<ReadonlySet<string> | undefined, Set<string>>();
    const reconcileFromMs = monotonicClock.nowMs();
    for (const record of records) {
      // Another dispatcher may have used endpoints that have left the list here since the job arrived.
      for (const id of tokens.departedSince(record.arrivedMs))
        if (pool.find(id) === undefined) inherited.takeUnknown(id, record.job.id);
      record.fence = tokens.fence();
      record.reconcileFromMs = reconcileFromMs;
      const unreported = record.reconcileUntilMs === undefined ? undefined : record.surveyed;
      const surveyed = sets.get(unreported) ?? new Set(unreported);
      sets.set(unreported, surveyed);
      record.surveyed = surveyed;
      record.reconcileUntilMs = record.waiting > 0 ? nowMs + RECONCILIATION_TIMEOUT_MS : Infinity;
      // The gateway of this process hands over no job that is open here. One of an earlier version may
      // have done so, and cannot tell.
      if (record.unanswered !== undefined)
        record.confirmUntilMs ??= nowMs + CONFIRMATION_TIMEOUT_MS;
      else if (record.incarnation !== undefined) record.mayHaveRun = true;
    }
    refreshAll();
  }

  function awaitConfirmation(record: JobRecord): void {
    const nowMs = clock.nowMs();
    record.confirmUntilMs = nowMs + CONFIRMATION_TIMEOUT_MS;
    record.reconcileUntilMs ??= nowMs;
  }

  function confirm(record: JobRecord): void {
    record.confirmUntilMs = undefined;
  }

  function claim(record: JobRecord, handover: Handover): void {
    const { heldOn = [], lostHandoverAgoMs } = handover;
    const { id } = record.job;
    const isResubmitted = handover.resubmissions > 0 || inherited.isNamed(id);
    const nowMs = clock.nowMs();
    record.departuresVersion = handover.departuresVersion;
    const unknown = heldOn.filter((endpoint) => pool.find(endpoint) === undefined);
    for (const endpoint of unknown) inherited.takeUnknown(endpoint, id);
    if (unknown.length > 0 && !canAwait(record, unknown, nowMs)) {
      options.onLost(record, 'an endpoint with its runs is not listed');
      return;
    }
    if (!isResubmitted && tokenAgeMs() > ORPHANED_RUN_LIFETIME_MS) return;
    for (const task of record.tasks) claimTask(record, task);
    if (!isResubmitted) {
      logUnmarkedJob(record);
      const leftMs = RECONCILIATION_TIMEOUT_MS - tokenAgeMs();
      if (leftMs > 0 && !haveAllReported(record)) record.reconcileUntilMs = nowMs + leftMs;
      return;
    }
    record.wasApart ||= lostHandoverAgoMs !== undefined && lostHandoverAgoMs < ageMs();
    awaitReports(record, nowMs);
  }

  /** Holds the missing tasks of a job back until the endpoints have reported their runs. */
  function awaitReports(record: JobRecord, nowMs: number): void {
    record.mayHaveRun = true;
    record.reconcileFromMs = monotonicClock.nowMs();
    record.surveyed ??= new Set();
    surveyListed(record.surveyed);
    // While all tasks of the job have runs, there is no timeout for the reports.
    record.reconcileUntilMs = Infinity;
    if (record.waiting > 0) requestReports(record, nowMs);
  }

  function requestReports(record: JobRecord, nowMs: number): void {
    record.reconcileUntilMs = nowMs + RECONCILIATION_TIMEOUT_MS;
    refreshAll();
  }

  function refreshAll(): void {
    for (const controller of pool.controllers()) controller.refresh();
  }

  /** Adds the endpoints of the list, and those that have left it here. */
  function surveyListed(surveyed: Set<string>): void {
    for (const { id } of pool.controllers()) if (!inherited.isBesideList(id)) surveyed.add(id);
  }

  /** Whether the leases on the given endpoints expire early enough for the job to run after that. */
  function canAwait(record: JobRecord, endpoints: readonly string[], nowMs: number): boolean {
    const waitMs = inherited.expiryMs(endpoints) - monotonicClock.nowMs();
    return nowMs + waitMs + record.criticalPathMs <= record.deadlineMs;
  }

  /** Logs a job that is not marked as resubmitted but may have runs that are not reported yet. */
  function logUnmarkedJob(record: JobRecord): void {
    const unreported = [...pool.controllers()].filter(
      (controller) => controller.lastReportMs() === undefined,
    ).length;
    if (unreported === 0 && record.waiting === record.tasks.length) return;
    logger.info('Job was submitted during reconciliation.', {
      job: record.job.id,
      dispatcherAgeMs: Math.round(ageMs()),
      listed: pool.size(),
      unreported,
      claimed: describeRuns(record),
      missing: record.waiting,
    });
  }

  function logReconciliation(record: JobRecord, nowMs: number): void {
    const missing = record.tasks.filter((task) => !task.isDone && task.run === undefined);
    const unclaimed = [...pool.controllers()].flatMap((controller) =>
      [...controller.orphanedRuns()]
        .filter((listing) => listing.task.job === record.job.id)
        .map((listing) => {
          const { stopSentMs } = listing;
          const stop =
            stopSentMs === undefined ? '' : ` stop sent ${Math.round(nowMs - stopSentMs)} ms ago`;
          return `${taskKey(listing.task)}#${listing.run}@${controller.id}${stop}`;
        }),
    );
    logger.info('Orphaned runs were reconciled.', {
      job: record.job.id,
      found: record.tasks.length - record.waiting,
      claimed: describeRuns(record),
      done: record.tasks.filter((task) => task.isDone).length,
      missing: record.waiting,
      missingTasks: missing.map((task) => `${task.ref.step}/${task.ref.index}`).join(' '),
      unclaimed: unclaimed.join(', '),
      listed: pool.size(),
      surveyed: record.surveyed?.size,
      tookMs: Math.round(nowMs - record.arrivedMs),
      dispatcherAgeMs: Math.round(ageMs()),
    });
  }

  function claimTask(record: JobRecord, task: TaskRecord): boolean {
    if (task.isDone || task.run !== undefined) return false;
    const demand = record.job.steps[task.ref.step]?.demand;
    if (demand === undefined) return false;
    for (const controller of pool.controllers()) {
      const claimed = controller.claim(task.ref, demand);
      if (claimed === undefined) continue;
      record.hasStarted = true;
      record.waiting -= 1;
      if (claimed === RunEnds.DONE) {
        task.isDone = true;
        options.onDone(record);
      } else {
        task.run = claimed;
        task.endpoint = controller.id;
        task.nextRun = Math.max(task.nextRun, claimed.number + 1);
      }
      return true;
    }
    return false;
  }

  /**
   * Whether every endpoint that was listed at any time since the job arrived has reported after
   * that. An endpoint that has left the directory meanwhile may still run a task of the job
   * unreported.
   */
  function haveListedReported(record: JobRecord): boolean {
    const { surveyed, wasApart, reconcileFromMs = Infinity } = record;
    if (surveyed === undefined) return true;
    if (wasApart === true || !isInformed(record)) return false;
    const known = reportedOfPass.get(surveyed);
    if (known?.fromMs === reconcileFromMs) return known.haveReported;
    surveyListed(surveyed);
    const hasReported = (id: string) => (pool.find(id)?.lastReportMs() ?? -1) >= reconcileFromMs;
    const haveReported = surveyed.size > 0 && [...surveyed].every(hasReported);
    reportedOfPass.set(surveyed, { fromMs: reconcileFromMs, haveReported });
    return haveReported;
  }

  /** Whether the endpoints that an earlier dispatcher may have used are known. */
  function isInformed({ departuresVersion = 0 }: JobRecord): boolean {
    return options.isListCurrent() && departuresVersion <= options.departuresVersion();
  }

  /** Whether every endpoint that may have runs of the job has reported under the present token. */
  function haveAllReported(record: JobRecord): boolean {
    if (pool.size() === 0 || !isInformed(record)) return false;
    if (inherited.unreported(record.job.id, -Infinity).length > 0) return false;
    const fromMs = tokens.sinceMonotonicMs();
    return [...pool.controllers()].every(
      ({ id, lastReportMs }) =>
        (lastReportMs() ?? -Infinity) >= fromMs || inherited.isBesideList(id),
    );
  }

  /** Whether all endpoints have reported that may run a job of which no earlier handover is known. */
  function hasNoUnseenRuns(record: JobRecord): boolean {
    if (record.reconcileFromMs === undefined) return haveAllReported(record);
    return haveListedReported(record) && awaitedBesideList(record).length === 0;
  }

  function loseUnconfirmed(record: JobRecord): void {
    logger.warn('Job was not confirmed by its gateway under the new token.', {
      job: record.job.id,
      gateway: record.gateway,
      fence: record.fence,
      runs: describeRuns(record, MAX_NAMED_ENDPOINTS),
      missing: record.waiting,
    });
    options.onLost(record, 'its gateway has not confirmed it after a change of the token');
  }

  /** Returns the endpoints beside the list whose reports or expired leases the job waits for. */
  function awaitedBesideList({ job, reconcileFromMs = Infinity }: JobRecord): readonly string[] {
    return inherited.unreported(job.id, reconcileFromMs);
  }

  /**
   * Returns endpoints whose reports the job still waits for, including unlisted ones; at most
   * `MAX_NAMED_ENDPOINTS`.
   */
  function unreportedAmong(record: JobRecord): string[] {
    const { surveyed, reconcileFromMs = Infinity } = record;
    const isUnreported = (id: string) => (pool.find(id)?.lastReportMs() ?? -1) < reconcileFromMs;
    const listed = [...(surveyed ?? [])].filter(isUnreported);
    return [...new Set([...listed, ...awaitedBesideList(record)])].slice(0, MAX_NAMED_ENDPOINTS);
  }

  /**
   * Lets a job wait for leases if that is all that it waits for and its caller waits for longer.
   * Returns whether it waits.
   */
  function awaitLeases(record: JobRecord, nowMs: number): boolean {
    const awaited = awaitedBesideList(record);
    if (awaited.length === 0 || !haveListedReported(record) || !canAwait(record, awaited, nowMs))
      return false;
    const waitMs = inherited.expiryMs(awaited) - monotonicClock.nowMs();
    record.reconcileUntilMs = nowMs + waitMs + EXPIRY_MARGIN_MS;
    logger.info('Job waits for leases on endpoints that have left the list.', {
      job: record.job.id,
      endpoints: awaited.slice(0, MAX_NAMED_ENDPOINTS).join(' '),
      waitMs: Math.round(waitMs),
    });
    return true;
  }

  function reconcile(records: Iterable<JobRecord>, nowMs: number): void {
    inherited.review();
    reportedOfPass.clear();
    for (const record of records) {
      if (record.reconcileUntilMs === undefined || record.outcome !== undefined) continue;
      for (const task of record.tasks) claimTask(record, task);
      // The departing endpoints of the earlier dispatcher may arrive after the job.
      if (!record.mayHaveRun && inherited.isNamed(record.job.id)) awaitReports(record, nowMs);
      if (record.confirmUntilMs !== undefined) {
        if (nowMs > record.confirmUntilMs) loseUnconfirmed(record);
        continue;
      }
      if (record.waiting > 0 && record.reconcileUntilMs === Infinity) requestReports(record, nowMs);
      if (!record.mayHaveRun) {
        if (!hasNoUnseenRuns(record) && nowMs < record.reconcileUntilMs) continue;
        record.reconcileUntilMs = undefined;
        options.onReconciled();
        continue;
      }
      if (haveListedReported(record) && awaitedBesideList(record).length === 0) {
        record.reconcileUntilMs = undefined;
        logReconciliation(record, nowMs);
        options.onReconciled();
      } else if (
        record.waiting > 0 &&
        nowMs > record.reconcileUntilMs &&
        !awaitLeases(record, nowMs)
      ) {
        logger.warn('Orphaned runs could not be reconciled.', {
          job: record.job.id,
          claimed: describeRuns(record),
          missing: record.waiting,
          unreported: unreportedAmong(record).join(' '),
          wasApart: record.wasApart,
          listed: pool.size(),
          dispatcherAgeMs: Math.round(ageMs()),
        });
        options.onLost(record, 'earlier runs are out of sight');
      }
    }
  }

  function mayHaveRuns(job: string): boolean {
    if (ageMs() <= ORPHANED_RUN_LIFETIME_MS) return true;
    return [...pool.controllers()].some((controller) =>
      [...controller.orphanedRuns()].some((listing) => listing.task.job === job),
    );
  }

  return { claim, restart, awaitConfirmation, confirm, claimTask, mayHaveRuns, reconcile };
}
