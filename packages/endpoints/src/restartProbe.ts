/**
 * Sends the stops of unacknowledged starts to an endpoint that may be restarting.
 *
 * Failure: an endpoint restarts and carries out a start whose stop its earlier incarnation had
 * answered. The next incarnation does not know that stop, so the stops are sent frequently while the
 * endpoint does not answer, and one of them reaches it soon after its restart.
 */
import type { TimerService } from '@celerybarrow/timer';
import type { ProbeBudget } from './probeBudget.js';
import type { UnacknowledgedStart } from './unacknowledgedStarts.js';

/** A start can be carried out unnoticed between a restart and the first stop after it. */
const PROBE_INTERVAL_MS = 20;

export interface RestartProbe {
  /** Sends stops until they are no longer needed. Has no effect while it does so already. */
  begin(): void;
}

export interface RestartProbeOptions {
  readonly timer: TimerService;
  readonly budget: ProbeBudget;
  readonly isNeeded: () => boolean;
  /** Returns the starts that a next incarnation may carry out. */
  readonly starts: () => readonly UnacknowledgedStart[];
  /** Returns whether the stop was answered. */
  readonly stop: (start: UnacknowledgedStart) => Promise<boolean>;
  readonly onAnswered: () => void;
}

export function createRestartProbe(options: RestartProbeOptions): RestartProbe {
  const { timer, budget, isNeeded, starts, stop, onAnswered } = options;
  /** The starts whose newest stop has no answer yet. */
  const pending = new Set<string>();
  let isProbing = false;

  async function sendStop(start: UnacknowledgedStart): Promise<void> {
    const runId = `${start.key}#${start.run}`;
    if (pending.has(runId) || !budget.take()) return;
    pending.add(runId);
    const isAnswered = await stop(start);
    pending.delete(runId);
    if (isAnswered && isNeeded()) onAnswered();
  }

  async function probe(): Promise<void> {
    isProbing = true;
    while (isNeeded()) {
      const open = starts();
      if (open.length === 0) break;
      for (const start of open) void sendStop(start);
      await timer.sleep(PROBE_INTERVAL_MS);
    }
    isProbing = false;
  }

  return {
    begin() {
      if (!isProbing) void probe();
    },
  };
}
