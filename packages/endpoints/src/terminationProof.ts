/** Proofs that a run has terminated, and the ends that a controller inferred from them. */

export const TerminationProofs = {
  /** The endpoint listed the end of the run. */
  LISTED: 'listed',
  /** The endpoint answered that it did not carry out the start. */
  REFUSED: 'refused',
  /** A stop of the run was answered, and a later report does not list the run. */
  STOP_ANSWERED: 'stop-answered',
  /** The run was known to have started, and a later report does not list it. */
  UNLISTED: 'unlisted',
  /** The start got no answer and was sent too long ago to still be carried out. */
  TOO_OLD: 'too-old',
  /** The endpoint is unresponsive, and its clock has passed the end of every lease. */
  SILENCE: 'silence',
  /** Another endpoint answers at the address. */
  REPLACED: 'replaced',
} as const;
export type TerminationProof = (typeof TerminationProofs)[keyof typeof TerminationProofs];

/** A run whose end the controller inferred from a proof, without a report of the end. */
export interface InferredEnd {
  readonly run: number;
  readonly proof: TerminationProof;
  readonly atMs: number;
}

/** Inferred ends kept for each endpoint; the oldest are dropped. */
const MAX_INFERRED_ENDS = 200;

/**
 * The latest inferred ends on one endpoint. They allow the controller to recognise a run that a
 * report lists after its end was inferred.
 */
export interface InferredEnds {
  record(key: string, run: number, proof: TerminationProof, nowMs: number): void;
  find(key: string, run: number): InferredEnd | undefined;
}

export function createInferredEnds(): InferredEnds {
  const latestEnds = new Map<string, InferredEnd>();

  return {
    record(key, run, proof, nowMs) {
      latestEnds.delete(key);
      latestEnds.set(key, { run, proof, atMs: nowMs });
      if (latestEnds.size <= MAX_INFERRED_ENDS) return;
      for (const oldest of latestEnds.keys()) {
        latestEnds.delete(oldest);
        return;
      }
    },
    find(key, run) {
      const found = latestEnds.get(key);
      return found?.run === run ? found : undefined;
    },
  };
}
