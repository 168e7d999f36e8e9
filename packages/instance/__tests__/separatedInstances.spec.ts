import { describe, it, type TestContext } from 'node:test';
import { expect } from 'earl';
import { LongFaultKinds, type PartitionFaultKind } from './simulatedPartitions.js';
import { consecutiveSeeds, describeSums, simulateSeeds } from './simulatedSeeds.js';

const SCHEDULES = 60;

// Their courses have changed since with the time limits of the simulation.
/** Seeds with which departed endpoints had two runs of a task before dispatchers shared them. */
const DEPARTURE_SEEDS = [162, 331, 481];
/** Seeds with which that happened on endpoints that the next dispatcher did not know yet. */
const JOIN_SEEDS = [75, 80, 107, 185, 200, 248, 355, 425];
const SEEDS = consecutiveSeeds(SCHEDULES);
const ANY_FAULT = new Set<PartitionFaultKind>(LongFaultKinds);

async function findOverlaps(
  context: TestContext,
  kinds: ReadonlySet<PartitionFaultKind>,
  seeds = SEEDS,
): Promise<readonly string[]> {
  const sums = await simulateSeeds(seeds, kinds);
  context.diagnostic(describeSums(sums));
  expect(sums.starts > seeds.length).toEqual(true);
  return sums.overlaps;
}

describe('a task in a fleet with network partitions', () => {
  it('never runs twice at the same time under any fault', async (context: TestContext) => {
    expect(await findOverlaps(context, ANY_FAULT)).toEqual([]);
  });

  it('never runs twice at the same time after a data centre is isolated and its dispatcher is lost', async (context: TestContext) => {
    const kinds = new Set<PartitionFaultKind>(['zones', 'kills', 'lapses', 'storeless']);
    expect(await findOverlaps(context, kinds)).toEqual([]);
  });

  // The entry of a live endpoint lapses while its runs go on, and the next dispatcher finds it in no
  // list.
  it('never runs twice at the same time after its endpoint has left the list and its dispatcher is lost', async (context: TestContext) => {
    const kinds = new Set<PartitionFaultKind>(['departures', 'kills']);
    expect(await findOverlaps(context, kinds, [...DEPARTURE_SEEDS, ...SEEDS])).toEqual([]);
  });

  it('never runs twice at the same time after that, whatever else is lost', async (context: TestContext) => {
    const kinds = new Set<PartitionFaultKind>([
      'departures',
      'kills',
      'freezes',
      'instances',
      'storeless',
      'shards',
      'callers',
    ]);
    expect(await findOverlaps(context, kinds)).toEqual([]);
  });

  // The list that the next dispatcher has was shared before the endpoint joined.
  it('never runs twice at the same time after its endpoint has joined and the store and its dispatcher are lost', async (context: TestContext) => {
    const kinds = new Set<PartitionFaultKind>(['departures', 'lossesAfterJoins']);
    expect(await findOverlaps(context, kinds, [...JOIN_SEEDS, ...SEEDS])).toEqual([]);
  });
});
