/**
 * Whether a report that does not list a run proves that the run is over.
 *
 * Fault patterns: orders that get no answer and are carried out seconds later, and answers that
 * overtake each other. A run is over only if the report was asked for after the run was known to have
 * started, or after its stop was answered, or so long after its start was sent that it cannot be
 * carried out any more. Otherwise its start may still arrive.
 */
import { EndProofs, type EndProof } from './endProof.js';
import { LATEST_ORDER_MS } from './lateStarts.js';
import { RunEnds, type RunEnd } from './leasedEndpoint.js';

/** Moments on the own steady clock. */
export interface UnlistedRun {
  /** When the report was asked for. */
  readonly askedMs: number;
  /** When the start was sent. */
  readonly sentMs: number;
  /** When a stop of the run was answered. */
  readonly stopAnsweredMs: number | undefined;
  /** When the run was first known to have started. */
  readonly startAnsweredMs: number | undefined;
}

/** How the run has ended; undefined if the report proves nothing. */
export function provenEnd(run: UnlistedRun): RunEnd | undefined {
  const proof = unlistedProof(run);
  if (proof === undefined) return undefined;
  return proof === EndProofs.UNLISTED ? RunEnds.LAPSED : RunEnds.NOT_STARTED;
}

/** What proves that the run is over; undefined if nothing does. */
export function unlistedProof(run: UnlistedRun): EndProof | undefined {
  if (run.stopAnsweredMs !== undefined && run.askedMs >= run.stopAnsweredMs) {
    return EndProofs.STOP_ANSWERED;
  }
  if (run.startAnsweredMs !== undefined && run.askedMs > run.startAnsweredMs) {
    return EndProofs.UNLISTED;
  }
  return run.askedMs - run.sentMs >= LATEST_ORDER_MS ? EndProofs.TOO_OLD : undefined;
}
