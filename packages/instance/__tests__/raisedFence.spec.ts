import { describe, it, type TestContext } from 'node:test';
import { expect } from 'earl';
import { toleratesKnownRed } from '@celerybarrow/shared/knownRed';
import { LongFaultKinds, type PartitionFaultKind } from './simulatedPartitions.js';
import { CutFaultKinds } from './simulatedCuts.js';
import { consecutiveSeeds, describeSums, simulateSeeds } from './simulatedSeeds.js';

const SCHEDULES = 15;

interface Case {
  readonly name: string;
  readonly kinds: readonly PartitionFaultKind[];
  /** Seeds with which tasks had two runs. */
  readonly failedSeeds: readonly number[];
}

const cases: readonly Case[] = [
  {
    name: 'never runs twice at the same time when a dispatcher raises its fencing token after a short cut',
    kinds: ['shortCuts', 'storeless', 'waitingTasks'],
    failedSeeds: [107, 384],
  },
  {
    name: 'never runs twice at the same time when a dispatcher raises its fencing token after a one-way cut',
    kinds: ['oneWayCuts', 'storeless', 'waitingTasks'],
    failedSeeds: [361, 534, 594, 735],
  },
  {
    name: 'never runs twice at the same time when a run ends in a one-way cut after the dispatcher has raised its fencing token',
    kinds: ['oneWayCuts'],
    failedSeeds: [11, 746],
  },
  {
    name: 'never runs twice at the same time when a message of a short cut arrives after it',
    kinds: ['shortCuts', 'storeless', 'waitingTasks', 'lateMessages'],
    failedSeeds: [205, 259, 347, 356, 436],
  },
  {
    name: 'never runs twice at the same time when a first submission of a short cut arrives after it at light load',
    kinds: ['shortCuts', 'lateMessages'],
    failedSeeds: [78, 1539, 1715],
  },
  {
    name: 'never runs twice at the same time when a message of a one-way cut arrives after it',
    kinds: ['oneWayCuts', 'storeless', 'waitingTasks', 'lateMessages'],
    failedSeeds: [590, 662, 735],
  },
  {
    name: 'never runs twice at the same time when a submission of several cuts arrives after its caller has submitted the job again',
    kinds: ['oneWayCuts', 'shortCuts', 'storeless', 'lateMessages'],
    failedSeeds: [34, 917, 930],
  },
  {
    name: 'never runs twice at the same time when any fault meets a short or one-way cut',
    kinds: [...LongFaultKinds, ...CutFaultKinds],
    failedSeeds: [1868, 483, 908, 1167],
  },
];

async function expectNoOverlaps(context: TestContext, { kinds, failedSeeds }: Case): Promise<void> {
  const seeds = [...new Set([...failedSeeds, ...consecutiveSeeds(SCHEDULES)])];
  const sums = await simulateSeeds(seeds, new Set(kinds));
  context.diagnostic(describeSums(sums));
  expect(sums.starts > seeds.length).toEqual(true);
  expect(sums.overlaps).toEqual([]);
}

describe('a task whose dispatcher raises its fencing token', () => {
  for (const one of cases) {
    it(one.name, toleratesKnownRed(one.name), (context) =>
      expectNoOverlaps(context as TestContext, one),
    );
  }
});
