import { describe, it } from 'node:test';
import { expect } from 'earl';
import type { Claim } from '@celerybarrow/protocol';
import { createClaimStore } from '../src/index.js';

const ANSWER = { id: 'job', answers: [{ name: 't1', body: '1' }] };

function claimOf(runner: string, supersedes?: string): Claim {
  return {
    id: 'job',
    digest: 'd',
    createdAt: 1,
    runner,
    runnerIncarnation: `${runner}.1`,
    runnerPeer: '127.0.0.1:1',
    ...(supersedes === undefined ? {} : { supersedes: `${supersedes}.1` }),
  };
}

describe('the claim store', () => {
  // Guards against an owner that rejoins the roster and does not know the job its successor has
  // run.
  it("keeps another runner's record that is received while its own claim is pending", () => {
    const store = createClaimStore();
    store.add(claimOf('e1'));
    store.merge({ ...claimOf('e2'), answer: ANSWER });
    expect(store.find('job')?.claim).toEqual(claimOf('e1'));
    expect(store.find('job')?.answer).toEqual(undefined);
    store.remove('job');
    expect(store.find('job')?.claim).toEqual(claimOf('e2'));
    expect(store.find('job')?.answer).toEqual(ANSWER);
    store.remove('job');
    expect(store.find('job')).toEqual(undefined);
  });

  it('keeps one record when a claim supersedes the other', () => {
    const store = createClaimStore();
    store.add(claimOf('e2', 'e1'));
    store.merge(claimOf('e1'));
    expect(store.find('job')?.claim).toEqual(claimOf('e2', 'e1'));
    store.remove('job');
    expect(store.find('job')).toEqual(undefined);
  });

  it('removes both records of an id when its retention ends', () => {
    const store = createClaimStore();
    store.add(claimOf('e1'));
    store.merge({ ...claimOf('e2'), createdAt: 100_000 });
    store.remove('job');
    store.expire(60 * 60_000);
    expect(store.size()).toEqual(0);
  });

  // Guards against a second start: of two records beside a pending claim only the last was kept, so
  // the runner that had the job was not asked.
  it('keeps the records of all other runners', () => {
    const store = createClaimStore();
    store.add(claimOf('e1'));
    store.merge({ ...claimOf('e2'), answer: ANSWER });
    store.merge(claimOf('e3'));
    const runners = ['e1', 'e2', 'e3'].map(() => {
      const runner = store.find('job')?.claim.runner;
      store.remove('job');
      return runner;
    });
    expect(runners.sort()).toEqual(['e1', 'e2', 'e3']);
    expect(store.find('job')).toEqual(undefined);
  });

  // Guards against a record that is transferred late: a claim made after a release of its runner
  // must not replace the claim that the same runner has made since.
  it('keeps the newer of two claims that supersede each other', () => {
    const older = { ...claimOf('e2', 'e1'), epoch: 4 };
    const newer = { ...claimOf('e1', 'e2'), epoch: 5 };
    for (const claims of [
      [older, newer],
      [newer, older],
    ]) {
      const store = createClaimStore();
      for (const claim of claims) store.merge(claim);
      expect(store.find('job')?.claim).toEqual(newer);
    }
  });

  it('refuses a claim while the record of another runner is not superseded', () => {
    const store = createClaimStore();
    store.merge(claimOf('e1'));
    store.merge(claimOf('e2'));
    expect(store.add(claimOf('e3', 'e1'))).toEqual(false);
    expect(store.add(claimOf('e3', 'e2'))).toEqual(true);
    expect(store.find('job')?.claim.runner).toEqual('e3');
  });
});
