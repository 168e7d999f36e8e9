import { describe, it } from 'node:test';
import { expect } from 'earl';
import { startBusyFleet } from './busyFleet.js';

const LOADED = { instances: 30, load: 0.55, takeoverCostMs: 900 };

describe('a dispatcher with a busy processor', () => {
  // On a calm day of the large deployment, each shard got a new dispatcher about every 0.8 s. Each
  // one began with the work that had made its predecessor late.
  it('is not replaced again and again', async () => {
    const fleet = await startBusyFleet(LOADED);
    await fleet.timer.advance(3_000);
    fleet.keepDispatcherBusy(1_200);
    await fleet.timer.advance(7_000);
    const settled = fleet.views();
    await fleet.timer.advance(15_000);
    fleet.close();
    expect(fleet.views()).toEqual(settled);
    expect(settled <= 3).toEqual(true);
  });

  it('is replaced within a second and a half after it has failed', async () => {
    const fleet = await startBusyFleet(LOADED);
    await fleet.timer.advance(3_000);
    const [lost] = fleet.dispatchers();
    fleet.killDispatcher();
    await fleet.timer.advance(1_500);
    const [next] = fleet.dispatchers();
    fleet.close();
    expect(next === undefined || next === lost).toEqual(false);
  });
});
