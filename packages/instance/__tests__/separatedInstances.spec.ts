import { describe, it } from 'node:test';
import { expect } from 'earl';
import { simulateSeparation, type SeparationKind } from './simulatedSeparation.js';

/** Seeds count up from the first; more are run by hand. */
const FIRST_SEED = Number(process.env['CELERYBARROW_SEED'] ?? 1);
const SCHEDULES = Number(process.env['CELERYBARROW_SCHEDULES'] ?? 60);

async function overlapsOf(kinds?: ReadonlySet<SeparationKind>): Promise<string[]> {
  const overlaps: string[] = [];
  let starts = 0;
  for (let seed = FIRST_SEED; seed < FIRST_SEED + SCHEDULES; seed += 1) {
    const result = await simulateSeparation(seed, kinds);
    starts += result.starts;
    overlaps.push(...result.overlaps.map((one) => `seed ${seed}: ${one}`));
  }
  expect(starts > SCHEDULES).toEqual(true);
  return overlaps;
}

describe('a task of instances that are cut off from each other', () => {
  it('never runs twice at the same time, whatever fails', async () => {
    expect(await overlapsOf()).toEqual([]);
  });

  it('never runs twice at the same time after a data centre was cut off and its dispatcher lost', async () => {
    const kinds = new Set<SeparationKind>(['zones', 'kills', 'lapses', 'storeless']);
    expect(await overlapsOf(kinds)).toEqual([]);
  });
});
