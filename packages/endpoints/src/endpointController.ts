/**
 * Controls one endpoint. The controller is the one instance that starts and stops tasks on an
 * endpoint and reads their outcomes. One loop polls the endpoint with long-polling renewals; each
 * start and each stop is a separate asynchronous call.
 *
 * Faults that the controller handles:
 * - An order gets no answer and is carried out late. The start stays unacknowledged until a report
 *   proves that the run has terminated (see unlistedRun.ts). The endpoint gets no further start
 *   before it reports again.
 * - The endpoint restarts while a start is unacknowledged, and has forgotten the stop. From its first
 *   unanswered call on, it is sent the stop frequently until it reports.
 * - An earlier incarnation received such a start, left the directory, and its controller was
 *   closed. The controller of the next incarnation stops these starts before it starts anything.
 * - An endpoint becomes unresponsive. Its runs lapse once its clock has certainly passed the end of
 *   the last lease.
 * - An endpoint restarts at the same address, possibly with other labels or another capacity. It
 *   gets no start until a report confirms its incarnation and the directory has the entry of that
 *   incarnation.
 * - The dispatcher changes. The new controller first lists what runs on the endpoint. Resubmitted
 *   jobs may claim these orphaned runs; the controller stops the others.
 */
import type { Result } from 'true-myth';
import { createDeferred } from '@celerybarrow/shared';
import type { ElapsedClock, TimerService } from '@celerybarrow/timer';
import type { Resources } from '@celerybarrow/protocol';
import { createEndpointClock } from './endpointClock.js';
import type { EndpointError } from './endpointError.js';
import {
  createInferredEnds,
  TerminationProofs,
  type InferredEnd,
  type TerminationProof,
} from './terminationProof.js';
import { createOrphanedRuns, type OrphanedRun } from './orphanedRuns.js';
import type { ProbeBudget } from './probeBudget.js';
import { createRestartProbe } from './restartProbe.js';
import { createUnacknowledgedLeases } from './unacknowledgedLeases.js';
import {
  createUnacknowledgedStarts,
  MAX_ORDER_DELAY_MS,
  type UnacknowledgedStart,
} from './unacknowledgedStarts.js';
import {
  OrderAnswers,
  RunEnds,
  taskKey,
  type EndedTask,
  type EndpointEntry,
  type EndpointReport,
  type RenewalAnswer,
  type LeasedEndpoint,
  type OrderAnswer,
  type RunEnd,
  type StartOrder,
  type TaskRef,
} from './leasedEndpoint.js';
import { RunStates, type Run, type RunRequest } from './run.js';
import { provenEnd, findTerminationProof } from './unlistedRun.js';

/** Longest lease that endpoints grant. */
const MAX_LEASE_MS = 1_000;
/** Lease that a renewal requests. */
const LEASE_MS = 950;
/** Lease that a start order requests; renewals extend it. */
const START_LEASE_MS = 600;
/** Longest wait of a renewal while tasks run: a third of the lease, so two renewals may be lost. */
const RENEWAL_WAIT_MS = 280;
/** Pause after a report, so that the next report covers several task ends of the same job. */
const REPORT_BATCH_MS = 4;
/** Poll interval for an endpoint with unclaimed orphaned runs; jobs request extra reports. */
const ORPHAN_POLL_INTERVAL_MS = 25;
/** Poll interval for an endpoint on which nothing runs. */
const IDLE_POLL_INTERVAL_MS = 1_500;
/** Pause after an unanswered renewal. */
const RETRY_MS = 60;
const STOP_RETRY_MS = 120;
/** Longest time a stop takes, plus a margin for the endpoint to notice the end of a lease. */
const LEASE_END_MARGIN_MS = 80;
/**
 * Longest lease that an order unknown to this controller may have granted: the longest lease on a
 * clock that runs 2% slow, plus the margin.
 */
const MAX_UNSEEN_LEASE_MS = MAX_LEASE_MS / 0.98 + LEASE_END_MARGIN_MS;
/** How long jobs may claim the orphaned runs of an earlier dispatcher before they are stopped. */
const CLAIM_WINDOW_MS = 200;
/**
 * How long after a restart an entry without a start time is not used unless it changes, because it
 * may describe the earlier incarnation. Endpoints write their entries about every 1.5 s.
 */
const UNDATED_ENTRY_MS = 5_000;
/** Consecutive unanswered calls after which an endpoint is unresponsive and gets no new tasks. */
const UNRESPONSIVE_AFTER_CALLS = 2;
/**
 * How long an endpoint gets no new tasks after it refused a start because it was full or unhealthy,
 * or after a start could not be sent.
 * The end of any run there lifts the pause.
 */
const REFUSAL_PAUSE_MS = 120;
/** Runs that are named in a log line of many. */
const MAX_LOGGED_STARTS = 8;
const REFUSALS: ReadonlySet<OrderAnswer> = new Set([
  OrderAnswers.NO_ROOM,
  OrderAnswers.UNHEALTHY,
  OrderAnswers.NOT_SENT,
]);

export interface EndpointControllerEvents {
  onEnd(run: Run, end: RunEnd, answer: OrderAnswer | undefined): void;
  /** A start order was answered, or no answer arrived in time; also after the controller was closed. */
  onStartSettled(run: Run, isAnswered: boolean): void;
  /** The endpoint obeys a dispatcher with a higher fencing token. */
  onFenced(): void;
  /** Free capacity, availability or the progress of the reconciliation has changed. */
  onChange(): void;
  /** A report was handled; the progress of the runs is up to date. */
  onReport(): void;
  onLog(message: string, details: LogDetails): void;
  /** The controller inferred that a run terminated; the endpoint did not report how it ended. */
  onInferredEnd(run: Run, proof: TerminationProof, details: LogDetails): void;
  /**
   * A report lists a run that this controller did not start, or whose end it had inferred. A late run
   * that is not claimed by the end of this call is stopped.
   */
  onOrphanedRun(listing: OrphanedRunListing): void;
  /**
   * The endpoint does not answer and may have restarted, so that it may carry out starts whose stops it
   * has answered. Called with each further call that it does not answer.
   */
  onPossibleRestart(starts: readonly UnacknowledgedStart[]): void;
}

export type LogDetails = Readonly<Record<string, string | number | undefined>>;

/** An orphaned run that a report lists. */
export interface OrphanedRunListing {
  readonly run: Readonly<OrphanedRun>;
  /** Why the controller had inferred the end of this run, if it had. */
  readonly inferredEnd: InferredEnd | undefined;
  /** When the controller received the endpoint's first report. */
  readonly firstReportMs: number;
}

export interface EndpointControllerOptions {
  readonly entry: EndpointEntry;
  readonly endpoint: LeasedEndpoint;
  readonly fence: () => number;
  readonly timer: TimerService;
  readonly clock: ElapsedClock;
  readonly events: EndpointControllerEvents;
  /** Starts that an earlier controller sent under this id and that may still be carried out. */
  readonly earlierStarts?: readonly UnacknowledgedStart[];
  /** Shared by the controllers of a dispatcher. */
  readonly probes: ProbeBudget;
  /** Whether the other instances know of the endpoint, so that it may get tasks; true by default. */
  readonly isAnnounced?: () => boolean;
}

/** Starts and stops the tasks on one endpoint. No other instance does so at the same time. */
export interface EndpointController {
  readonly id: string;
  entry(): EndpointEntry;
  update(entry: EndpointEntry): void;
  /** Whether the endpoint may get new tasks now, regardless of its free capacity. */
  isUsable(): boolean;
  isUnresponsive(): boolean;
  /** When the newest report was requested, on the monotonic clock; undefined before the first. */
  lastReportMs(): number | undefined;
  /** Requests a report now, without waiting for a run to end. */
  refresh(): void;
  /** Handles that the endpoint has closed a connection: it may have restarted. */
  handleConnectionLost(): void;
  /** Returns the free capacity of the endpoint. */
  room(): Resources;
  runs(): Iterable<Run>;
  /** Returns the orphaned runs that no job has claimed. */
  orphanedRuns(): Iterable<Readonly<OrphanedRun>>;
  /** Whether nothing runs on the endpoint, neither of this dispatcher nor of an earlier one. */
  isEmpty(): boolean;
  /** Returns the starts that the endpoint may still carry out, also after a restart. */
  unacknowledgedStarts(): readonly UnacknowledgedStart[];
  /** Whether the endpoint, or a next incarnation that may have begun, may carry out this start. */
  mayCarryOut(key: string, run: number): boolean;
  start(request: RunRequest): Run;
  /** Returns the number of start orders that were sent and have neither an answer nor a timeout. */
  startsInFlight(): number;
  stop(run: Run): void;
  /**
   * Takes over an orphaned run, which may be stopping. Returns `DONE` if the run has already
   * succeeded.
   */
  claim(task: TaskRef, demand: Resources): Run | typeof RunEnds.DONE | undefined;
  close(): void;
}

/** When a report was requested, on the monotonic clock and on the elapsed clock. */
interface RequestTime {
  readonly sentMs: number;
  readonly elapsedMs: number;
}

export function createEndpointController(options: EndpointControllerOptions): EndpointController {
  const { endpoint, fence, timer, clock, events, probes } = options;
  const closing = new AbortController();
  const openedMs = timer.nowMs();
  const endpointClock = createEndpointClock();
  const orphanedRuns = createOrphanedRuns();
  const inferredEnds = createInferredEnds();
  const runs = new Map<string, Run>();
  const unacknowledgedStarts = createUnacknowledgedStarts();
  const unacknowledgedLeases = createUnacknowledgedLeases();
  /** Runs that were started before the controller knew of the endpoint's current incarnation. */
  const runsOfEarlierIncarnation = new Set<Run>();
  /** When the start was sent, on the monotonic clock; `run.sentMs` is on the elapsed clock. */
  const startSentAt = new Map<Run, number>();
  /** When a stop of the run was answered, on the monotonic clock. */
  const stopAnsweredAt = new Map<Run, number>();
  /** When a report, an answer or a claim confirmed that the run had started, on the monotonic clock. */
  const startedAt = new Map<Run, number>();
  let entry = options.entry;
  let bornMs: number | undefined;
  /** When the current incarnation of the endpoint was first reported, on the monotonic clock. */
  let incarnationSeenMs = -Infinity;
  let endsSeen = 0;
  /** Lower bound of how far the local clock was ahead of the endpoint's when it wrote a report. */
  let clockOffsetMs = -Infinity;
  let latestLeaseEndMs = -Infinity;
  /** The endpoint's clock in the newest report. */
  let newestReportClockMs = -Infinity;
  /** When the first report was received, on the elapsed clock. */
  let firstReportMs: number | undefined;
  /** When the newest report was requested, on the monotonic clock. */
  let lastReportMs: number | undefined;
  let isRefreshScheduled = false;
  /** Number of consecutive unanswered calls. */
  let unanswered = 0;
  let pausedUntilMs = 0;
  let startsInFlight = 0;
  let abandonedStopsSentMs = -Infinity;
  /** When the newest restart was noticed, on the monotonic clock. */
  let restartSeenMs = -Infinity;
  /** Ends the pause between stops when the endpoint answers again. */
  let stopPause = new AbortController();
  /**
   * When the controller last noticed that a start got no answer or that a connection was lost.
   * Only a report requested after that ends the suspicion.
   */
  let suspectedSinceMs = -Infinity;
  /** Entry that was known when the endpoint restarted, and when the restart was noticed. */
  let entryAtRestart: { readonly entry: EndpointEntry; readonly atMs: number } | undefined;
  /** Whether the last comparison found the entry to be that of the current incarnation. */
  let wasEntryCurrent = true;
  let isReplaced = false;
  /**
   * Highest fencing token that the endpoint refused. After a restart the endpoint would accept this
   * token again, but the dispatcher with the higher token still dispatches.
   */
  let refusedFence = -Infinity;
  let idleWake = createDeferred<undefined>();
  const restartProbe = createRestartProbe({
    timer,
    budget: probes,
    isNeeded: () => !closing.signal.aborted && (unanswered > 0 || isSuspected()),
    starts: startsToProbe,
    stop: stopAbandonedStart,
    onAnswered: refresh,
  });

  async function pollEndpoint(): Promise<void> {
    while (!closing.signal.aborted) {
      if (isIdle()) await waitWhileIdle();
      if (closing.signal.aborted) return;
      await requestReport(renewalWaitMs());
      if (!orphanedRuns.isEmpty()) await timer.sleep(ORPHAN_POLL_INTERVAL_MS);
      else if (runs.size > 0 && unanswered === 0) await timer.sleep(REPORT_BATCH_MS);
      if (unanswered > 1 || isReplaced || abandonedStarts().length > 0) await timer.sleep(RETRY_MS);
    }
  }

  function isIdle(): boolean {
    const isCertain = canRenewLeases() && unanswered === 0 && !isReplaced && !isSuspected();
    return !mayRunTasks() && isCertain;
  }

  /** Whether tasks run on the endpoint, or an unacknowledged start may still begin one. */
  function mayRunTasks(): boolean {
    return runs.size > 0 || !unacknowledgedStarts.isEmpty(timer.nowMs());
  }

  async function waitWhileIdle(): Promise<void> {
    const woken = createDeferred<undefined>();
    idleWake = woken;
    const cancel = timer.onAfter(IDLE_POLL_INTERVAL_MS, () => {
      woken.resolve(undefined);
    });
    await woken.promise;
    cancel();
  }

  function renewalWaitMs(): number {
    if (firstReportMs === undefined || !mayRunTasks()) return 0;
    if (unanswered > 0 || isSuspected()) return 0;
    return canRenewLeases() ? RENEWAL_WAIT_MS : RETRY_MS;
  }

  /**
   * Whether the controller may renew leases. It may once all orphaned runs are claimed or have
   * ended and no abandoned start can begin a run under a renewed lease.
   */
  function canRenewLeases(): boolean {
    return firstReportMs !== undefined && orphanedRuns.isEmpty() && abandonedStarts().length === 0;
  }

  /** Returns the starts that may still be carried out although their runs count as ended. */
  function abandonedStarts(): readonly UnacknowledgedStart[] {
    const open = unacknowledgedStarts.open(timer.nowMs());
    return open.filter(({ key, run }) => runs.get(key)?.number !== run);
  }

  async function requestReport(waitMs: number): Promise<void> {
    const sentMs = timer.nowMs();
    const requestTime = { sentMs, elapsedMs: clock.nowMs() };
    const lowerBoundMs = endpointClock.lowerBoundMs(sentMs);
    // Renews leases only if the previous call was answered. Every order to an unresponsive endpoint
    // may arrive late, so with further renewals its leases would never certainly end.
    const mayRenew = canRenewLeases() && lowerBoundMs !== undefined && unanswered === 0;
    const leaseEndMs = mayRenew ? Math.floor(lowerBoundMs + LEASE_MS) : undefined;
    if (leaseEndMs !== undefined) latestLeaseEndMs = Math.max(latestLeaseEndMs, leaseEndMs);
    const sentFence = fence();
    const answer = await endpoint.renew({
      fence: sentFence,
      waitMs,
      ...(mayRenew ? { endsSeen } : {}),
      ...(leaseEndMs === undefined ? {} : { leaseEndMs }),
    });
    if (closing.signal.aborted) return;
    if (answer.isErr && leaseEndMs !== undefined) unacknowledgedLeases.recordUnacknowledged(sentMs);
    handleRenewal(answer, requestTime, sentFence);
    lapseUnresponsiveRuns();
  }

  function refresh(): void {
    if (isRefreshScheduled) return;
    isRefreshScheduled = true;
    // All callers within one turn of the event loop share one request.
    setImmediate(() => {
      isRefreshScheduled = false;
      if (!closing.signal.aborted) void requestReport(0);
    });
  }

  function handleRenewal(
    answer: Result<RenewalAnswer, EndpointError>,
    requestTime: RequestTime,
    sentFence: number,
  ): void {
    if (answer.isErr) {
      countUnansweredCall(answer.error.message);
      return;
    }
    if (answer.value.answer === OrderAnswers.FENCED) recordFenced(sentFence);
    if (answer.value.answer === OrderAnswers.REPLACED) handleReplacement(requestTime.sentMs);
    if (answer.value.report === undefined) {
      countUnansweredCall(answer.value.answer);
      return;
    }
    const wasUnresponsive = unanswered >= UNRESPONSIVE_AFTER_CALLS;
    if (unanswered > 0) {
      stopPause.abort();
      stopPause = new AbortController();
    }
    unanswered = 0;
    isReplaced = false;
    handleReport(answer.value.report, requestTime);
    if (wasUnresponsive) {
      events.onLog('Endpoint responds again.', { endpoint: entry.id });
      events.onChange();
    }
  }

  function recordFenced(sentFence: number): void {
    refusedFence = Math.max(refusedFence, sentFence);
    events.onFenced();
  }

  function countUnansweredCall(reason: string): void {
    unanswered += 1;
    restartProbe.begin();
    if (mayHaveRestarted()) {
      const starts = startsToProbe();
      if (starts.length > 0) events.onPossibleRestart(starts);
    }
    if (unanswered !== UNRESPONSIVE_AFTER_CALLS) return;
    events.onLog('Endpoint is unresponsive.', { endpoint: entry.id, reason, runs: runs.size });
    events.onChange();
  }

  function handleReport(report: EndpointReport, requestTime: RequestTime): void {
    const { sentMs } = requestTime;
    const nowMs = clock.nowMs();
    if (report.bornMs !== undefined && report.bornMs !== bornMs) {
      // Answers on different connections may overtake each other.
      if (sentMs < incarnationSeenMs) return;
      if (bornMs !== undefined) handleRestart({ bornMs: report.bornMs, earlierBornMs: bornMs });
      incarnationSeenMs = timer.nowMs();
    }
    bornMs = report.bornMs ?? bornMs;
    compareEntry();
    endpointClock.read(report.clockMs, timer.nowMs());
    // The endpoint writes a report after the request, and its clock can only run slow.
    clockOffsetMs = Math.max(clockOffsetMs, requestTime.elapsedMs - report.clockMs);
    const wasSuspected = isSuspected();
    lastReportMs = Math.max(lastReportMs ?? sentMs, sentMs);
    const isFirst = firstReportMs === undefined;
    firstReportMs ??= nowMs;
    for (const ended of report.ended) {
      if (ended.number <= endsSeen) continue;
      endsSeen = ended.number;
      unacknowledgedStarts.recordResolved(taskKey(ended.task), ended.run);
      const run = runs.get(taskKey(ended.task));
      if (run?.number === ended.run) endRun(run, ended.end);
      else handleOrphanedEnd(ended, nowMs);
    }
    // Answers on different connections may overtake each other.
    if (report.clockMs >= newestReportClockMs) handleRunningTasks(report, requestTime, nowMs);
    // The endpoint has ignored the earlier dispatcher since this fencing token arrived. A lease
    // that was granted before ends one maximum lease after this report at the latest.
    if (!orphanedRuns.isEmpty() || runsOfEarlierIncarnation.size > 0) {
      latestLeaseEndMs = Math.max(latestLeaseEndMs, report.clockMs + MAX_LEASE_MS);
    }
    newestReportClockMs = Math.max(newestReportClockMs, report.clockMs);
    if (isFirst || (wasSuspected && !isSuspected())) events.onChange();
    events.onReport();
    stopUnclaimedRuns(nowMs);
    stopAbandonedStarts(nowMs);
  }

  function handleOrphanedEnd({ task, run, end: runEnd }: EndedTask, nowMs: number): void {
    const key = taskKey(task);
    orphanedRuns.recordEnd(key, run, runEnd, nowMs);
    const inferred = inferredEnds.find(key, run);
    if (inferred === undefined) return;
    events.onLog('Run that was presumed terminated has ended.', {
      endpoint: entry.id,
      job: task.job,
      task: key,
      run,
      end: runEnd,
      proof: inferred.proof,
      provedAgoMs: Math.round(nowMs - inferred.atMs),
    });
  }

  function handleRunningTasks(
    report: EndpointReport,
    requestTime: RequestTime,
    nowMs: number,
  ): void {
    const listedKeys = new Set<string>();
    const writtenMs = report.clockMs + clockOffsetMs;
    for (const listed of report.running) {
      const key = taskKey(listed.task);
      const wasUnacknowledged = unacknowledgedStarts.recordResolved(key, listed.run);
      const run = runs.get(key);
      if (run?.number !== listed.run) {
        const inferredEnd = inferredEnds.find(key, listed.run);
        const isLate = wasUnacknowledged || inferredEnd !== undefined;
        events.onOrphanedRun({
          run: orphanedRuns.recordRunning(listed, nowMs, isLate),
          inferredEnd,
          firstReportMs: firstReportMs ?? nowMs,
        });
        listedKeys.add(`orphaned ${key}`);
        continue;
      }
      listedKeys.add(key);
      if (run.state === RunStates.STARTING) run.state = RunStates.RUNNING;
      if (!startedAt.has(run)) startedAt.set(run, timer.nowMs());
      run.seenMs = nowMs;
      run.newestListing = { clockMs: report.clockMs, percent: listed.percent, writtenMs };
      run.firstListing ??= run.newestListing;
      if (run.percent !== listed.percent) {
        run.percent = listed.percent;
        run.percentAtMs = nowMs;
      }
    }
    for (const run of [...runs.values()]) {
      if (!listedKeys.has(run.key)) resolveUnlistedRun(run, requestTime.sentMs);
    }
    if (orphanedRuns.retain((key) => listedKeys.has(`orphaned ${key}`))) events.onChange();
  }

  function resolveUnlistedRun(run: Run, sentMs: number): void {
    const evidence = {
      reportRequestedMs: sentMs,
      startSentMs: startSentMsOf(run),
      stopAnsweredMs: stopAnsweredAt.get(run),
      startConfirmedMs: startedAt.get(run),
    };
    const runEnd = provenEnd(evidence);
    if (runEnd !== undefined) endRun(run, runEnd, undefined, findTerminationProof(evidence));
  }

  function stopUnclaimedRuns(nowMs: number): void {
    // Before that, jobs of an earlier dispatcher may not have been resubmitted yet.
    const isWindowOver = nowMs - (firstReportMs ?? nowMs) >= CLAIM_WINDOW_MS;
    const claimWindowMs = isWindowOver ? CLAIM_WINDOW_MS : Infinity;
    for (const orphan of orphanedRuns.dueForStop(nowMs, STOP_RETRY_MS, claimWindowMs)) {
      void stopOrphanedRun(orphan, nowMs);
    }
  }

  async function stopOrphanedRun(orphan: Readonly<OrphanedRun>, nowMs: number): Promise<void> {
    const context = {
      endpoint: entry.id,
      job: orphan.task.job,
      task: taskKey(orphan.task),
      run: orphan.run,
    };
    events.onLog('Unclaimed run is stopped.', {
      ...context,
      seenForMs: Math.round(nowMs - orphan.firstSeenMs),
      percent: orphan.percent,
    });
    const answer = await endpoint.stop({ task: orphan.task, run: orphan.run, fence: fence() });
    events.onLog('Stop of an unclaimed run has ended.', {
      ...context,
      answer: answer.isOk ? answer.value : answer.error.message,
      tookMs: Math.round(clock.nowMs() - nowMs),
    });
  }

  function stopAbandonedStarts(nowMs: number): void {
    if (nowMs - abandonedStopsSentMs < STOP_RETRY_MS) return;
    abandonedStopsSentMs = nowMs;
    for (const start of abandonedStarts()) void stopAbandonedStart(start);
  }

  /** Returns whether the stop was answered. */
  async function stopAbandonedStart({ key, task, run }: UnacknowledgedStart): Promise<boolean> {
    const sentMs = timer.nowMs();
    const answer = await endpoint.stop({ task, run, fence: fence() });
    if (closing.signal.aborted || !preventsStart(answer, sentMs)) return false;
    recordStopped(key, run);
    return true;
  }

  /**
   * Whether the answer to a stop guarantees that the run cannot start later. The answer to a stop that
   * was sent before a restart may be that of the earlier incarnation.
   */
  function preventsStart(answer: Result<OrderAnswer, EndpointError>, sentMs: number): boolean {
    if (answer.isErr || sentMs < restartSeenMs) return false;
    return answer.value === OrderAnswers.ACCEPTED || answer.value === OrderAnswers.OUTDATED;
  }

  /** Returns the starts that a next incarnation may carry out although their runs count as ended. */
  function startsToProbe(): readonly UnacknowledgedStart[] {
    if (isReplaced) return [];
    return unacknowledgedStarts
      .all(timer.nowMs())
      .filter(({ key, run }) => runs.get(key)?.number !== run);
  }

  function recordStopped(key: string, run: number): void {
    unacknowledgedStarts.recordStopped(key, run);
    events.onChange();
  }

  /** Ends all runs when another endpoint answers at the address, since none can run there. */
  function handleReplacement(requestedMs: number): void {
    // Every call to the address gets this answer, so log it only once.
    if (!isReplaced) logNewIncarnation('replaced');
    isReplaced = true;
    lastReportMs = Math.max(lastReportMs ?? requestedMs, requestedMs);
    resetIncarnation();
    unacknowledgedStarts.forgetStops();
    for (const run of [...runs.values()]) {
      // The endpoint may return under its id, here or at another address.
      recordUnacknowledgedStart(run);
      endRun(run, RunEnds.LAPSED, undefined, TerminationProofs.REPLACED);
    }
  }

  /**
   * Handles a restart of the endpoint. The new incarnation may have received orders before its
   * first report, so the restart alone does not prove that a run has terminated. This report and
   * the next ones decide which runs have ended, as for any other run.
   */
  function handleRestart(details: LogDetails): void {
    logNewIncarnation('restarted', details);
    resetIncarnation();
    entryAtRestart = { entry, atMs: timer.nowMs() };
    restartSeenMs = timer.nowMs();
    stopAnsweredAt.clear();
    unacknowledgedStarts.forgetStops();
    abandonedStopsSentMs = -Infinity;
    unacknowledgedLeases.beginIncarnation(timer.nowMs());
    for (const run of runs.values()) runsOfEarlierIncarnation.add(run);
    // Only a report requested from now on can prove that the earlier runs ended. The answer to a
    // renewal that is already waiting cannot.
    if (runs.size > 0) refresh();
  }

  function resetIncarnation(): void {
    endpointClock.reset();
    clockOffsetMs = -Infinity;
    endsSeen = 0;
    latestLeaseEndMs = -Infinity;
    newestReportClockMs = -Infinity;
    orphanedRuns.clear();
  }

  function logNewIncarnation(reason: 'replaced' | 'restarted', details: LogDetails = {}): void {
    const notRunning = [...runs.values()].filter((run) => run.state !== RunStates.RUNNING);
    events.onLog('Endpoint was restarted or replaced.', {
      endpoint: entry.id,
      reason,
      runs: runs.size,
      notRunning: notRunning.map((run) => `${run.key}#${run.number} ${run.state}`).join(', '),
      foreign: orphanedRuns.size(),
      ...details,
    });
  }

  /** Ends the runs of an unresponsive endpoint once its clock has certainly passed every lease. */
  function lapseUnresponsiveRuns(): void {
    if (unanswered === 0) return;
    const lowerBoundMs = endpointClock.lowerBoundMs(timer.nowMs());
    if (lowerBoundMs === undefined || lowerBoundMs < latestLeaseEndMs + LEASE_END_MARGIN_MS) return;
    if ([...runs.values()].some(mayStillStart)) return;
    if (!unacknowledgedLeases.haveExpired(timer.nowMs() - MAX_UNSEEN_LEASE_MS)) return;
    orphanedRuns.clear();
    for (const run of [...runs.values()]) {
      if (!mayStartAfterRestart(run))
        endRun(run, RunEnds.LAPSED, undefined, TerminationProofs.SILENCE);
    }
  }

  /**
   * Whether a next incarnation of the silent endpoint may carry out the start, so that its task must
   * not start elsewhere yet. If the endpoint is leaving, the run may end: the next controller under
   * the id stops the start, and jobs would otherwise wait for reports of an endpoint that has left.
   */
  function mayStartAfterRestart(run: Run): boolean {
    if (startedAt.has(run) || entry.isLeaving) return false;
    return timer.nowMs() - startSentMsOf(run) < MAX_ORDER_DELAY_MS;
  }

  /**
   * Whether the endpoint may still carry out a start that was sent to an earlier incarnation. The
   * lease of such a start ends on the clock of that incarnation, which does not apply to this one.
   */
  function mayStillStart(run: Run): boolean {
    if (startedAt.has(run) || !runsOfEarlierIncarnation.has(run)) return false;
    return timer.nowMs() - startSentMsOf(run) < MAX_ORDER_DELAY_MS;
  }

  /**
   * Returns when the start was sent. For a claimed run, which an earlier dispatcher started at an
   * unknown time, returns the current time.
   */
  function startSentMsOf(run: Run): number {
    return startSentAt.get(run) ?? timer.nowMs();
  }

  function endRun(
    run: Run,
    runEnd: RunEnd,
    answer?: OrderAnswer,
    proof: TerminationProof = answer === undefined
      ? TerminationProofs.LISTED
      : TerminationProofs.REFUSED,
  ): void {
    if (runs.get(run.key) !== run) return;
    if (proof !== TerminationProofs.LISTED && proof !== TerminationProofs.REFUSED)
      reportInferredEnd(run, runEnd, proof);
    runs.delete(run.key);
    runsOfEarlierIncarnation.delete(run);
    startSentAt.delete(run);
    stopAnsweredAt.delete(run);
    startedAt.delete(run);
    pausedUntilMs = 0;
    events.onEnd(run, runEnd, answer);
  }

  function reportInferredEnd(run: Run, runEnd: RunEnd, proof: TerminationProof): void {
    const nowMs = clock.nowMs();
    inferredEnds.record(run.key, run.number, proof, nowMs);
    events.onInferredEnd(run, proof, {
      end: runEnd,
      state: run.state,
      sentAgoMs: Math.round(nowMs - run.sentMs),
      seenAgoMs: startedAt.has(run) ? Math.round(nowMs - run.seenMs) : undefined,
      reportAgeMs:
        lastReportMs === undefined ? undefined : Math.round(timer.nowMs() - lastReportMs),
    });
  }

  function start(request: RunRequest): Run {
    const nowMs = clock.nowMs();
    const run: Run = {
      task: request.task,
      key: taskKey(request.task),
      number: request.number,
      demand: request.demand,
      sentMs: nowMs,
      state: RunStates.STARTING,
      percent: 0,
      percentAtMs: nowMs,
      seenMs: nowMs,
    };
    const leaseEndMs = Math.floor(
      (endpointClock.lowerBoundMs(timer.nowMs()) ?? 0) + START_LEASE_MS,
    );
    latestLeaseEndMs = Math.max(latestLeaseEndMs, leaseEndMs);
    runs.set(run.key, run);
    startSentAt.set(run, timer.nowMs());
    void sendStart(run, request.payload, leaseEndMs);
    idleWake.resolve(undefined);
    return run;
  }

  async function sendStart(run: Run, payload: string, leaseEndMs: number): Promise<void> {
    const sentMs = timer.nowMs();
    const order: StartOrder = {
      task: run.task,
      run: run.number,
      fence: fence(),
      payload,
      leaseEndMs,
      ...(bornMs === undefined ? {} : { bornMs }),
    };
    startsInFlight += 1;
    const answer = await endpoint.start(order);
    startsInFlight -= 1;
    events.onStartSettled(run, answer.isOk);
    if (closing.signal.aborted) return;
    if (answer.isOk) unacknowledgedStarts.recordResolved(run.key, run.number);
    else unacknowledgedLeases.recordUnacknowledged(sentMs);
    if (runs.get(run.key) !== run) return;
    if (answer.isErr) {
      if (!stopAnsweredAt.has(run)) recordUnacknowledgedStart(run);
      if (run.state !== RunStates.STARTING) return;
      events.onLog('Start got no answer.', {
        endpoint: entry.id,
        job: run.task.job,
        task: run.key,
        run: run.number,
        tookMs: Math.round(clock.nowMs() - run.sentMs),
        reason: answer.error.message,
      });
      run.state = RunStates.IN_DOUBT;
      suspectedSinceMs = timer.nowMs();
      refresh();
      void stopUntilEnded(run);
      return;
    }
    handleStartAnswer(run, answer.value, order.fence);
  }

  function recordUnacknowledgedStart(run: Run): void {
    if (!startedAt.has(run)) unacknowledgedStarts.record(run.task, run.number, startSentMsOf(run));
  }

  function handleStartAnswer(run: Run, answer: OrderAnswer, sentFence: number): void {
    if (answer === OrderAnswers.ACCEPTED) {
      startedAt.set(run, timer.nowMs());
      if (run.state === RunStates.STARTING) run.state = RunStates.RUNNING;
      return;
    }
    if (answer === OrderAnswers.FENCED) recordFenced(sentFence);
    const sentMs = startSentMsOf(run);
    const isRefusal = REFUSALS.has(answer);
    endRun(run, RunEnds.NOT_STARTED, answer);
    if (isRefusal) pausedUntilMs = clock.nowMs() + REFUSAL_PAUSE_MS;
    if (answer === OrderAnswers.REPLACED) handleReplacement(sentMs);
    if (answer === OrderAnswers.NOT_SENT) {
      suspectedSinceMs = timer.nowMs();
      refresh();
    }
  }

  /**
   * Repeats the stop of a run until the run has ended. Requests a report after each answered stop,
   * because only a later report proves that the run has ended.
   */
  async function stopUntilEnded(run: Run): Promise<void> {
    for (let attempt = 1; !closing.signal.aborted && runs.get(run.key) === run; attempt += 1) {
      const sentFence = fence();
      const order = { task: run.task, run: run.number, fence: sentFence };
      const sentMs = timer.nowMs();
      const answer = await endpoint.stop(order);
      if (closing.signal.aborted || runs.get(run.key) !== run) return;
      if (answer.isErr && attempt === 1) logUnansweredStop(run, answer.error.message);
      if (answer.isOk && answer.value === OrderAnswers.FENCED) recordFenced(sentFence);
      if (preventsStart(answer, sentMs)) {
        stopAnsweredAt.set(run, timer.nowMs());
        // The start may be unanswered at this point, and its answer may never arrive.
        recordUnacknowledgedStart(run);
        recordStopped(run.key, run.number);
        await requestReport(0);
      }
      if (runs.get(run.key) === run) await timer.sleep(STOP_RETRY_MS, stopPause.signal);
    }
  }

  function logUnansweredStop(run: Run, reason: string): void {
    events.onLog('Stop got no answer.', {
      endpoint: entry.id,
      job: run.task.job,
      task: run.key,
      run: run.number,
      state: run.state,
      reason,
    });
  }

  /**
   * Whether the endpoint is suspected to be unreachable, gone or restarted: a start got no answer or
   * a connection was lost, and no report that was requested later has arrived. Further starts would
   * stay unacknowledged, or reach an incarnation that this controller does not know.
   */
  function isSuspected(): boolean {
    return (lastReportMs ?? 0) < suspectedSinceMs;
  }

  /** Whether the endpoint has not answered for so long, or after a lost connection, that it may have restarted. */
  function mayHaveRestarted(): boolean {
    return unanswered >= UNRESPONSIVE_AFTER_CALLS || (unanswered > 0 && isSuspected());
  }

  /**
   * Whether the entry describes the incarnation that answers. An endpoint may restart with other
   * labels or another capacity, and its entry and its reports arrive in any order.
   */
  function isEntryCurrent(): boolean {
    if (bornMs === undefined) return true;
    if (entry.bornMs !== undefined) return entry.bornMs === bornMs;
    if (entry !== entryAtRestart?.entry) return true;
    return timer.nowMs() - entryAtRestart.atMs >= UNDATED_ENTRY_MS;
  }

  /** Reports when the entry starts or ceases to describe the current incarnation. */
  function compareEntry(): void {
    if (isEntryCurrent() === wasEntryCurrent) return;
    wasEntryCurrent = isEntryCurrent();
    const message = wasEntryCurrent
      ? 'Endpoint entry is of the current incarnation.'
      : 'Endpoint entry is of another incarnation.';
    const entryBornMs = entry.bornMs;
    events.onLog(message, { endpoint: entry.id, bornMs, entryBornMs, runs: runs.size });
    events.onChange();
  }

  function stop(run: Run): void {
    if (runs.get(run.key) !== run || run.state === RunStates.STOPPING) return;
    const isAlreadyStopping = run.state === RunStates.IN_DOUBT;
    run.state = RunStates.STOPPING;
    if (!isAlreadyStopping) void stopUntilEnded(run);
  }

  function claim(task: TaskRef, demand: Resources): Run | typeof RunEnds.DONE | undefined {
    if (orphanedRuns.hasNoRecords()) return undefined;
    const key = taskKey(task);
    if (orphanedRuns.hasSucceeded(key)) return RunEnds.DONE;
    const orphan = orphanedRuns.take(key);
    if (orphan === undefined) return undefined;
    const nowMs = clock.nowMs();
    const isStopped = orphan.stopSentMs !== undefined;
    const run: Run = {
      task,
      key,
      number: orphan.run,
      demand,
      sentMs: nowMs,
      state: isStopped ? RunStates.STOPPING : RunStates.RUNNING,
      percent: orphan.percent,
      percentAtMs: nowMs,
      seenMs: nowMs,
    };
    runs.set(key, run);
    startedAt.set(run, timer.nowMs());
    if (isStopped) void stopUntilEnded(run);
    idleWake.resolve(undefined);
    if (orphanedRuns.isEmpty()) events.onChange();
    return run;
  }

  /**
   * Whether nothing runs on the endpoint. Before its first report the endpoint may have orphaned
   * runs, until their leases have expired.
   */
  function isEmpty(): boolean {
    if (runs.size > 0 || !orphanedRuns.isEmpty()) return false;
    return firstReportMs !== undefined || timer.nowMs() - openedMs > MAX_UNSEEN_LEASE_MS;
  }

  function room(): Resources {
    let { cores, memoryMb, accelerators } = entry.capacity;
    for (const { demand } of runs.values()) {
      cores -= demand.cores;
      memoryMb -= demand.memoryMb;
      accelerators -= demand.accelerators;
    }
    return { cores, memoryMb, accelerators };
  }

  function takeOverEarlierStarts(starts: readonly UnacknowledgedStart[]): void {
    if (starts.length === 0) return;
    for (const { task, run, sentMs } of starts) unacknowledgedStarts.record(task, run, sentMs);
    const nowMs = timer.nowMs();
    events.onLog('Starts of an earlier incarnation are stopped first.', {
      endpoint: entry.id,
      starts: starts.length,
      runs: starts
        .slice(0, MAX_LOGGED_STARTS)
        .map(({ key, run }) => `${key}#${run}`)
        .join(' '),
      newestAgoMs: Math.round(nowMs - Math.max(...starts.map(({ sentMs }) => sentMs))),
    });
    stopAbandonedStarts(clock.nowMs());
  }

  takeOverEarlierStarts(options.earlierStarts ?? []);
  void pollEndpoint();

  return {
    id: entry.id,
    entry: () => entry,
    update(next) {
      const wasCurrent = isEntryCurrent();
      entry = next;
      compareEntry();
      // The next poll of an idle endpoint may be too far away to learn which incarnation answers.
      if (wasCurrent && !isEntryCurrent()) {
        for (const start of startsToProbe()) void stopAbandonedStart(start);
        refresh();
      }
    },
    isUsable: () =>
      canRenewLeases() &&
      !entry.isLeaving &&
      unanswered < UNRESPONSIVE_AFTER_CALLS &&
      !isSuspected() &&
      isEntryCurrent() &&
      unacknowledgedStarts.open(timer.nowMs()).length === 0 &&
      !isReplaced &&
      fence() > refusedFence &&
      clock.nowMs() >= pausedUntilMs &&
      options.isAnnounced?.() !== false,
    isUnresponsive: () => unanswered >= UNRESPONSIVE_AFTER_CALLS,
    lastReportMs: () => lastReportMs,
    refresh,
    handleConnectionLost() {
      if (closing.signal.aborted) return;
      // A restart closes several connections.
      if (!isSuspected()) {
        const context = { endpoint: entry.id, bornMs, runs: runs.size };
        events.onLog('Endpoint has closed a connection.', context);
      }
      suspectedSinceMs = timer.nowMs();
      idleWake.resolve(undefined);
      restartProbe.begin();
    },
    room,
    runs: () => runs.values(),
    orphanedRuns: () => orphanedRuns.all(),
    isEmpty,
    unacknowledgedStarts: () => unacknowledgedStarts.all(timer.nowMs()),
    mayCarryOut(key, run) {
      const nowMs = timer.nowMs();
      const starts = mayHaveRestarted()
        ? unacknowledgedStarts.all(nowMs)
        : unacknowledgedStarts.open(nowMs);
      return starts.some((unresolved) => unresolved.key === key && unresolved.run === run);
    },
    start,
    startsInFlight: () => startsInFlight,
    stop,
    claim,
    close() {
      closing.abort();
      idleWake.resolve(undefined);
      endpoint.close();
    },
  };
}
