/** Why an attempt to have a dispatcher run a job ended without an outcome, so that another follows. */
import type { LogContext } from '@celerybarrow/telemetry';

export const AttemptEnds = {
  /** The dispatcher returned the job, and may have started tasks of it. */
  MOVED: 'moved',
  /** The dispatcher returned the job, and started nothing. */
  MOVED_UNTOUCHED: 'moved-untouched',
  /** The request did not leave this instance. */
  NOT_SENT: 'not-sent',
  /** The request timed out or its connection closed; the dispatcher may have the job. */
  NO_ANSWER: 'no-answer',
} as const;
export type AttemptEnd = (typeof AttemptEnds)[keyof typeof AttemptEnds];

export interface Retry {
  readonly end: AttemptEnd;
  readonly reason: string;
}

/** Whether the attempt cannot have started the job. */
export function isUntouched({ end }: Retry): boolean {
  return end === AttemptEnds.MOVED_UNTOUCHED || end === AttemptEnds.NOT_SENT;
}

export interface AttemptTimes {
  readonly startedMs: number;
  readonly endedMs: number;
  /** When the newest heartbeat was sent that the dispatcher has answered; undefined if none was. */
  readonly lastContactMs: number | undefined;
}

/** Returns the log context of an attempt that has ended; all times are on the monotonic clock. */
export function describeRetry({ end, reason }: Retry, times: AttemptTimes): LogContext {
  const { startedMs, endedMs, lastContactMs } = times;
  return {
    end,
    reason,
    attemptMs: Math.round(endedMs - startedMs),
    lastContactAgoMs: lastContactMs === undefined ? undefined : Math.round(endedMs - lastContactMs),
  };
}
