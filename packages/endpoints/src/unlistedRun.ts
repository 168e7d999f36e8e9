/**
 * Whether a report that does not list a run proves that the run is over.
 *
 * Fault patterns: orders that get no answer and are carried out seconds later, and answers that
 * overtake each other. A run is over only if the report was asked for after the run was known to have
 * started, or after its stop was answered, or if the lease that its start carried had passed on the
 * endpoint's clock before the report was asked for. Otherwise its start may still arrive.
 */
import { EndProofs, type EndProof } from './endProof.js';
import { RunEnds, type RunEnd } from './leasedEndpoint.js';

export interface UnlistedRun {
  /** When the report was asked for, on the own clock. */
  readonly askedMs: number;
  /** The same moment on the endpoint's clock, as far ahead as it may be; undefined if not known. */
  readonly askedAtEndpointMs: number | undefined;
  /** The endpoint's clock in the report. */
  readonly reportedAtEndpointMs: number;
  /** When a stop of the run was answered, on the own clock. */
  readonly stopAnsweredMs: number | undefined;
  /** When the run was first known to have started, on the own clock. */
  readonly startAnsweredMs: number | undefined;
  /** Whether its start got no answer. */
  readonly isInDoubt: boolean;
  /** End of the lease of its start, on the endpoint's clock. */
  readonly orderEndMs: number | undefined;
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
  const orderEndMs = run.orderEndMs ?? Infinity;
  const hasLapsed = run.isInDoubt && run.reportedAtEndpointMs > orderEndMs;
  const wasAskedAfter = (run.askedAtEndpointMs ?? 0) > orderEndMs;
  return hasLapsed && wasAskedAfter ? EndProofs.LEASE_PASSED : undefined;
}
