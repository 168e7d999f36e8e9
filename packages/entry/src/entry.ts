/**
 * Takes jobs from callers at any instance and hands them to the dispatcher, here or elsewhere. When
 * the dispatcher changes, the job goes to the next one, which claims what runs already; a job that
 * was never handed over is refused truthfully, one that may have run is answered as lost.
 */
import type { ElapsedClock, TimerService } from '@celerybarrow/timer';
import { JobStates, type JobOutcome, type LeasedJob, type View } from '@celerybarrow/protocol';
import type { Leadership } from '@celerybarrow/leadership';
import type { Logger } from '@celerybarrow/telemetry';

/** How long a job that no dispatcher has seen waits for one. */
const UNSENT_WAIT_MS = 600;
/** How long a job that was handed over waits for the next dispatcher. */
const SENT_WAIT_MS = 900;
/** Interval at which a waiting job looks for a dispatcher. */
const LOOK_INTERVAL_MS = 20;
/** Time that the answer of the dispatcher may come after the caller's own time. */
const ANSWER_GRACE_MS = 150;
/** The dispatcher is usually found again within this time. */
const RETRY_AFTER_MS = 1_000;

export interface LocalDispatch {
  submit(submission: {
    job: LeasedJob;
    gateway: string;
    resubmissions: number;
    heldOn?: readonly string[];
  }): Promise<JobOutcome>;
  withdraw(job: string, gateway?: string): boolean;
}

export interface EntryOptions {
  readonly instance: string;
  readonly leadership: Leadership;
  /** The dispatcher of this instance, while it dispatches. */
  readonly local: () => LocalDispatch | undefined;
  readonly timer: TimerService;
  readonly clock: ElapsedClock;
  readonly logger: Logger;
}

export interface Entry {
  /** Resolves when the job has ended; the signal is aborted when the caller leaves. */
  submit(job: LeasedJob, signal: AbortSignal): Promise<JobOutcome>;
  /** Cancels a running job; false if it is not known. */
  cancel(job: string): Promise<boolean>;
  isKnown(job: string): boolean;
  openJobs(): number;
}

interface OpenJob {
  readonly job: LeasedJob;
  readonly startedMs: number;
  readonly signal: AbortSignal;
  resubmissions: number;
  /** The view under which it was handed over last. */
  sentUnder?: View;
  /** Endpoints on which runs of the job were left by the dispatchers it moved away from. */
  readonly heldOn: Set<string>;
}

/** The end of one attempt to have a job run; undefined calls for another attempt. */
type Attempt = JobOutcome | undefined;

export function createEntry(options: EntryOptions): Entry {
  const { instance, leadership, timer, clock, logger } = options;
  const open = new Map<string, OpenJob>();

  async function submit(job: LeasedJob, signal: AbortSignal): Promise<JobOutcome> {
    const one: OpenJob = {
      job,
      signal,
      startedMs: clock.nowMs(),
      resubmissions: 0,
      heldOn: new Set(),
    };
    open.set(job.id, one);
    const onLeave = () => {
      void withdraw(job.id, instance);
    };
    signal.addEventListener('abort', onLeave, { once: true });
    try {
      return await carry(one);
    } finally {
      signal.removeEventListener('abort', onLeave);
      if (open.get(job.id) === one) open.delete(job.id);
    }
  }

  async function carry(one: OpenJob): Promise<JobOutcome> {
    for (;;) {
      if (one.signal.aborted) return { state: JobStates.EXPIRED, reason: 'the caller left' };
      if (remainingMs(one) <= 0) return overtime(one);
      const view = await findDispatcher(one);
      if (view === undefined) return withoutDispatcher(one);
      const outcome = await attempt(one, view);
      if (outcome !== undefined) return outcome;
      one.resubmissions += 1;
      if (leadership.view() === view) await timer.sleep(LOOK_INTERVAL_MS);
      logger.warn('Job is handed over again.', {
        job: one.job.id,
        epoch: view.epoch,
        resubmissions: one.resubmissions,
      });
    }
  }

  function remainingMs(one: OpenJob): number {
    return one.job.remainingMs - (clock.nowMs() - one.startedMs);
  }

  /** Waits until a dispatcher can be reached, within bounds. */
  async function findDispatcher(one: OpenJob): Promise<View | undefined> {
    const sinceMs = clock.nowMs();
    const limitMs = one.sentUnder === undefined ? UNSENT_WAIT_MS : SENT_WAIT_MS;
    const untilMs = sinceMs + Math.min(limitMs, remainingMs(one));
    for (;;) {
      const view = leadership.view();
      if (view !== undefined && isReady()) return view;
      if (one.signal.aborted || clock.nowMs() >= untilMs) return undefined;
      await timer.sleep(LOOK_INTERVAL_MS);
    }
  }

  function isReady(): boolean {
    if (leadership.isDispatching()) return options.local() !== undefined;
    return leadership.link()?.isConnected() === true;
  }

  async function attempt(one: OpenJob, view: View): Promise<Attempt> {
    const remaining = remainingMs(one);
    const ageMs = one.job.ageMs + (clock.nowMs() - one.startedMs);
    const job = { ...one.job, ageMs, remainingMs: remaining };
    const { resubmissions, heldOn } = one;
    const submission = { job, gateway: instance, resubmissions, heldOn: [...heldOn] };
    const local = leadership.isDispatching() ? options.local() : undefined;
    if (local !== undefined) {
      one.sentUnder = view;
      return settle(one, await local.submit(submission));
    }
    const link = leadership.link();
    if (link === undefined) return undefined;
    const reply = await link.request('dispatch', submission, {
      timeoutMs: remaining + ANSWER_GRACE_MS,
    });
    if (reply.isErr && reply.error.isUnsent) {
      await timer.sleep(LOOK_INTERVAL_MS);
      return undefined;
    }
    one.sentUnder = view;
    if (reply.isOk) return settle(one, reply.value);
    return undefined;
  }

  function settle(one: OpenJob, outcome: JobOutcome): Attempt {
    if (outcome.state !== JobStates.MOVED) return outcome;
    for (const endpoint of outcome.heldOn ?? []) one.heldOn.add(endpoint);
    return undefined;
  }

  function overtime(one: OpenJob): JobOutcome {
    const reason = "the caller's time is over";
    if (one.sentUnder !== undefined) return { state: JobStates.EXPIRED, reason };
    return { state: JobStates.REFUSED, reason, retryAfterMs: RETRY_AFTER_MS };
  }

  function withoutDispatcher(one: OpenJob): JobOutcome {
    const reason = 'no dispatcher can be reached';
    if (one.sentUnder !== undefined) return { state: JobStates.LOST, reason };
    return { state: JobStates.REFUSED, reason, retryAfterMs: RETRY_AFTER_MS };
  }

  async function withdraw(id: string, gateway?: string): Promise<boolean> {
    const local = leadership.isDispatching() ? options.local() : undefined;
    if (local !== undefined) return local.withdraw(id, gateway);
    const ask = gateway === undefined ? { job: id } : { job: id, gateway };
    const reply = await leadership.link()?.request('withdraw', ask, { timeoutMs: UNSENT_WAIT_MS });
    return reply?.isOk === true && reply.value.found;
  }

  return {
    submit,
    cancel: (job) => withdraw(job),
    isKnown: (id) => open.has(id),
    openJobs: () => open.size,
  };
}
