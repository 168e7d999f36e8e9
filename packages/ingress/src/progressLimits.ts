/**
 * Decides when a connection has taken too long. Handles clients that send or read very slowly or
 * stop half-way. Node.js has no limit for the rate of a body or for reading the responses, and
 * checks its own limits only every 30 s by default.
 */
import type { IngressLimits } from './ingressLimits.js';

const MS_PER_S = 1_000;

/** How far a connection has come. Times are undefined while their phase does not take place. */
export interface ConnectionProgress {
  /** Since when it has no open request and has sent nothing of the next one. */
  readonly idleSinceMs: number | undefined;
  /** Since when it has sent a part of a head. */
  readonly headSinceMs: number | undefined;
  readonly body: BodyProgress | undefined;
  /** Since when no part of the unread responses was taken. */
  readonly unsentSinceMs: number | undefined;
  /** When it is closed in any case; undefined for a connection that stays open. */
  readonly closesAtMs: number | undefined;
}

export interface BodyProgress {
  readonly sinceMs: number;
  readonly untilMs: number;
  readonly progressMs: number;
  readonly bytes: number;
}

export interface ProgressTimes {
  readonly headMs: number;
  readonly idleMs: number;
}

export const OverdueReasons = {
  IDLE: 'idle',
  HEAD: 'slow head',
  BODY: 'body not complete in time',
  STALLED_BODY: 'body stalled under pressure',
  SLOW_BODY: 'slow body under pressure',
  UNREAD: 'responses are not read',
  CLOSING: 'closing',
} as const;
export type OverdueReason = (typeof OverdueReasons)[keyof typeof OverdueReasons];

/** Returns why a connection is overdue, or undefined. */
export function findOverdue(
  progress: ConnectionProgress,
  nowMs: number,
  limits: Pick<IngressLimits, 'stallMs' | 'bodyBytesPerS' | 'unsentMs'> & ProgressTimes,
  isPressed: boolean,
): OverdueReason | undefined {
  const { idleSinceMs, headSinceMs, body, unsentSinceMs, closesAtMs } = progress;
  const isOver = (sinceMs: number | undefined, limitMs: number) =>
    sinceMs !== undefined && nowMs - sinceMs > limitMs;
  if (closesAtMs !== undefined) return nowMs >= closesAtMs ? OverdueReasons.CLOSING : undefined;
  if (isOver(headSinceMs, limits.headMs)) return OverdueReasons.HEAD;
  if (headSinceMs === undefined && isOver(idleSinceMs, limits.idleMs)) return OverdueReasons.IDLE;
  if (isOver(unsentSinceMs, limits.unsentMs)) return OverdueReasons.UNREAD;
  return body === undefined ? undefined : findOverdueBody(body, nowMs, limits, isPressed);
}

/**
 * The rate is limited only under pressure: a caller may send a body as slowly as its own time and
 * the time for a whole body allow.
 */
function findOverdueBody(
  { sinceMs, untilMs, progressMs, bytes }: BodyProgress,
  nowMs: number,
  { stallMs, bodyBytesPerS }: Pick<IngressLimits, 'stallMs' | 'bodyBytesPerS'>,
  isPressed: boolean,
): OverdueReason | undefined {
  if (nowMs >= untilMs) return OverdueReasons.BODY;
  if (!isPressed) return undefined;
  if (nowMs - progressMs > stallMs) return OverdueReasons.STALLED_BODY;
  const elapsedMs = nowMs - sinceMs;
  const leastBytes = (elapsedMs / MS_PER_S) * bodyBytesPerS;
  return elapsedMs > stallMs && bytes < leastBytes ? OverdueReasons.SLOW_BODY : undefined;
}
