/** Outcomes of ended jobs, for callers that missed the answer and send the same id again. */
import { JobStates, type JobOutcome } from '@celerybarrow/protocol';
import type { SteadyClock } from '@celerybarrow/timer';

/** Callers send again 1.3 s after a lost answer, at times twice. */
const KEPT_MS = 6_000;
const MAX_OUTCOMES = 20_000;

export interface OutcomeCache {
  find(job: string): JobOutcome | undefined;
  /** Keeps an outcome that says how the job ended; others call for another run. */
  keep(job: string, outcome: JobOutcome): void;
}

export function createOutcomeCache(clock: SteadyClock): OutcomeCache {
  const outcomes = new Map<string, { outcome: JobOutcome; atMs: number }>();

  return {
    find(job) {
      const kept = outcomes.get(job);
      return kept !== undefined && clock.nowMs() - kept.atMs < KEPT_MS ? kept.outcome : undefined;
    },
    keep(job, outcome) {
      if (outcome.state !== JobStates.COMPLETED && outcome.state !== JobStates.FAILED) return;
      const nowMs = clock.nowMs();
      outcomes.set(job, { outcome, atMs: nowMs });
      for (const [other, { atMs }] of outcomes) {
        if (nowMs - atMs < KEPT_MS && outcomes.size <= MAX_OUTCOMES) return;
        outcomes.delete(other);
      }
    },
  };
}
