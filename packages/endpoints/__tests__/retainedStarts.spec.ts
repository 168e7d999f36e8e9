import { describe, it } from 'node:test';
import { expect } from 'earl';
import { createRetainedStarts, taskKey } from '../src/index.js';

function startOf(index: number, sentMs = 0) {
  const task = { job: 'a', step: 0, index };
  return { key: taskKey(task), task, run: 1, sentMs };
}

describe('retained starts', () => {
  it('are returned once, without those that can no longer be carried out', () => {
    const retained = createRetainedStarts();
    retained.retain('i-1', [startOf(0, 0), startOf(1, 5_000)], 6_000);
    expect(retained.take('i-1', 12_000)).toEqual([startOf(1, 5_000)]);
    expect(retained.take('i-1', 12_000)).toEqual([]);
  });

  // Guards against unbounded memory while a whole data centre leaves.
  it('of the endpoint that left first are dropped over the limit', () => {
    const retained = createRetainedStarts();
    const starts = Array.from({ length: 2_000 }, (_none, index) => startOf(index));
    for (const id of ['i-1', 'i-2', 'i-3']) retained.retain(id, starts, 0);
    expect(['i-1', 'i-2', 'i-3'].map((id) => retained.take(id, 0).length)).toEqual([
      0, 2_000, 2_000,
    ]);
  });
});
