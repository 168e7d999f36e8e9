import { describe, it } from 'node:test';
import { expect } from 'earl';
import type { EndpointEntry } from '@celerybarrow/endpoints';
import { MAX_ALLOWED_MS, type LeasedJob } from '@celerybarrow/protocol';
import { createShardChooser } from '../src/chooseShard.js';

const SHARDS = 4;

function endpoint(number: number, change: Partial<EndpointEntry> = {}): EndpointEntry {
  return {
    id: `e${number}`,
    service: 's',
    address: `10.1.0.${number}:8000`,
    dataCentre: 'a',
    isLeaving: false,
    capacity: { cores: 32_000, memoryMb: 1_000, accelerators: 0 },
    labels: ['k'],
    ...change,
  };
}

function job(id: string, label?: string): LeasedJob {
  const demand = { cores: 14_000, memoryMb: 64, accelerators: 0 };
  return {
    id,
    team: 't',
    service: 's',
    priority: 0,
    maxAttempts: 1,
    objectiveStretch: 1.6,
    objectiveAllowanceMs: 60,
    payload: '',
    steps: [
      { tasks: 2, demand, estimateMs: 100, after: [], ...(label === undefined ? {} : { label }) },
    ],
    ageMs: 0,
    remainingMs: 1_500,
  };
}

function shardsUsed(entries: readonly EndpointEntry[], label?: string): number {
  const used = new Set<number>();
  const chooser = createShardChooser({ nowMs: () => 0 });
  chooser.updateEndpoints(entries, SHARDS);
  for (let number = 0; number < 200; number += 1) {
    used.add(chooser.choose(job(`j${number}`, label)));
  }
  return used.size;
}

describe('the shard of a job', () => {
  const even = [1, 2, 3, 4, 5, 6, 7, 8].map((number) => endpoint(number));

  it('is any shard with endpoints of its service', () => {
    expect(shardsUsed(even)).toEqual(SHARDS);
  });

  it('is never a shard without endpoints of its service', () => {
    const others = even.map((entry) => ({ ...entry, service: 'other' }));
    expect(shardsUsed([...others, endpoint(9), endpoint(10)])).toEqual(2);
  });

  it('is a shard that has an endpoint with the label that the job needs', () => {
    expect(shardsUsed([...even, endpoint(9, { labels: ['rare'] })], 'rare')).toEqual(1);
  });

  it('is not a shard whose only endpoint is leaving', () => {
    expect(shardsUsed([endpoint(1), endpoint(2, { isLeaving: true })])).toEqual(1);
  });

  it('is any shard while no endpoints are known', () => {
    expect(shardsUsed([])).toEqual(SHARDS);
  });
});

describe('the earlier shards of a job', () => {
  const entries = [1, 2, 3, 4, 5, 6, 7, 8].map((number) => endpoint(number));
  const ids = Array.from({ length: 200 }, (_, number) => `j${number}`);

  function createChooserWithChangedList() {
    const time = { nowMs: 0 };
    const chooser = createShardChooser({ nowMs: () => time.nowMs });
    chooser.updateEndpoints([], SHARDS);
    chooser.updateEndpoints(entries, SHARDS);
    time.nowMs = 60_000;
    const before = ids.map((id) => chooser.choose(job(id)));
    chooser.updateEndpoints([...entries, endpoint(9), endpoint(13)], SHARDS);
    const after = ids.map((id) => chooser.choose(job(id)));
    return { time, chooser, before, after };
  }

  it('are the shards that a replaced list gave it', () => {
    const { chooser, before, after } = createChooserWithChangedList();
    const moved = ids.filter((_id, number) => before[number] !== after[number]);
    expect(moved.length > 0).toEqual(true);
    const earlier = ids.map((id) => chooser.earlierShards(job(id)));
    const expected = before.map((shard, number) => (shard === after[number] ? [] : [shard]));
    expect(earlier).toEqual(expected);
  });

  it('are empty before the first list of endpoints', () => {
    const chooser = createShardChooser({ nowMs: () => 0 });
    chooser.updateEndpoints([], SHARDS);
    chooser.updateEndpoints([...entries, endpoint(9, { labels: ['rare'] })], SHARDS);
    const earlier = ids.filter((id) => chooser.earlierShards(job(id, 'rare')).length > 0);
    expect(earlier.length).toEqual(0);
  });

  it('are kept while a run from that time can be left, and dropped after that', () => {
    const { time, chooser, before, after } = createChooserWithChangedList();
    const moved = before.filter((shard, number) => shard !== after[number]);
    // The longest job is submitted again 1.3 s after its end, while a start may come 12 s late.
    time.nowMs += MAX_ALLOWED_MS + 13_300;
    expect(ids.flatMap((id) => chooser.earlierShards(job(id)))).toEqual(moved);
    time.nowMs += 4_000;
    expect(ids.flatMap((id) => chooser.earlierShards(job(id)))).toEqual([]);
  });
});
