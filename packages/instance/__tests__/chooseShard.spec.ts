import { describe, it } from 'node:test';
import { expect } from 'earl';
import type { EndpointEntry } from '@celerybarrow/endpoints';
import type { LeasedJob } from '@celerybarrow/protocol';
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
  const chooser = createShardChooser();
  chooser.follow(entries, SHARDS);
  for (let number = 0; number < 200; number += 1) {
    used.add(chooser.choose(job(`j${number}`, label)));
  }
  return used.size;
}

describe('the shard of a job', () => {
  const even = [1, 2, 3, 4, 5, 6, 7, 8].map((number) => endpoint(number));

  it('is any of those with endpoints of its service', () => {
    expect(shardsUsed(even)).toEqual(SHARDS);
  });

  it('is never one without endpoints of its service', () => {
    const others = even.map((one) => ({ ...one, service: 'other' }));
    expect(shardsUsed([...others, endpoint(9), endpoint(10)])).toEqual(2);
  });

  it('is one that has an endpoint with the label that the job needs', () => {
    expect(shardsUsed([...even, endpoint(9, { labels: ['rare'] })], 'rare')).toEqual(1);
  });

  it('is not one whose only endpoint leaves', () => {
    expect(shardsUsed([endpoint(1), endpoint(2, { isLeaving: true })])).toEqual(1);
  });

  it('is any of them while no endpoints are known', () => {
    expect(shardsUsed([])).toEqual(SHARDS);
  });
});
