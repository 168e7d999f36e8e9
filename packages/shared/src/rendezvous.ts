/**
 * Rendezvous (highest random weight) hashing. All processes that know the same candidates rank them
 * in the same order for a key. Removing a candidate reassigns only the keys of that candidate.
 */
import { createHash } from 'node:crypto';
import { pipe } from 'fp-ts/lib/function.js';
import * as N from 'fp-ts/lib/number.js';
import * as Ord from 'fp-ts/lib/Ord.js';
import * as RA from 'fp-ts/lib/ReadonlyArray.js';

const WEIGHT_BYTES = 6;

interface Weighted<T> {
  readonly candidate: T;
  readonly weight: number;
}

/** Ranks candidates for a key, highest weight first. */
export function rankByRendezvous<T>(
  key: string,
  candidates: readonly T[],
  nameOf: (candidate: T) => string,
): readonly T[] {
  const heaviestFirst = pipe(
    Ord.reverse(N.Ord),
    Ord.contramap((weighted: Weighted<T>) => weighted.weight),
  );
  return pipe(
    candidates,
    RA.map((candidate) => ({ candidate, weight: rendezvousWeight(key, nameOf(candidate)) })),
    RA.sort(heaviestFirst),
    RA.map((weighted) => weighted.candidate),
  );
}

/** Returns the weight of a candidate for a key, an integer below 2^48. */
export function rendezvousWeight(key: string, name: string): number {
  return createHash('sha1').update(`${name}\n${key}`).digest().readUIntBE(0, WEIGHT_BYTES);
}
