/**
 * Rendezvous (highest random weight) hashing: every process that knows the same candidates ranks
 * them alike for a key, and removing one candidate moves only the keys that it held.
 */
import { createHash } from 'node:crypto';

const WEIGHT_BYTES = 6;

/** Ranks candidates for a key, the heaviest first. */
export function rankByRendezvous<T>(
  key: string,
  candidates: readonly T[],
  nameOf: (candidate: T) => string,
): T[] {
  return candidates
    .map((candidate) => ({ candidate, weight: weigh(key, nameOf(candidate)) }))
    .sort((a, b) => b.weight - a.weight)
    .map(({ candidate }) => candidate);
}

/** The weight of one candidate for a key, an integer below 2^48. */
export function weigh(key: string, name: string): number {
  return createHash('sha1').update(`${name}\n${key}`).digest().readUIntBE(0, WEIGHT_BYTES);
}
