import { describe, it } from 'node:test';
import { expect } from 'earl';
import { Result } from 'true-myth';
import type { EndpointEntry } from '@celerybarrow/endpoints';
import { createReplicatedDocuments } from '@celerybarrow/leadership';
import { createRandom, ErrorCodes } from '@celerybarrow/shared';
import { StoreError, type Change, type Store } from '@celerybarrow/store';
import { createMetrics } from '@celerybarrow/telemetry';
import { createElapsedClock, createManualTimer } from '@celerybarrow/timer';
import { applyEvacuations } from '../src/applyEvacuations.js';
import { createEvacuationWatcher } from '../src/watchEvacuations.js';
import { createRoutingWatcher } from '../src/watchRouting.js';

const SETTLE_MS = 5_000;

function entry(id: string, dataCentre: string): EndpointEntry {
  const capacity = { cores: 1, memoryMb: 1, accelerators: 0 };
  const base = { service: 's', address: '127.0.0.1:80', isLeaving: false, labels: [] };
  return { id, dataCentre, capacity, ...base };
}

/** Creates a store of text values with a history that can be lost. */
function createTestStore(timer: ReturnType<typeof createManualTimer>) {
  const values = new Map<string, { value: string; revision: number }>();
  const state = { revision: 10, lostBefore: 0, isDown: false, lists: 0, watches: 0 };
  const removals = new Map<string, number>();
  const fail = (code: StoreError['code']) => Result.err<Change, StoreError>(new StoreError(code));
  const read = (after: number): Result<Change, StoreError> => {
    if (state.isDown) return fail(ErrorCodes.PLATFORM_UNREACHABLE);
    if (after < state.lostBefore) return fail(ErrorCodes.PLATFORM_HISTORY_LOST);
    const entries = [...values].map(([key, item]) => ({ key, ...item }));
    return Result.ok({
      revision: state.revision,
      entries: entries.filter(({ revision }) => revision > after),
      removed: [...removals].filter(([, revision]) => revision > after).map(([key]) => key),
    });
  };
  const store = {
    async list() {
      state.lists += 1;
      await timer.sleep(1);
      const change = read(Infinity);
      const entries = [...values].map(([key, item]) => ({ key, ...item }));
      return change.map(({ revision }) => ({ revision, entries, removed: [] }));
    },
    async watch(_prefix: string, after: number) {
      state.watches += 1;
      await timer.sleep(50);
      return read(after);
    },
  } as unknown as Store;
  return {
    store,
    state,
    put(key: string, value = '') {
      state.revision += 1;
      values.set(key, { value, revision: state.revision });
    },
    remove(key: string) {
      state.revision += 1;
      values.delete(key);
      removals.set(key, state.revision);
    },
    /** Forgets all changes up to now. */
    loseHistory() {
      removals.clear();
      state.revision += 1;
      state.lostBefore = state.revision;
    },
  };
}

function createTestInstance() {
  const timer = createManualTimer();
  const kv = createTestStore(timer);
  const documents = createReplicatedDocuments(timer);
  const clock = createElapsedClock(timer);
  const metrics = createMetrics();
  const evacuations = createEvacuationWatcher({
    source: {
      prefix: 'op/',
      read: ({ key }) => {
        if (!key.startsWith('op/evacuate/')) return { faults: [] };
        const value = key.slice('op/evacuate/'.length);
        return value === '' ? { faults: ['empty'] } : { value, faults: [] };
      },
    },
    documents,
    clock,
    metrics,
  });
  const limits = { bodyBytes: 1, headerMs: 1, idleMs: 1 };
  const routing = createRoutingWatcher({
    store: kv.store,
    source: {
      prefix: 'op/config',
      read: ({ value }) => ({ value: { version: Number(value), queues: [], limits }, faults: [] }),
    },
    documents,
    timer,
    clock,
    random: createRandom(1),
    metrics,
    signal: new AbortController().signal,
    evacuations,
  });
  const names = () => {
    const evacuated = evacuations.evacuated();
    return evacuated && [...evacuated];
  };
  const receive = (version: number, dataCentres: unknown) => {
    const text = JSON.stringify(dataCentres);
    documents.offer('evacuations', { version, text }, 'a2');
  };
  return { timer, kv, documents, evacuations, routing, names, receive };
}

async function startWith(...keys: string[]) {
  const instance = createTestInstance();
  for (const key of keys) instance.kv.put(key, '1');
  instance.routing.start();
  await instance.timer.advance(SETTLE_MS);
  return instance;
}

describe('the evacuated data centres of an instance', () => {
  // Guards against a second watch, and against a start between the configuration and the evacuations.
  it('arrive with the configuration in one list, and change with the same watch', async () => {
    const instance = createTestInstance();
    instance.kv.put('op/config', '1');
    instance.kv.put('op/evacuate/z');
    const known: unknown[] = [];
    instance.routing.onRouting(() => queueMicrotask(() => known.push(instance.names())));
    instance.routing.start();
    expect(instance.evacuations.evacuated()).toEqual(undefined);
    await instance.timer.advance(1);
    expect(known).toEqual([['z']]);
    instance.kv.put('op/evacuate/y');
    await instance.timer.advance(100);
    expect(instance.names()).toEqual(['y', 'z']);
    instance.kv.remove('op/evacuate/z');
    await instance.timer.advance(100);
    expect(instance.names()).toEqual(['y']);
    expect(instance.kv.state.lists).toEqual(1);
  });

  // Guards against an entry of another writer that keeps the configuration from being read.
  it('are read beside other, unreadable and hostile keys, which do not affect the configuration', async () => {
    const keys = ['op/evacuate/', 'op/wave/1', 'op/evacuate/__proto__', 'op/evacuate/constructor'];
    const instance = await startWith(...keys, 'op/config');
    instance.kv.put('op/wave/2', '9');
    await instance.timer.advance(SETTLE_MS);
    expect(instance.routing.routing()?.version).toEqual(1);
    expect(instance.names()).toEqual(['__proto__', 'constructor']);
    const entries = [entry('e', 'a'), entry('f', 'constructor')];
    const applied = applyEvacuations(entries, instance.evacuations.evacuated());
    expect(applied.map(({ isLeaving }) => isLeaving)).toEqual([false, true]);
  });

  // Guards against an evacuation that never ends because its removal is no longer in the history.
  it('are those of a new list when the store has lost its history', async () => {
    const instance = await startWith('op/evacuate/y', 'op/evacuate/z');
    instance.kv.remove('op/evacuate/y');
    instance.kv.loseHistory();
    await instance.timer.advance(SETTLE_MS);
    expect(instance.names()).toEqual(['z']);
    expect(instance.kv.state.lists).toEqual(2);
  });

  // Guards against starts by an instance that cannot read the store and has only the configuration.
  it('come from other instances while the store is down at the start, and never go back', async () => {
    const instance = createTestInstance();
    instance.kv.state.isDown = true;
    instance.routing.start();
    await instance.timer.advance(SETTLE_MS);
    expect(instance.names()).toEqual(undefined);
    instance.receive(20, ['z']);
    instance.receive(19, []);
    instance.receive(21, { z: true });
    expect(instance.names()).toEqual(['z']);
    instance.kv.state.isDown = false;
    await instance.timer.advance(SETTLE_MS);
    expect(instance.names()).toEqual([]);
  });

  // Guards against a last known list that is dropped, or kept against a newer one, without the store.
  it('hold while the store is down, unless another instance has a newer list', async () => {
    const instance = await startWith('op/evacuate/z');
    instance.receive(90, ['y']);
    expect(instance.names()).toEqual(['z']);
    await instance.timer.advance(SETTLE_MS);
    instance.kv.state.isDown = true;
    await instance.timer.advance(SETTLE_MS);
    expect(instance.names()).toEqual(['z']);
    instance.receive(95, ['y', 'z']);
    expect(instance.names()).toEqual(['y', 'z']);
  });

  // Guards against a shared document that outranks the store for ever after a restore from a backup.
  it('are those of a store that restarts at a lower revision, and are shared as newer', async () => {
    const instance = await startWith('op/evacuate/z');
    const before = instance.documents.versions()['evacuations'] ?? 0;
    instance.kv.remove('op/evacuate/z');
    instance.kv.state.revision = 3;
    await instance.timer.advance(SETTLE_MS);
    expect(instance.names()).toEqual([]);
    expect((instance.documents.versions()['evacuations'] ?? 0) > before).toEqual(true);
    expect(instance.documents.select(['evacuations'])['evacuations']?.text).toEqual('[]');
  });

  // Guards against instances without the store that revert for a moment to a list read earlier.
  it('are not shared over a newer document by an answer of the store that was sent earlier', async () => {
    const instance = await startWith('op/config');
    instance.receive(instance.kv.state.revision + 1, ['z']);
    await instance.timer.advance(50);
    instance.kv.put('op/evacuate/z');
    await instance.timer.advance(SETTLE_MS);
    expect(instance.documents.versions()['evacuations']).toEqual(instance.kv.state.revision);
    expect(instance.names()).toEqual(['z']);
  });
});

describe('endpoints of evacuated data centres', () => {
  // Guards against a stale entry that seems rewritten since a restart of its endpoint.
  it('are marked, also while the evacuations are unknown, and keep their identity', () => {
    const entries = [entry('e', 'a'), entry('f', 'b')];
    const marked = applyEvacuations(entries, new Set(['b']));
    expect(marked.map((one) => [one.isLeaving, one.isEvacuated])).toEqual([
      [false, undefined],
      [true, true],
    ]);
    expect(applyEvacuations(entries, new Set(['b']))[1] === marked[1]).toEqual(true);
    expect(applyEvacuations(entries, new Set()) === entries).toEqual(true);
    const held = applyEvacuations(entries, undefined);
    expect(held.map((one) => [one.isLeaving, one.isEvacuated])).toEqual([
      [true, undefined],
      [true, undefined],
    ]);
  });
});
