/**
 * Decides whether a report that does not list a run proves that the run has terminated.
 *
 * The report proves it only if it was requested after the run was known to have started, after a
 * stop of the run was answered, or so long after the start was sent that the endpoint can no longer
 * carry it out. Otherwise the start may still arrive: endpoints carry out unanswered orders seconds
 * later, and answers overtake each other.
 */
import { TerminationProofs, type TerminationProof } from './terminationProof.js';
import { MAX_ORDER_DELAY_MS } from './unacknowledgedStarts.js';
import { RunEnds, type RunEnd } from './leasedEndpoint.js';

/** All times are on the local monotonic clock. */
export interface UnlistedRun {
  /** When the report was requested. */
  readonly reportRequestedMs: number;
  /** When the start was sent. */
  readonly startSentMs: number;
  /** When a stop of the run was answered. */
  readonly stopAnsweredMs: number | undefined;
  /** When a report, an answer or a claim confirmed that the run had started. */
  readonly startConfirmedMs: number | undefined;
}

/** Returns how the run ended; undefined if the report proves nothing. */
export function provenEnd(run: UnlistedRun): RunEnd | undefined {
  const proof = findTerminationProof(run);
  if (proof === undefined) return undefined;
  return proof === TerminationProofs.UNLISTED ? RunEnds.LAPSED : RunEnds.NOT_STARTED;
}

/** Returns the proof that the run has terminated; undefined if there is none. */
export function findTerminationProof(run: UnlistedRun): TerminationProof | undefined {
  if (run.stopAnsweredMs !== undefined && run.reportRequestedMs >= run.stopAnsweredMs) {
    return TerminationProofs.STOP_ANSWERED;
  }
  if (run.startConfirmedMs !== undefined && run.reportRequestedMs > run.startConfirmedMs) {
    return TerminationProofs.UNLISTED;
  }
  return run.reportRequestedMs - run.startSentMs >= MAX_ORDER_DELAY_MS
    ? TerminationProofs.TOO_OLD
    : undefined;
}
