import { describe, it } from 'node:test';
import { expect } from 'earl';
import { RunStates, type Run, type RunState } from '@celerybarrow/endpoints';
import type { LeasedJob } from '@celerybarrow/protocol';
import { createJobRecord } from '../src/jobRecord.js';
import { findLongJobs } from '../src/longJobs.js';
import { createLongJobYield, type LongJob } from '../src/longJobYield.js';

interface NamedJob {
  readonly id: string;
}

const ROOM_MS = 150;
const REFUSED = { priority: 1, work: 20, cores: 2 };

function longJob(id: string, change: Partial<LongJob<NamedJob>> = {}): LongJob<NamedJob> {
  return { job: { id }, priority: 1, workDone: 10, workLeft: 100, cores: 4, ...change };
}

function createYield(...longJobs: LongJob<NamedJob>[]) {
  const ended: string[] = [];
  const { makesRoomFor } = createLongJobYield<NamedJob>({
    longJobs: () => longJobs.filter(({ job }) => !ended.includes(job.id)),
    end: ({ id }) => ended.push(id),
  });
  return { makesRoomFor, ended };
}

describe('a job that would be refused', () => {
  it('is refused if no long job holds room', () => {
    const { makesRoomFor } = createYield();
    expect(makesRoomFor({ id: 'j' }, REFUSED, 0)).toEqual(false);
  });

  it('gets the room of the long job with the most work left', () => {
    const { makesRoomFor, ended } = createYield(longJob('a'), longJob('b', { workLeft: 200 }));
    expect(makesRoomFor({ id: 'j' }, REFUSED, 0)).toEqual(true);
    expect(ended).toEqual(['b']);
  });

  it('ends no long job that is half done, has little more work left, or is more urgent', () => {
    const { makesRoomFor, ended } = createYield(
      longJob('a', { workDone: 101 }),
      longJob('b', { workLeft: 39 }),
      longJob('c', { priority: 0 }),
    );
    expect(makesRoomFor({ id: 'j' }, REFUSED, 0)).toEqual(false);
    expect(ended).toEqual([]);
  });

  it('ends no long job if all of them together hold too little room', () => {
    const { makesRoomFor, ended } = createYield(longJob('a'), longJob('b'));
    expect(makesRoomFor({ id: 'j' }, { ...REFUSED, cores: 9 }, 0)).toEqual(false);
    expect(ended).toEqual([]);
  });

  it('waits once, and shares the room of a long job with others', () => {
    const { makesRoomFor, ended } = createYield(longJob('a'), longJob('b'));
    const [first, second, third] = [{ id: '1' }, { id: '2' }, { id: '3' }];
    expect(makesRoomFor(first, REFUSED, 0)).toEqual(true);
    expect(makesRoomFor(second, REFUSED, 10)).toEqual(true);
    expect(ended).toEqual(['a']);
    expect(makesRoomFor(third, REFUSED, 20)).toEqual(true);
    expect(ended).toEqual(['a', 'b']);
    expect(makesRoomFor(first, REFUSED, ROOM_MS - 1)).toEqual(true);
    expect(makesRoomFor(first, REFUSED, ROOM_MS)).toEqual(false);
  });

  it('gets no room that was made long ago', () => {
    const { makesRoomFor, ended } = createYield(longJob('a'), longJob('b'));
    makesRoomFor({ id: '1' }, REFUSED, 0);
    makesRoomFor({ id: '2' }, REFUSED, ROOM_MS);
    expect(ended).toEqual(['a', 'b']);
  });
});

describe('the room that a long job holds', () => {
  const DEMAND = { cores: 4, memoryMb: 1, accelerators: 0 };

  function createRecord(states: RunState[]) {
    const job: LeasedJob = {
      ...{ id: 'j', team: 't', service: 's', priority: 1, maxAttempts: 2, payload: '' },
      ...{ objectiveStretch: 1.6, objectiveAllowanceMs: 60, ageMs: 0, remainingMs: 5_000 },
      steps: [{ tasks: states.length, demand: DEMAND, estimateMs: 200, after: [] }],
    };
    const origin = { arrivedMs: 0, criticalPathMs: 100, firstRun: 1, mayHaveRun: false };
    const record = createJobRecord(job, 'g', origin, () => undefined);
    states.forEach((state, index) => {
      const task = record.tasks[index];
      if (task !== undefined) task.run = { state, demand: DEMAND, sentMs: 0, number: index } as Run;
    });
    return record;
  }

  it('is that of its runs that go on, not of those that are in doubt or stalled', () => {
    const { RUNNING, IN_DOUBT } = RunStates;
    const record = createRecord([RUNNING, IN_DOUBT, RUNNING]);
    const [found] = findLongJobs([record], 100, {
      isLong: () => true,
      expectedEndInMs: ({ number }) => (number === 2 ? Infinity : 300),
    });
    expect([found?.cores, found?.workDone, found?.workLeft]).toEqual([4, 400, 1_200]);
  });
});
