/**
 * The timer service of one simulated process. While the process is frozen its clocks go on but
 * nothing is called; what fell due meanwhile is called when it resumes.
 */
import type { ManualTimer, TimerService } from '@celerybarrow/timer';

export interface PausableTimer extends TimerService {
  isPaused(): boolean;
  pause(): void;
  resume(): void;
}

export function createPausableTimer(timer: ManualTimer): PausableTimer {
  const missed = new Set<() => void>();
  let isPaused = false;

  /** Wraps a call, so that it waits for the end of a pause; repeated calls wait once. */
  function whenRunning(subscriber: () => void): () => void {
    return () => {
      if (isPaused) missed.add(subscriber);
      else subscriber();
    };
  }

  function schedule(start: (call: () => void) => () => void, subscriber: () => void): () => void {
    const cancel = start(whenRunning(subscriber));
    return () => {
      cancel();
      missed.delete(subscriber);
    };
  }

  function onAfter(delayMs: number, subscriber: () => void): () => void {
    return schedule((call) => timer.onAfter(delayMs, call), subscriber);
  }

  function sleep(delayMs: number, signal?: AbortSignal): Promise<void> {
    return new Promise((resolve) => {
      const finish = () => {
        cancel();
        signal?.removeEventListener('abort', finish);
        resolve();
      };
      const cancel = onAfter(signal?.aborted === true ? 0 : delayMs, finish);
      signal?.addEventListener('abort', finish, { once: true });
    });
  }

  return {
    wallMs: () => timer.wallMs(),
    nowMs: () => timer.nowMs(),
    onEvery: (everyMs, subscriber) => schedule((call) => timer.onEvery(everyMs, call), subscriber),
    onAfter,
    onTimeout: onAfter,
    sleep,
    isPaused: () => isPaused,
    pause() {
      isPaused = true;
    },
    resume() {
      isPaused = false;
      const due = [...missed];
      missed.clear();
      for (const call of due) call();
    },
  };
}
