/**
 * The process of one instance in virtual time: it can stall, be cut off and be killed. While it stalls
 * nothing is called; when it wakes, the timers that have fallen due go first, then what has arrived,
 * and last the time limits, as on the event loop.
 */
import type { ManualTimer, TimerService, Unsubscribe } from '@celerybarrow/timer';

export interface SimulatedHost {
  readonly timer: TimerService;
  /** Hands over what has arrived, now or when it wakes. */
  receive(read: () => void): void;
  stall(forMs: number): void;
  isStalled(): boolean;
  /** Nothing is called any more. */
  kill(): void;
  isKilled(): boolean;
}

export function createSimulatedHost(timer: ManualTimer): SimulatedHost {
  const due: (() => void)[] = [];
  const arrived: (() => void)[] = [];
  const overdue: (() => void)[] = [];
  let stalledUntilMs = -Infinity;
  let isKilled = false;

  const isStalled = () => timer.nowMs() < stalledUntilMs;

  function callOrKeep(kept: (() => void)[], subscriber: () => void): void {
    if (isKilled) return;
    if (isStalled()) kept.push(subscriber);
    else subscriber();
  }

  function subscribe(
    kept: (() => void)[],
    subscriber: () => void,
    arm: (fire: () => void) => Unsubscribe,
  ): Unsubscribe {
    let isCancelled = false;
    const cancel = arm(() => {
      callOrKeep(kept, () => {
        if (!isCancelled) subscriber();
      });
    });
    return () => {
      isCancelled = true;
      cancel();
    };
  }

  const onAfter = (delayMs: number, subscriber: () => void) =>
    subscribe(due, subscriber, (fire) => timer.onAfter(delayMs, fire));

  function wake(): void {
    if (isStalled() || isKilled) return;
    for (const kept of [due, arrived, overdue]) {
      for (const subscriber of kept.splice(0)) subscriber();
    }
  }

  return {
    timer: {
      wallMs: timer.wallMs,
      nowMs: timer.nowMs,
      onAfter,
      onTimeout: (delayMs, subscriber) =>
        subscribe(overdue, subscriber, (fire) => timer.onAfter(delayMs, fire)),
      onEvery(everyMs, subscriber) {
        let isKept = false;
        return timer.onEvery(everyMs, () => {
          // An interval that was missed several times is called once.
          if (isKept) return;
          isKept = true;
          callOrKeep(due, () => {
            isKept = false;
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
      callOrKeep(arrived, read);
    },
    stall(forMs) {
      stalledUntilMs = Math.max(stalledUntilMs, timer.nowMs() + forMs);
      timer.onAfter(stalledUntilMs - timer.nowMs(), wake);
    },
    isStalled,
    kill() {
      isKilled = true;
    },
    isKilled: () => isKilled,
  };
}
