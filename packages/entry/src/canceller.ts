/**
 * Cancels jobs, and keeps them cancelled while dispatchers are replaced.
 *
 * Fault patterns:
 * - A dispatcher is being replaced, and the next one does not know the jobs of all gateways yet. The
 *   cancellation is repeated until an answer is certain.
 * - The dispatcher that cancelled a job is replaced, and the caller submits the job again. The entry
 *   that acknowledged the cancellation repeats it to each new dispatcher.
 * - The job reaches the new dispatcher before that, or this entry is lost together with the dispatcher.
 *   Every entry learns the cancellations with its heartbeats. It passes them to a dispatcher of its
 *   own instance, and names them when it hands such a job over.
 */
import type { Result } from 'true-myth';
import { createCancelledJobs } from '@celerybarrow/shared';
import type { ElapsedClock, TimerService } from '@celerybarrow/timer';
import type { ProtocolError, Withdrawal } from '@celerybarrow/protocol';
import type { Logger } from '@celerybarrow/telemetry';
import type { LocalDispatcher, Route } from './route.js';

/** Pause before an uncertain or undelivered cancellation is repeated. */
const RETRY_MS = 100;
/** Within this time a failed dispatcher is usually replaced and knows its jobs. */
const CANCEL_TIMEOUT_MS = 3_000;
const TELL_TIMEOUT_MS = 900;
/** Cancellations that are repeated in one message. */
const REPEATED_PER_MESSAGE = 1_000;
/** Attempts to repeat them to one dispatcher, which may not be reachable at once. */
const REPETITION_ATTEMPTS = 10;

export const Cancellations = {
  /** The job was open and does not run on. */
  CANCELLED: 'cancelled',
  NO_SUCH_JOB: 'no such job',
  /** Not every dispatcher could be asked in time; the job may run on. */
  UNANSWERED: 'unanswered',
} as const;
export type Cancellation = (typeof Cancellations)[keyof typeof Cancellations];

export interface Canceller {
  /** Cancels a job. Repeats this while a dispatcher is being replaced. */
  cancel(job: string): Promise<Cancellation>;
  /** Remembers jobs that a dispatcher on this instance has cancelled. */
  remember(jobs: readonly string[]): void;
  /** Learns jobs that a dispatcher on another instance has cancelled. They are not repeated to others. */
  learn(jobs: readonly string[]): void;
  /** Whether the job is known here to be cancelled. */
  isCancelled(job: string): boolean;
  /** Repeats the remembered cancellations to the present dispatcher of a shard. */
  repeat(shard: number): Promise<void>;
}

export interface CancellerOptions {
  readonly routes: () => readonly Route[];
  /** Returns the dispatcher of a shard if this instance dispatches it. */
  readonly localOf: (route: Route) => LocalDispatcher | undefined;
  readonly withdraw: (route: Route, job: string) => Promise<Result<Withdrawal, ProtocolError>>;
  /** Marks a job that is open here as cancelled. Returns whether there is one. */
  readonly markOpenJob: (job: string) => boolean;
  /** When the entry closes, on the elapsed clock. */
  readonly closesAtMs: () => number;
  readonly timer: TimerService;
  readonly clock: ElapsedClock;
  readonly logger: Logger;
}

export function createCanceller(options: CancellerOptions): Canceller {
  const { routes, localOf, withdraw, timer, clock, logger } = options;
  const cancelledJobs = createCancelledJobs(timer);
  const learnedJobs = createCancelledJobs(timer);

  /** Cancels a job at the dispatchers of all shards, since the id alone does not give the shard. */
  async function cancel(id: string): Promise<Cancellation> {
    const untilMs = Math.min(clock.nowMs() + CANCEL_TIMEOUT_MS, options.closesAtMs());
    let wasOpen = options.markOpenJob(id);
    for (let attempt = 1; ; attempt += 1) {
      const asked = routes();
      const replies = await Promise.all(asked.map((route) => cancelAt(route, id)));
      wasOpen ||= replies.some(({ found }) => found);
      const isUncertain = asked.length === 0 || replies.some((reply) => reply.isUncertain === true);
      if (!isUncertain || replies.some((reply) => reply.found && reply.isUncertain !== true)) {
        cancelledJobs.record(id);
        return wasOpen ? Cancellations.CANCELLED : Cancellations.NO_SUCH_JOB;
      }
      if (attempt === 1) logger.warn('Cancellation is repeated.', { job: id, wasOpen });
      if (clock.nowMs() >= untilMs) return Cancellations.UNANSWERED;
      await timer.sleep(RETRY_MS);
    }
  }

  /** Cancels a job at one dispatcher. The answer of one that was replaced meanwhile is uncertain. */
  async function cancelAt(route: Route, id: string): Promise<Withdrawal> {
    const view = route.leadership.view();
    const reply = await withdraw(route, id);
    if (reply.isErr) return { found: false, isUncertain: true };
    const isReplaced = route.leadership.view() !== view;
    return isReplaced ? { ...reply.value, isUncertain: true } : reply.value;
  }

  async function repeat(shard: number): Promise<void> {
    const present = routes()[shard];
    const view = present?.leadership.view();
    const isLocal = present !== undefined && localOf(present) !== undefined;
    const jobs = [...cancelledJobs.all(), ...(isLocal ? learnedJobs.all() : [])];
    for (let from = 0; from < jobs.length; from += REPEATED_PER_MESSAGE) {
      const repeated = jobs.slice(from, from + REPEATED_PER_MESSAGE);
      for (let attempt = 0; attempt < REPETITION_ATTEMPTS; attempt += 1) {
        const route = routes()[shard];
        // A newer dispatcher is told by a call of its own.
        if (route === undefined || route.leadership.view() !== view) return;
        if (await tellCancelled(route, repeated)) break;
        await timer.sleep(RETRY_MS);
      }
    }
    if (jobs.length === 0) return;
    logger.info('Cancellations are repeated.', { shard, jobs: jobs.length, epoch: view?.epoch });
  }

  /** Tells a dispatcher which jobs were cancelled. Resolves to whether it knows them then. */
  async function tellCancelled(route: Route, jobs: readonly string[]): Promise<boolean> {
    const local = localOf(route);
    for (const job of jobs) local?.withdraw(job);
    if (local !== undefined) return true;
    const request = { shard: route.leadership.shard, jobs: [...jobs] };
    const reply = await route.leadership
      .link()
      ?.request('cancellations', request, { timeoutMs: TELL_TIMEOUT_MS });
    return reply?.isOk === true && reply.value.isRecorded;
  }

  return {
    cancel,
    remember(jobs) {
      for (const job of jobs) cancelledJobs.record(job);
    },
    learn(jobs) {
      for (const job of jobs) learnedJobs.record(job);
    },
    isCancelled: (job) => cancelledJobs.has(job) || learnedJobs.has(job),
    repeat,
  };
}
