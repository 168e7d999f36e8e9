import { describe, it } from 'node:test';
import { expect } from 'earl';
import { JobStates } from '@celerybarrow/protocol';
import { fillingRate, startUplink, type UplinkResult } from './simulatedUplink.js';

/** A link of 2 Mbit/s. */
const BYTES_PER_MS = 250;
const FULL = fillingRate(BYTES_PER_MS);

function completed({ outcomes }: UplinkResult): number {
  return outcomes[JobStates.COMPLETED] ?? 0;
}

describe('a dispatcher on a full link', () => {
  // A small twin of the large deployment served none of 2,910 jobs on a calm day: orders waited for
  // the link, counted as unanswered, and were sent again elsewhere.
  it('serves no less when more work is offered', async () => {
    const served: number[] = [];
    for (const share of [0.5, 0.8, 1, 1.5, 2, 3]) {
      const uplink = startUplink(BYTES_PER_MS);
      await uplink.start();
      const result = await uplink.offer(share * FULL, 20_000);
      await uplink.finish();
      served.push(completed(result));
      expect(result.overlaps).toEqual([]);
    }
    const [first = 0, second = 0, ...more] = served;
    expect(first >= 0.97 * 0.5 * FULL * 20).toEqual(true);
    expect(second >= 0.9 * 0.8 * FULL * 20).toEqual(true);
    for (const count of more) expect(count >= 0.9 * second).toEqual(true);
  });

  it('serves everything again within five seconds of a burst of three times its rate', async () => {
    const uplink = startUplink(BYTES_PER_MS);
    await uplink.start();
    await uplink.offer(0.6 * FULL, 2_000);
    await uplink.offer(3 * FULL, 3_000);
    await uplink.offer(0.6 * FULL, 5_000);
    const after = await uplink.offer(0.6 * FULL, 5_000);
    await uplink.finish();
    expect(completed(after)).toEqual(after.submitted);
  });

  it('refuses what the link cannot carry within 300 ms', async () => {
    const uplink = startUplink(BYTES_PER_MS);
    await uplink.start();
    const { refusedAfterMs } = await uplink.offer(3 * FULL, 10_000);
    await uplink.finish();
    const sorted = [...refusedAfterMs].sort((a, b) => a - b);
    expect(sorted.length > 0).toEqual(true);
    expect((sorted[Math.floor(sorted.length * 0.9)] ?? Infinity) < 300).toEqual(true);
  });
});
