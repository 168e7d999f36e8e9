/**
 * Simulates the process of one instance in virtual time. It can stall and be killed. A stalled process
 * runs no callback. When it resumes, it runs due timers first, then received messages, and timeouts
 * last, in the order of the event loop.
 */
import type { ManualTimer, TimerService, Unsubscribe } from '@celerybarrow/timer';

export interface SimulatedHost {
  readonly timer: TimerService;
  /** Runs the handler of a received message now, or after a stall when the process resumes. */
  receive(read: () => void): void;
  /** Stops all callbacks for the given time. */
  stall(forMs: number): void;
  isStalled(): boolean;
  /** Stops all callbacks permanently. */
  kill(): void;
  isKilled(): boolean;
}

export function createSimulatedHost(timer: ManualTimer): SimulatedHost {
  const dueTimers: (() => void)[] = [];
  const receivedMessages: (() => void)[] = [];
  const dueTimeouts: (() => void)[] = [];
  let stalledUntilMs = -Infinity;
  let isKilled = false;

  const isStalled = () => timer.nowMs() < stalledUntilMs;

  function callOrQueue(queue: (() => void)[], subscriber: () => void): void {
    if (isKilled) return;
    if (isStalled()) queue.push(subscriber);
    else subscriber();
  }

  function subscribe(
    queue: (() => void)[],
    subscriber: () => void,
    arm: (fire: () => void) => Unsubscribe,
  ): Unsubscribe {
    let isCancelled = false;
    const cancel = arm(() => {
      callOrQueue(queue, () => {
        if (!isCancelled) subscriber();
      });
    });
    return () => {
      isCancelled = true;
      cancel();
    };
  }

  const onAfter = (delayMs: number, subscriber: () => void) =>
    subscribe(dueTimers, subscriber, (fire) => timer.onAfter(delayMs, fire));

  function resume(): void {
    if (isStalled() || isKilled) return;
    for (const queue of [dueTimers, receivedMessages, dueTimeouts]) {
      for (const subscriber of queue.splice(0)) subscriber();
    }
  }

  return {
    timer: {
      wallMs: timer.wallMs,
      nowMs: timer.nowMs,
      onAfter,
      onTimeout: (delayMs, subscriber) =>
        subscribe(dueTimeouts, subscriber, (fire) => timer.onAfter(delayMs, fire)),
      onEvery(everyMs, subscriber) {
        let isQueued = false;
        return timer.onEvery(everyMs, () => {
          // An interval that fires several times during a stall is run once.
          if (isQueued) return;
          isQueued = true;
          callOrQueue(dueTimers, () => {
            isQueued = false;
            subscriber();
          });
        });
      },
      sleep: (delayMs, signal) =>
        new Promise((resolve) => {
          if (signal?.aborted === true) {
            resolve();
            return;
          }
          const finish = () => {
            cancel();
            signal?.removeEventListener('abort', finish);
            resolve();
          };
          const cancel = onAfter(delayMs, finish);
          signal?.addEventListener('abort', finish, { once: true });
        }),
    },
    receive(read) {
      callOrQueue(receivedMessages, read);
    },
    stall(forMs) {
      stalledUntilMs = Math.max(stalledUntilMs, timer.nowMs() + forMs);
      timer.onAfter(stalledUntilMs - timer.nowMs(), resume);
    },
    isStalled,
    kill() {
      isKilled = true;
    },
    isKilled: () => isKilled,
  };
}
