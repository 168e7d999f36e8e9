import { describe, it } from 'node:test';
import { expect } from 'earl';
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
