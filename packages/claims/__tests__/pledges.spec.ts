import { describe, it } from 'node:test';
import { expect } from 'earl';
import { createManualTimer } from '@celerybarrow/timer';
import { createPledges } from '../src/pledges.js';

const LONGER_THAN_KEPT_MS = 17 * 60_000;

describe('pledges to accept no claim', () => {
  it('hold within their epoch only', () => {
    const pledges = createPledges(createManualTimer());
    pledges.add('a', 3);
    expect(pledges.has('a', 3)).toEqual(true);
    expect(pledges.has('a', 4)).toEqual(false);
    expect(pledges.has('b', 3)).toEqual(false);
  });

  it('are forgotten when no owner would take the submission any more', async () => {
    const timer = createManualTimer();
    const pledges = createPledges(timer);
    pledges.add('a', 3);
    await timer.advance(LONGER_THAN_KEPT_MS);
    pledges.add('b', 3);
    expect(pledges.has('a', 3)).toEqual(false);
    expect(pledges.has('b', 3)).toEqual(true);
  });

  it('of earlier epochs are forgotten with the first of a new one', () => {
    const pledges = createPledges(createManualTimer());
    pledges.add('a', 3);
    pledges.add('b', 4);
    expect(pledges.has('a', 3)).toEqual(false);
  });
});
