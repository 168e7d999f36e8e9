import { describe, it } from 'node:test';
import { expect } from 'earl';
import { Result } from 'true-myth';
import { createRandom, ErrorCodes } from '@celerybarrow/shared';
import { createManualTimer, type ManualTimer } from '@celerybarrow/timer';
import { followPrefix, StoreError, type Change, type Store } from '../src/index.js';

type Told = Result<Change, StoreError>;

/** A store whose lists and watches give what a test has laid out, in order; then nothing more. */
function createScriptedStore(timer: ManualTimer, lists: Told[], watches: Told[]): Store {
  async function next(script: Told[]): Promise<Told> {
    await timer.sleep(1);
    const told = script.shift();
    if (told === undefined) await timer.sleep(1e9);
    return told ?? Result.err(new StoreError(ErrorCodes.PLATFORM_UNREACHABLE));
  }
  const unused = () => Promise.reject(new Error('not used'));
  return {
    list: () => next(lists),
    watch: () => next(watches),
    get: unused,
    compareAndSwap: unused,
    grantLease: unused,
    renewLease: unused,
  };
}

function change(revision: number, keys: readonly string[], removed: readonly string[] = []): Told {
  const entries = keys.map((key) => ({ key, value: `${key}@${revision}`, revision }));
  return Result.ok({ revision, entries, removed });
}

function failure(code: StoreError['code']): Told {
  return Result.err(new StoreError(code));
}

async function follow(lists: Told[], watches: Told[]) {
  const timer = createManualTimer();
  const seen: string[] = [];
  const removed: string[] = [];
  const contacts: boolean[] = [];
  const closing = new AbortController();
  void followPrefix({
    store: createScriptedStore(timer, lists, watches),
    timer,
    random: createRandom(1),
    prefix: '',
    onEntry: (entry) => seen.push(entry.value),
    onRemoved: (key) => removed.push(key),
    onContact: (isReachable) => contacts.push(isReachable),
    signal: closing.signal,
  });
  await timer.advance(5_000);
  closing.abort();
  return { seen, removed, contacts };
}

describe('following a prefix', () => {
  it('lists once, then goes on with what changes', async () => {
    const told = await follow([change(5, ['a', 'b'])], [change(6, ['a'], ['b'])]);
    expect(told.seen).toEqual(['a@5', 'b@5', 'a@6']);
    expect(told.removed).toEqual(['b']);
  });

  it('lists again when history is lost, and notices what went meanwhile', async () => {
    const lost = failure(ErrorCodes.PLATFORM_HISTORY_LOST);
    const told = await follow([change(5, ['a', 'b']), change(9, ['a'])], [lost]);
    expect(told.removed).toEqual(['b']);
    expect(told.seen.at(-1)).toEqual('a@9');
  });

  it('goes on after failures, and tells of them', async () => {
    const silent = failure(ErrorCodes.PLATFORM_UNREACHABLE);
    const told = await follow([silent, change(5, ['a'])], [silent, change(6, ['b'])]);
    expect(told.seen).toEqual(['a@5', 'b@6']);
    expect(told.contacts.slice(0, 4)).toEqual([false, true, false, true]);
  });

  it('starts over when the store counts from a lower revision', async () => {
    const told = await follow([change(50, ['a']), change(4, ['c'])], [change(3, [])]);
    expect(told.seen).toEqual(['a@50', 'c@4']);
    expect(told.removed).toEqual(['a']);
  });
});
