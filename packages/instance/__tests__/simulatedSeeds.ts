/** Plays seeds of simulated partitions, and sums up their runs and outcomes. */
import { simulatePartitions, type PartitionFaultKind } from './simulatedPartitions.js';

export interface SeedSums {
  readonly seeds: number;
  readonly starts: number;
  /** Number of answers to callers, by state. */
  readonly outcomes: Readonly<Record<string, number>>;
  readonly failedSeeds: readonly number[];
  readonly overlaps: readonly string[];
}

/** Returns consecutive seeds. The environment can select other seeds and another number of them. */
export function consecutiveSeeds(count: number): readonly number[] {
  const first = Number(process.env['CELERYBARROW_SEED'] ?? 1);
  const length = Number(process.env['CELERYBARROW_SCHEDULES'] ?? count);
  return Array.from({ length }, (_none, index) => first + index);
}

export async function simulateSeeds(
  seeds: readonly number[],
  kinds?: ReadonlySet<PartitionFaultKind>,
): Promise<SeedSums> {
  const outcomes: Record<string, number> = {};
  const overlaps: string[] = [];
  const failedSeeds: number[] = [];
  let starts = 0;
  for (const seed of seeds) {
    const result = await simulatePartitions(seed, kinds);
    starts += result.starts;
    for (const [state, count] of Object.entries(result.outcomes))
      outcomes[state] = (outcomes[state] ?? 0) + count;
    if (result.overlaps.length > 0) failedSeeds.push(seed);
    overlaps.push(...result.overlaps.map((overlap) => `seed ${seed}: ${overlap}`));
  }
  return { seeds: seeds.length, starts, outcomes, failedSeeds, overlaps };
}

/** Returns the sums in one line, to compare them before and after a change. */
export function describeSums({ seeds, starts, outcomes, failedSeeds }: SeedSums): string {
  const failed = failedSeeds.length === 0 ? 'none' : failedSeeds.join(' ');
  return `seeds ${seeds}, starts ${starts}, outcomes ${JSON.stringify(outcomes)}, failed seeds: ${failed}`;
}
