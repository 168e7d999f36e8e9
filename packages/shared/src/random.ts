/**
 * Random numbers. The product uses only this interface, so that runs with a seed are repeatable.
 */
import { unsafeUniformIntDistribution, xoroshiro128plus } from 'pure-rand';

const RESOLUTION = 2 ** 30;

export interface Random {
  /** Returns a number in [0, 1). */
  next(): number;
}

/** Creates a generator that returns the same sequence for the same seed. */
export function createRandom(seed: number): Random {
  const generator = xoroshiro128plus(seed);
  return {
    next: () => unsafeUniformIntDistribution(0, RESOLUTION - 1, generator) / RESOLUTION,
  };
}

/** Multiplies a delay by a factor drawn uniformly from [0.5, 1.5). */
export function addJitter(delayMs: number, random: Random): number {
  return delayMs * (0.5 + random.next());
}
