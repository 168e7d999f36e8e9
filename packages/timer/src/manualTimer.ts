/** A timer service whose time advances only on request; for tests and simulations. */
import { sleepWith, type TimerService, type Unsubscribe } from './timerService.js';

interface ScheduledCall {
  dueMs: number;
  readonly everyMs?: number;
  readonly subscriber: () => void;
}

export interface ManualTimer extends TimerService {
  /** Advances time, makes the calls that fall due in order and lets promises settle in between. */
  advance(byMs: number): Promise<void>;
}

/** Creates a manual timer whose wall clock starts at `wallStartMs`. */
export function createManualTimer(wallStartMs = 0): ManualTimer {
  let elapsedMs = 0;
  const scheduledCalls = new Set<ScheduledCall>();

  function schedule(call: ScheduledCall): Unsubscribe {
    scheduledCalls.add(call);
    return () => {
      scheduledCalls.delete(call);
    };
  }

  function onAfter(delayMs: number, subscriber: () => void): Unsubscribe {
    return schedule({ dueMs: elapsedMs + delayMs, subscriber });
  }

  function nextDue(untilMs: number): ScheduledCall | undefined {
    let next: ScheduledCall | undefined;
    for (const candidate of scheduledCalls) {
      if (candidate.dueMs > untilMs) continue;
      if (next === undefined || candidate.dueMs < next.dueMs) next = candidate;
    }
    return next;
  }

  function fire(call: ScheduledCall): void {
    elapsedMs = Math.max(elapsedMs, call.dueMs);
    if (call.everyMs === undefined) scheduledCalls.delete(call);
    else call.dueMs += call.everyMs;
    call.subscriber();
  }

  async function advance(byMs: number): Promise<void> {
    const untilMs = elapsedMs + byMs;
    await settlePromises();
    for (let next = nextDue(untilMs); next !== undefined; next = nextDue(untilMs)) {
      fire(next);
      await settlePromises();
    }
    elapsedMs = untilMs;
  }

  return {
    wallMs: () => wallStartMs + elapsedMs,
    nowMs: () => elapsedMs,
    onEvery: (everyMs, subscriber) => schedule({ dueMs: elapsedMs + everyMs, everyMs, subscriber }),
    onAfter,
    onTimeout: onAfter,
    sleep: (delayMs, signal) => sleepWith(onAfter, delayMs, signal),
    advance,
  };
}

function settlePromises(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}
