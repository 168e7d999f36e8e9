/** Whether the store is in reach of this instance, from the outcome of each call to it. */
import type { Logger } from '@celerybarrow/telemetry';
import type { ElapsedClock } from '@celerybarrow/timer';

/** Time without an answer after which the store counts as out of reach; renewals come every second. */
const STORE_SILENCE_MS = 2_500;

export interface StoreContact {
  record(isReachable: boolean): void;
  isReachable(): boolean;
  /** When the store last answered. */
  lastAnswerMs(): number;
}

export function createStoreContact(clock: ElapsedClock, logger: Logger): StoreContact {
  const createdMs = clock.nowMs();
  let lastAnswerMs = -Infinity;
  let hasFailed = true;

  return {
    record(isReachable) {
      if (isReachable === hasFailed) {
        const silentMs = Math.round(clock.nowMs() - Math.max(lastAnswerMs, createdMs));
        if (isReachable) logger.info('Store answers.', { silentMs });
        else logger.warn('Store does not answer.', { silentMs });
      }
      hasFailed = !isReachable;
      if (isReachable) lastAnswerMs = clock.nowMs();
    },
    isReachable: () => !hasFailed && clock.nowMs() - lastAnswerMs < STORE_SILENCE_MS,
    lastAnswerMs: () => lastAnswerMs,
  };
}
