/**
 * The entry of an instance accepts jobs from callers and hands each job over to the dispatcher of
 * its shard, on this instance or on another one. When the dispatcher changes, the entry resubmits
 * the job to the next one, which claims the runs that exist already. If no dispatcher can be
 * reached, a job that was never handed over is refused, and one that may have run is answered as
 * lost.
 *
 * Before the instance ends, the entry closes: no job is left without an answer.
 */
import { Result } from 'true-myth';
import { ErrorCodes } from '@celerybarrow/shared';
import type { ElapsedClock, TimerService } from '@celerybarrow/timer';
import {
  CANCELLED_OUTCOME,
  JobStates,
  ProtocolError,
  type JobOutcome,
  type LeasedJob,
  type View,
  type Withdrawal,
} from '@celerybarrow/protocol';
import type { Logger } from '@celerybarrow/telemetry';
import { createCanceller, type Cancellation } from './canceller.js';
import { isDeadlineUnreachable } from './deadline.js';
import { AttemptEnds, describeRetry, isUntouched, type Retry } from './retry.js';
import type { LocalDispatcher, Route } from './route.js';

/** How long a job that was not handed over yet waits for a dispatcher. */
const UNSENT_WAIT_MS = 900;
/** How long a job that was handed over waits for the next dispatcher. */
const SENT_WAIT_MS = 900;
/** Interval at which a waiting job checks for a dispatcher. */
const POLL_INTERVAL_MS = 20;
/** How long the dispatcher of another shard may take to say whether it has a job. */
const LOOK_UP_TIMEOUT_MS = 200;
/** Pause before an unanswered withdrawal is repeated. */
const WITHDRAWAL_RETRY_MS = 100;
/** How long after the caller's deadline the answer of the dispatcher may arrive. */
const ANSWER_GRACE_MS = 150;
/** Time within which a dispatcher usually becomes reachable again. */
const RETRY_AFTER_MS = 1_000;
const CLOSING_REASON = 'this instance stops';

export interface EntryOptions {
  readonly instance: string;
  /** Returns the shard of a job; undefined before the shards of the fleet are known. */
  readonly shardOf: (job: LeasedJob) => number | undefined;
  /** Returns other shards that the job belonged to a short time ago; none by default. */
  readonly earlierShardsOf?: (job: LeasedJob) => readonly number[];
  /** Returns the routes to the dispatchers of all shards, by shard. */
  readonly routes: () => readonly Route[];
  readonly timer: TimerService;
  readonly clock: ElapsedClock;
  readonly logger: Logger;
}

/**
 * How a job ended, with the shard and the epoch of the last dispatcher that had it. The epoch is
 * undefined if the job was never handed over.
 */
export interface EntryOutcome extends JobOutcome {
  readonly shard: number | undefined;
  readonly epoch: number | undefined;
  /** How often the job was resubmitted to a dispatcher. */
  readonly resubmissions: number;
}

/** Accepts jobs from callers and has the dispatchers of their shards run them. */
export interface Entry {
  /** Resolves when the job has ended. Abort the signal when the caller disconnects. */
  submit(job: LeasedJob, signal: AbortSignal): Promise<EntryOutcome>;
  /** Cancels a job. Repeats this while a dispatcher is being replaced. */
  cancel(job: string): Promise<Cancellation>;
  /** Remembers jobs that a dispatcher on this instance has cancelled. */
  rememberCancelled(jobs: readonly string[]): void;
  /** Learns jobs that a dispatcher on another instance has cancelled. */
  learnCancelled(jobs: readonly string[]): void;
  /** Repeats the remembered cancellations to the present dispatcher of a shard. */
  repeatCancellations(shard: number): Promise<void>;
  isKnown(job: string): boolean;
  openJobs(): number;
  /**
   * Closes the entry in `remainingMs`, before the instance ends. Jobs that cannot end by then are
   * refused, unless they may have run, and every job has its answer shortly after.
   */
  closeIn(remainingMs: number): void;
}

interface OpenJob {
  readonly job: LeasedJob;
  readonly startedMs: number;
  readonly signal: AbortSignal;
  /** Stays the same once it is known, so that each attempt finds the runs of the earlier ones. */
  shard?: number | undefined;
  resubmissions: number;
  /** The view under which the job was last handed over. */
  lastView?: View | undefined;
  isCancelled: boolean;
  /** Whether a dispatcher on another instance has the job and has not answered yet. */
  isAwaitingReply: boolean;
  /**
   * Whether contact was lost with a disconnected dispatcher that had the job. Endpoints that only
   * that dispatcher knows may run it.
   */
  isLostWhileDisconnected: boolean;
  lostHandover?: LostHandover;
  /** Endpoints on which earlier dispatchers left runs of the job. */
  readonly heldOn: Set<string>;
}

/** The last dispatcher that had a job and gave no answer, and when the job was sent to it. */
interface LostHandover {
  readonly incarnation: string;
  readonly sentMs: number;
}

/** The result of one attempt to have a dispatcher run a job. */
type Attempt = JobOutcome | Retry;

export function createEntry(options: EntryOptions): Entry {
  const { instance, shardOf, routes, timer, clock, logger } = options;
  const earlierShardsOf = options.earlierShardsOf ?? (() => []);
  const openJobs = new Map<string, OpenJob>();
  /** Answer the jobs that are still open when the entry has closed. */
  const closers = new Set<() => void>();
  /** On the elapsed clock. */
  let closesAtMs = Infinity;

  async function submit(job: LeasedJob, signal: AbortSignal): Promise<EntryOutcome> {
    const openJob: OpenJob = {
      job,
      signal,
      startedMs: clock.nowMs(),
      resubmissions: 0,
      isCancelled: false,
      isAwaitingReply: false,
      isLostWhileDisconnected: false,
      heldOn: new Set(),
    };
    openJobs.set(job.id, openJob);
    const onCallerLeft = () => {
      void withdrawUntilAnswered(openJob);
    };
    signal.addEventListener('abort', onCallerLeft, { once: true });
    try {
      const outcome = await dispatchUntilClosed(openJob);
      if (outcome.isCancelled === true) canceller.learn([job.id]);
      const { shard, resubmissions } = openJob;
      return { ...outcome, shard, epoch: openJob.lastView?.epoch, resubmissions };
    } finally {
      signal.removeEventListener('abort', onCallerLeft);
      if (openJobs.get(job.id) === openJob) openJobs.delete(job.id);
    }
  }

  /** Answers the job itself if its dispatcher has not done so when the entry has closed. */
  function dispatchUntilClosed(openJob: OpenJob): Promise<JobOutcome> {
    return new Promise((resolve, reject) => {
      const answerAtClose = () => {
        resolve(closedOutcome(openJob));
      };
      closers.add(answerAtClose);
      dispatchUntilEnded(openJob)
        .then(resolve, reject)
        .finally(() => closers.delete(answerAtClose));
    });
  }

  async function dispatchUntilEnded(openJob: OpenJob): Promise<JobOutcome> {
    for (;;) {
      if (openJob.isCancelled) return CANCELLED_OUTCOME;
      if (!openJob.signal.aborted && isOverdue(openJob)) return expiredOutcome(openJob);
      const view = await waitForDispatcher(openJob);
      if (openJob.signal.aborted) return { state: JobStates.EXPIRED, reason: 'the caller left' };
      if (view === undefined) return unreachableOutcome(openJob);
      if (openJob.isLostWhileDisconnected && view !== openJob.lastView) return lostOutcome(openJob);
      const previousView = openJob.lastView;
      const startedMs = timer.nowMs();
      const result = await attempt(openJob, view);
      if ('state' in result) return result;
      const endedMs = timer.nowMs();
      // An attempt that cannot have started the job leaves no earlier runs to look for.
      if (isUntouched(result)) openJob.lastView = previousView;
      if (openJob.lastView !== undefined) openJob.resubmissions += 1;
      const lastContactMs = routeOf(openJob)?.leadership.lastContactMs(view.dispatcher.incarnation);
      if (routeOf(openJob)?.leadership.view() === view) await timer.sleep(POLL_INTERVAL_MS);
      logger.warn('Job is handed over again.', {
        job: openJob.job.id,
        shard: openJob.shard,
        dispatcher: view.dispatcher.instance,
        epoch: view.epoch,
        round: view.round,
        resubmissions: openJob.resubmissions,
        heldOn: [...openJob.heldOn].join(' '),
        ...describeRetry(result, { startedMs, endedMs, lastContactMs }),
      });
    }
  }

  function routeOf({ shard }: OpenJob): Route | undefined {
    return shard === undefined ? undefined : routes()[shard];
  }

  /**
   * Determines the shard of a job. Prefers an earlier shard that may have runs of the same id,
   * whether they were submitted at this instance or at another one.
   */
  async function resolveShard(openJob: OpenJob): Promise<void> {
    if (openJob.shard !== undefined) return;
    const shard = shardOf(openJob.job);
    if (shard === undefined) return;
    openJob.shard = (await findEarlierShard(openJob.job)) ?? shard;
  }

  async function findEarlierShard(job: LeasedJob): Promise<number | undefined> {
    for (const shard of earlierShardsOf(job)) {
      const route = routes()[shard];
      if (route === undefined || !(await mayKnowJob(route, job.id))) continue;
      logger.info('Job stays with its earlier shard.', { job: job.id, shard });
      return shard;
    }
    return undefined;
  }

  /** Whether the dispatcher of a shard may have the job; true if the dispatcher does not answer. */
  async function mayKnowJob(route: Route, id: string): Promise<boolean> {
    const local = localOf(route);
    if (local !== undefined) return local.isKnown(id);
    const request = { shard: route.leadership.shard, job: id };
    const reply = await route.leadership
      .link()
      ?.request('lookUp', request, { timeoutMs: LOOK_UP_TIMEOUT_MS });
    return reply?.isOk !== true || reply.value.isKnown;
  }

  function elapsedMs(openJob: OpenJob): number {
    return clock.nowMs() - openJob.startedMs;
  }

  function remainingMs(openJob: OpenJob): number {
    const untilClosedMs = closesAtMs - clock.nowMs();
    return Math.min(openJob.job.remainingMs - elapsedMs(openJob), untilClosedMs);
  }

  /**
   * Whether the job must not be handed over any more. A closing entry hands no job over that cannot
   * end before it closes: another instance can still serve that job.
   */
  function isOverdue(openJob: OpenJob): boolean {
    if (remainingMs(openJob) <= 0) return true;
    const isUnsent = openJob.lastView === undefined;
    return isClosing() && isUnsent && isDeadlineUnreachable(openJob.job, remainingMs(openJob));
  }

  function isClosing(): boolean {
    return closesAtMs < Infinity;
  }

  /**
   * Waits until the dispatcher of the job's shard can be reached. Returns undefined after the wait
   * limit, when the caller has disconnected, or when a job that was not handed over yet can no
   * longer finish before its deadline.
   */
  async function waitForDispatcher(openJob: OpenJob): Promise<View | undefined> {
    const sinceMs = clock.nowMs();
    const limitMs = openJob.lastView === undefined ? UNSENT_WAIT_MS : SENT_WAIT_MS;
    const untilMs = sinceMs + Math.min(limitMs, remainingMs(openJob));
    for (;;) {
      await resolveShard(openJob);
      if (openJob.signal.aborted) return undefined;
      const route = routeOf(openJob);
      const view = route?.leadership.view();
      if (route !== undefined && view !== undefined && isReady(route)) return view;
      if (clock.nowMs() >= untilMs) return undefined;
      if (
        openJob.lastView === undefined &&
        isDeadlineUnreachable(openJob.job, remainingMs(openJob))
      )
        return undefined;
      await timer.sleep(POLL_INTERVAL_MS);
    }
  }

  function isReady({ leadership, local }: Route): boolean {
    return leadership.isDispatching() ? local !== undefined : leadership.isDispatcherReachable();
  }

  /** Returns the dispatcher of a shard if this instance dispatches it. */
  function localOf({ leadership, local }: Route): LocalDispatcher | undefined {
    return leadership.isDispatching() ? local : undefined;
  }

  async function attempt(openJob: OpenJob, view: View): Promise<Attempt> {
    // The next dispatcher relies on the time since a lost handover as proof. That time is therefore
    // measured by the monotonic clock, which a step of the wall clock does not move.
    const sentMs = timer.nowMs();
    const remaining = remainingMs(openJob);
    const { incarnation } = view.dispatcher;
    const { resubmissions, heldOn, lostHandover } = openJob;
    const route = routeOf(openJob);
    const departuresVersion = route?.departuresVersion;
    const submission = {
      job: {
        ...openJob.job,
        ageMs: openJob.job.ageMs + elapsedMs(openJob),
        remainingMs: remaining,
      },
      gateway: instance,
      resubmissions,
      heldOn: [...heldOn],
      ...(lostHandover === undefined || lostHandover.incarnation === incarnation
        ? {}
        : { lostHandoverAgoMs: sentMs - lastActiveMs(openJob, lostHandover) }),
      ...(departuresVersion === undefined ? {} : { departuresVersion }),
      ...(canceller.isCancelled(openJob.job.id) ? { isCancelled: true } : {}),
    };
    const local = route === undefined ? undefined : localOf(route);
    if (local !== undefined) {
      openJob.lastView = view;
      return handleOutcome(openJob, await local.submit(submission));
    }
    const link = route?.leadership.link();
    if (route === undefined || link === undefined)
      return { end: AttemptEnds.NOT_SENT, reason: 'no connection to the dispatcher' };
    const request = {
      shard: route.leadership.shard,
      ...submission,
      sender: route.leadership.gatewayState(),
    };
    openJob.isAwaitingReply = true;
    const reply = await link.request('dispatch', request, {
      timeoutMs: remaining + ANSWER_GRACE_MS,
    });
    openJob.isAwaitingReply = false;
    if (reply.isErr && reply.error.isUnsent) {
      await timer.sleep(POLL_INTERVAL_MS);
      return { end: AttemptEnds.NOT_SENT, reason: reply.error.message };
    }
    openJob.lastView = view;
    if (reply.isOk) return handleOutcome(openJob, reply.value);
    openJob.lostHandover = { incarnation, sentMs };
    route.leadership.recordUnanswered(incarnation);
    // The next dispatcher may not know the endpoints that a disconnected one has used.
    openJob.isLostWhileDisconnected ||= view.round > 0;
    return { end: AttemptEnds.NO_ANSWER, reason: reply.error.message };
  }

  /** Returns until when a dispatcher that gave no answer may have started tasks of the job. */
  function lastActiveMs(openJob: OpenJob, { incarnation, sentMs }: LostHandover): number {
    return Math.max(sentMs, routeOf(openJob)?.leadership.lastContactMs(incarnation) ?? -Infinity);
  }

  function handleOutcome(openJob: OpenJob, outcome: JobOutcome): Attempt {
    if (outcome.state !== JobStates.MOVED) return outcome;
    for (const endpoint of outcome.heldOn ?? []) openJob.heldOn.add(endpoint);
    const { isUntouched: isReturnedUntouched, reason } = outcome;
    const end = isReturnedUntouched === true ? AttemptEnds.MOVED_UNTOUCHED : AttemptEnds.MOVED;
    return { end, reason };
  }

  function lostOutcome(openJob: OpenJob): JobOutcome {
    const reason = 'its dispatcher was lost apart from the others';
    logAbandoned(openJob, reason);
    return { state: JobStates.LOST, reason };
  }

  /**
   * Logs that the gateway abandons a job that was handed over. Its dispatcher is not informed and
   * may run the job until the lease of the gateway has ended there.
   */
  function logAbandoned(openJob: OpenJob, reason: string): void {
    const route = routeOf(openJob);
    logger.warn('Job is given up without a withdrawal.', {
      job: openJob.job.id,
      shard: openJob.shard,
      reason,
      epoch: openJob.lastView?.epoch,
      round: openJob.lastView?.round,
      dispatcher: openJob.lastView?.dispatcher.instance,
      currentDispatcher: route?.leadership.view()?.dispatcher.instance,
      resubmissions: openJob.resubmissions,
      ageMs: Math.round(clock.nowMs() - openJob.startedMs),
    });
  }

  function expiredOutcome(openJob: OpenJob): JobOutcome {
    const isCallerWaiting = elapsedMs(openJob) < openJob.job.remainingMs;
    const reason = isCallerWaiting ? CLOSING_REASON : "the caller's time is over";
    if (openJob.lastView !== undefined) {
      logAbandoned(openJob, reason);
      return { state: JobStates.EXPIRED, reason };
    }
    return { state: JobStates.REFUSED, reason, retryAfterMs: RETRY_AFTER_MS };
  }

  function closedOutcome(openJob: OpenJob): JobOutcome {
    if (!openJob.isAwaitingReply) return expiredOutcome(openJob);
    logAbandoned(openJob, CLOSING_REASON);
    return { state: JobStates.LOST, reason: CLOSING_REASON };
  }

  function unreachableOutcome(openJob: OpenJob): JobOutcome {
    const reason = 'no dispatcher can be reached';
    if (openJob.lastView !== undefined) {
      logAbandoned(openJob, reason);
      return { state: JobStates.LOST, reason };
    }
    return { state: JobStates.REFUSED, reason, retryAfterMs: RETRY_AFTER_MS };
  }

  /**
   * Withdraws the job of a caller that has disconnected. This gateway continues to send heartbeats,
   * so a dispatcher that did not receive the withdrawal would run the job until the caller's
   * deadline. The retries stop when the same id is submitted here again, because the dispatcher
   * could not tell the two submissions apart.
   */
  async function withdrawUntilAnswered(openJob: OpenJob): Promise<void> {
    for (let attempt = 1; remainingMs(openJob) > 0; attempt += 1) {
      const route = routeOf(openJob);
      const newest = openJobs.get(openJob.job.id) ?? openJob;
      if (route === undefined || newest !== openJob) return;
      const reply = await withdraw(route, openJob.job.id, instance);
      // A dispatcher that does not have the job may still receive it.
      if (reply.isOk && (reply.value.found || !openJob.isAwaitingReply)) return;
      if (reply.isErr && attempt === 1) logUnansweredWithdrawal(openJob, route, reply.error);
      await timer.sleep(WITHDRAWAL_RETRY_MS);
    }
  }

  /** Withdraws a job from a dispatcher. Resolves to whether the dispatcher had it. */
  async function withdraw(
    route: Route,
    id: string,
    gateway?: string,
  ): Promise<Result<Withdrawal, ProtocolError>> {
    const local = localOf(route);
    if (local !== undefined) return Result.ok(local.withdraw(id, gateway));
    const link = route.leadership.link();
    if (link === undefined) return Result.err(new ProtocolError(ErrorCodes.PEER_UNREACHABLE));
    const { shard } = route.leadership;
    const request = gateway === undefined ? { shard, job: id } : { shard, job: id, gateway };
    const untilClosedMs = closesAtMs - clock.nowMs();
    const timeoutMs = Math.max(0, Math.min(UNSENT_WAIT_MS, untilClosedMs));
    return link.request('withdraw', request, { timeoutMs });
  }

  function logUnansweredWithdrawal(
    openJob: OpenJob,
    { leadership }: Route,
    { message }: ProtocolError,
  ): void {
    logger.warn('Withdrawal got no answer.', {
      job: openJob.job.id,
      shard: leadership.shard,
      epoch: leadership.view()?.epoch,
      dispatcher: leadership.view()?.dispatcher.instance,
      reason: message,
    });
  }

  function closeIn(remaining: number): void {
    closesAtMs = clock.nowMs() + remaining;
    logger.info('Entry closes.', { remainingMs: remaining, openJobs: openJobs.size });
    for (const route of routes()) void limitJobs(route, remaining);
    timer.onAfter(remaining + ANSWER_GRACE_MS, () => {
      logger.info('Entry is closed.', { unansweredJobs: closers.size });
      for (const answerAtClose of closers) answerAtClose();
    });
  }

  /**
   * Tells a dispatcher that the jobs of this gateway have to end in `remaining` ms. Without its reply
   * the jobs are answered here when the entry has closed.
   */
  async function limitJobs(route: Route, remaining: number): Promise<void> {
    const local = localOf(route);
    if (local !== undefined) {
      local.limitJobs(instance, remaining);
      return;
    }
    const { shard } = route.leadership;
    const request = { shard, gateway: instance, remainingMs: remaining };
    const reply = await route.leadership
      .link()
      ?.request('limitJobs', request, { timeoutMs: UNSENT_WAIT_MS });
    if (reply?.isErr !== true) return;
    logger.warn('Limit of the open jobs got no answer.', { shard, reason: reply.error.message });
  }

  const canceller = createCanceller({
    routes,
    localOf,
    withdraw,
    markOpenJob(id) {
      const openJob = openJobs.get(id);
      if (openJob !== undefined) openJob.isCancelled = true;
      return openJob !== undefined;
    },
    closesAtMs: () => closesAtMs,
    timer,
    clock,
    logger,
  });

  return {
    submit,
    cancel: canceller.cancel,
    rememberCancelled: canceller.remember,
    learnCancelled: canceller.learn,
    repeatCancellations: canceller.repeat,
    isKnown: (id) => openJobs.has(id),
    openJobs: () => openJobs.size,
    closeIn,
  };
}
