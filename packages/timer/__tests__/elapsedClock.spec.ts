import { describe, it } from 'node:test';
import { expect } from 'earl';
import { createElapsedClock, type TimerService } from '../src/index.js';

function createClocks() {
  const clocks = { steadyMs: 100, wallMs: 1_000_000 };
  const timer = { nowMs: () => clocks.steadyMs, wallMs: () => clocks.wallMs } as TimerService;
  return { clocks, clock: createElapsedClock(timer) };
}

describe('the elapsed clock', () => {
  it('goes with the steady clock', () => {
    const { clocks, clock } = createClocks();
    clocks.steadyMs += 500;
    clocks.wallMs += 510;
    expect(clock.nowMs()).toEqual(500);
  });

  it('counts the time of a suspension, in which the steady clock stands still', () => {
    const { clocks, clock } = createClocks();
    clocks.steadyMs += 10;
    clocks.wallMs += 4_000;
    expect(clock.nowMs()).toEqual(4_000);
  });

  it('never goes back, whatever the wall clock does', () => {
    const { clocks, clock } = createClocks();
    clocks.steadyMs += 200;
    clocks.wallMs -= 5_000;
    expect(clock.nowMs()).toEqual(200);
    clocks.steadyMs += 100;
    clocks.wallMs += 100;
    expect(clock.nowMs()).toEqual(300);
  });
});
