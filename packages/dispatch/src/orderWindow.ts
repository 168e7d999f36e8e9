/**
 * Limits the start orders that are sent but not yet answered, in bytes, to what the link and the
 * processor of this instance carry.
 *
 * Load pattern: jobs with long payloads on a link that is nearly full. Each task gets the payload, so
 * a job of eight tasks occupies a slow link for a tenth of a second. Orders beyond its rate would wait
 * in the socket until they count as unanswered, and would then be stopped and sent again.
 *
 * The window shrinks while answers take long and grows while they are fast. Orders without an answer
 * do not shrink it, because that is how the loss of an endpoint looks as well.
 */
import type { MonotonicClock } from '@celerybarrow/timer';

const MAX_WINDOW_BYTES = 1_024 * 1_024;
/** Before the rate of the link is known. */
const INITIAL_WINDOW_BYTES = 96 * 1_024;
const MIN_WINDOW_BYTES = 24 * 1_024;
/** Answers that take longer are a sign of a queue in front of the link or the event loop. */
const LONG_ANSWER_MS = 70;
/** Size of an order without its payload, with the headers. */
const OVERHEAD_BYTES = 400;
/** Pause between two reductions, so that the answers of one burst cause one. */
const REDUCTION_INTERVAL_MS = 100;
const REDUCTION_FACTOR = 0.6;
/** The rate of the link is measured over this time. */
const RATE_WINDOW_MS = 1_000;

export interface OrderWindow {
  /** Whether no order is open. A job larger than the window can then start. */
  isEmpty(): boolean;
  /** Whether orders with these bytes fit beside those that are open. */
  hasRoom(bytes: number): boolean;
  /** Records an order. Call the result when the order was answered, or got no answer. */
  open(payload: string): (isAnswered: boolean) => void;
  /** Returns the expected time to send orders with these bytes after those that are open. */
  drainMs(bytes: number): number;
}

/** Returns the bytes of the start order of one task. */
export function orderBytes(payload: string): number {
  return payload.length + OVERHEAD_BYTES;
}

export function createOrderWindow(clock: MonotonicClock): OrderWindow {
  let windowBytes = INITIAL_WINDOW_BYTES;
  let openBytes = 0;
  let reducedMs = -Infinity;
  let answered: { readonly atMs: number; readonly bytes: number }[] = [];
  let forgottenMs = -Infinity;

  function forgetOldAnswers(nowMs: number): void {
    answered = answered.filter(({ atMs }) => nowMs - atMs < RATE_WINDOW_MS);
    forgottenMs = nowMs;
  }

  function recordAnswer(bytes: number, tookMs: number): void {
    const nowMs = clock.nowMs();
    // Nobody asks for the rate while the window is wide, so the list is also bounded here.
    if (nowMs - forgottenMs >= RATE_WINDOW_MS) forgetOldAnswers(nowMs);
    answered.push({ atMs: nowMs, bytes });
    if (tookMs <= LONG_ANSWER_MS) {
      windowBytes = Math.min(MAX_WINDOW_BYTES, windowBytes + bytes);
    } else if (nowMs - reducedMs >= REDUCTION_INTERVAL_MS) {
      reducedMs = nowMs;
      const usedBytes = Math.min(windowBytes, openBytes + bytes);
      windowBytes = Math.max(MIN_WINDOW_BYTES, usedBytes * REDUCTION_FACTOR);
    }
  }

  /** Returns the rate at which orders were answered lately; infinite while the window is wide. */
  function bytesPerMs(): number {
    if (windowBytes === MAX_WINDOW_BYTES) return Infinity;
    forgetOldAnswers(clock.nowMs());
    return answered.reduce((sum, { bytes }) => sum + bytes, 0) / RATE_WINDOW_MS;
  }

  return {
    isEmpty: () => openBytes === 0,
    hasRoom: (bytes) => openBytes + bytes <= windowBytes,
    open(payload) {
      const bytes = orderBytes(payload);
      const sentMs = clock.nowMs();
      openBytes += bytes;
      return (isAnswered) => {
        openBytes -= bytes;
        if (isAnswered) recordAnswer(bytes, clock.nowMs() - sentMs);
      };
    },
    drainMs: (bytes) => (openBytes + bytes) / Math.max(1, bytesPerMs()),
  };
}
