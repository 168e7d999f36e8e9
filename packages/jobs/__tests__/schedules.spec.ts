import { describe, it } from 'node:test';
import fc from 'fast-check';
import { createCluster, type Command } from './cluster.js';

const SEED = 20261204;
const SCHEDULES = Number(process.env['CELERYBARROW_SCHEDULES'] ?? 250);
const LONGEST_SCHEDULE = 40;

const node = fc.nat({ max: 3 });
const job = fc.nat({ max: 3 });

const command: fc.Arbitrary<Command> = fc.oneof(
  {
    weight: 6,
    arbitrary: fc.record({ type: fc.constant('submit' as const), job, node, other: node }),
  },
  { weight: 2, arbitrary: fc.record({ type: fc.constant('crash' as const), node }) },
  { weight: 2, arbitrary: fc.record({ type: fc.constant('join' as const), node }) },
  { weight: 2, arbitrary: fc.record({ type: fc.constant('stop' as const), node }) },
  { weight: 3, arbitrary: fc.record({ type: fc.constant('cut' as const), node, other: node }) },
  { weight: 2, arbitrary: fc.record({ type: fc.constant('heal' as const), node, other: node }) },
  { weight: 4, arbitrary: fc.record({ type: fc.constant('evict' as const), node, other: node }) },
  { weight: 2, arbitrary: fc.record({ type: fc.constant('learn' as const), node }) },
  {
    weight: 1,
    arbitrary: fc.record({ type: fc.constant('platform' as const), isDown: fc.boolean() }),
  },
  {
    weight: 4,
    arbitrary: fc.record({ type: fc.constant('pass' as const), ms: fc.nat({ max: 800 }) }),
  },
);

describe('schedules of claims and rosters', () => {
  it('never start a task twice, and never say not-run of one that started', async () => {
    const schedules = fc.array(command, { minLength: 5, maxLength: LONGEST_SCHEDULE, size: 'max' });
    await fc.assert(
      fc.asyncProperty(schedules, fc.integer({ min: 1 }), async (commands, networkSeed) => {
        const cluster = createCluster(networkSeed);
        await cluster.begin(3);
        for (const one of commands) await cluster.take(one);
        await cluster.end();
        const faults = cluster.faults();
        if (faults.length > 0) throw new Error(faults.join('; '));
      }),
      { seed: Number(process.env['CELERYBARROW_SEED'] ?? SEED), numRuns: SCHEDULES },
    );
  });
});
