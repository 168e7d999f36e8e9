import { describe, it } from 'node:test';
import { expect } from 'earl';
import { createManualTimer } from '@celerybarrow/timer';
import { createProbeBudget } from '../src/index.js';

describe('the probe budget', () => {
  // Guards against a dispatcher that spends its processor time on refused connections while a data
  // centre with hundreds of unacknowledged starts is down.
  it('grants at most 1,000 probes a second', async () => {
    const timer = createManualTimer();
    const budget = createProbeBudget(timer);
    let granted = 0;
    for (let passedMs = 0; passedMs < 1_000; passedMs += 20) {
      for (let probe = 0; probe < 300; probe += 1) if (budget.take()) granted += 1;
      await timer.advance(20);
    }
    expect(granted).toEqual(1_000);
  });
});
