/**
 * Runs long pieces of work one at a time, with a turn of the event loop between two of them. Handles
 * many large documents that arrive at once: parsed in a row, they would keep the process from
 * serving other connections for seconds.
 */
import type { MonotonicClock } from '@celerybarrow/timer';

/** A cautious estimate before anything is measured. */
const INITIAL_MS_PER_BYTE = 1e-4;
const WEIGHT_OF_LAST = 0.2;

export interface TurnQueue {
  /**
   * Queues a piece of work of about `bytes`. Returns undefined if it would wait for too long, and
   * otherwise a function that takes it out of the queue.
   */
  add(bytes: number, work: () => void): (() => void) | undefined;
  /** Estimated time until all queued work is done. */
  waitMs(): number;
  size(): number;
}

export interface TurnQueueOptions {
  readonly maxWaitMs: number;
  readonly clock: MonotonicClock;
  /** Calls back after the event loop has handled its other input. */
  readonly defer: (work: () => void) => void;
  readonly onError: (error: unknown) => void;
}

interface QueuedWork {
  readonly bytes: number;
  readonly work: () => void;
}

export function createTurnQueue({ maxWaitMs, clock, defer, onError }: TurnQueueOptions): TurnQueue {
  const queue = new Set<QueuedWork>();
  let queuedBytes = 0;
  let msPerByte = INITIAL_MS_PER_BYTE;
  let isScheduled = false;

  function schedule(): void {
    if (isScheduled || queue.size === 0) return;
    isScheduled = true;
    defer(runNext);
  }

  function remove(queued: QueuedWork): void {
    if (queue.delete(queued)) queuedBytes -= queued.bytes;
  }

  function runNext(): void {
    isScheduled = false;
    const [next] = queue;
    if (next === undefined) return;
    remove(next);
    const startedMs = clock.nowMs();
    try {
      next.work();
    } catch (error) {
      onError(error);
    }
    const measured = (clock.nowMs() - startedMs) / Math.max(1, next.bytes);
    msPerByte += WEIGHT_OF_LAST * (measured - msPerByte);
    schedule();
  }

  return {
    add(bytes, work) {
      if (queuedBytes * msPerByte > maxWaitMs) return undefined;
      const queued = { bytes, work };
      queue.add(queued);
      queuedBytes += bytes;
      schedule();
      return () => {
        remove(queued);
      };
    },
    waitMs: () => queuedBytes * msPerByte,
    size: () => queue.size,
  };
}
