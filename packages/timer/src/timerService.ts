/**
 * Timers and clocks for all parts of the product. Parts use this service and never call the
 * runtime's timers or clocks directly, so that tests can control time.
 */
export type Unsubscribe = () => void;

/**
 * A clock for intervals whose end proves that something is over, such as the lease of another
 * process. See elapsedClock.ts for when to use which clock.
 */
export interface MonotonicClock {
  /** Monotonic time in milliseconds; never runs early. Comparable only within one process. */
  nowMs(): number;
}

export interface TimerService extends MonotonicClock {
  /** Wall-clock time in milliseconds since the Unix epoch. */
  wallMs(): number;
  /** Calls the subscriber every `everyMs` until it unsubscribes. */
  onEvery(everyMs: number, subscriber: () => void): Unsubscribe;
  /** Calls the subscriber once, after `delayMs`. */
  onAfter(delayMs: number, subscriber: () => void): Unsubscribe;
  /**
   * Like `onAfter`, but first lets the event loop read the input that has already arrived.
   * Otherwise a process that was busy itself would mistake its own delay for a missing answer of a
   * peer.
   */
  onTimeout(delayMs: number, subscriber: () => void): Unsubscribe;
  /** Resolves after `delayMs`, or at once when the signal is aborted. */
  sleep(delayMs: number, signal?: AbortSignal): Promise<void>;
}

/** Creates the timer service that uses the machine's clocks. */
export function createTimerService(): TimerService {
  function onAfter(delayMs: number, subscriber: () => void): Unsubscribe {
    const handle = setTimeout(subscriber, delayMs);
    return () => {
      clearTimeout(handle);
    };
  }

  function onTimeout(delayMs: number, subscriber: () => void): Unsubscribe {
    let isCancelled = false;
    const cancel = onAfter(delayMs, () => {
      // The event loop polls for input between its timers phase and its immediates.
      setImmediate(() => {
        if (!isCancelled) subscriber();
      });
    });
    return () => {
      isCancelled = true;
      cancel();
    };
  }

  return {
    wallMs: () => Date.now(),
    nowMs: () => performance.now(),
    onEvery(everyMs, subscriber) {
      const handle = setInterval(subscriber, everyMs);
      return () => {
        clearInterval(handle);
      };
    },
    onAfter,
    onTimeout,
    sleep: (delayMs, signal) => sleepWith(onAfter, delayMs, signal),
  };
}

/** Implements `sleep` with the `onAfter` of a timer service. */
export function sleepWith(
  onAfter: TimerService['onAfter'],
  delayMs: number,
  signal?: AbortSignal,
): Promise<void> {
  return new Promise((resolve) => {
    if (signal?.aborted === true) {
      resolve();
      return;
    }
    const cancel = onAfter(delayMs, finish);
    signal?.addEventListener('abort', finish, { once: true });
    function finish(): void {
      cancel();
      signal?.removeEventListener('abort', finish);
      resolve();
    }
  });
}
