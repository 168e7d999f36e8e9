import { describe, it } from 'node:test';
import { expect } from 'earl';
import { FaultKinds, simulateFleet } from './simulatedFleet.js';

/** The first of consecutive seeds. The environment can select other seeds and more schedules. */
const FIRST_SEED = Number(process.env['CELERYBARROW_SEED'] ?? 1);
const SCHEDULES = Number(process.env['CELERYBARROW_SCHEDULES'] ?? 400);
/** The kinds of faults to inject; all of them by default. */
const NAMED_KINDS = process.env['CELERYBARROW_KINDS']?.split(',') ?? FaultKinds;
/** Seeds in which a task ran twice before this was prevented. */
const SEEDS_OF_LATE_STARTS = [3_809, 8_433, 29_290];

describe('a task', () => {
  it('never runs on two endpoints at the same time, whatever is lost', async () => {
    const overlaps: string[] = [];
    let starts = 0;
    const kinds = new Set(FaultKinds.filter((kind) => NAMED_KINDS.includes(kind)));
    for (let seed = FIRST_SEED; seed < FIRST_SEED + SCHEDULES; seed += 1) {
      const result = await simulateFleet(seed, kinds);
      starts += result.starts;
      overlaps.push(...result.overlaps.map((overlap) => `seed ${seed}: ${overlap}`));
    }
    expect(starts > SCHEDULES).toEqual(true);
    expect(overlaps).toEqual([]);
  });

  // Guards against a start that an endpoint carries out in its next incarnation, which does not know that
  // its stop was answered, while the task runs elsewhere.
  it('never runs beside an earlier start of it that a restarted endpoint carries out', async () => {
    const overlaps: string[] = [];
    for (const seed of SEEDS_OF_LATE_STARTS) {
      const result = await simulateFleet(seed, new Set(['calls', 'crashes'] as const));
      overlaps.push(...result.overlaps.map((overlap) => `seed ${seed}: ${overlap}`));
    }
    expect(overlaps).toEqual([]);
  });
});
