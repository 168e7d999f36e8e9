/** Tests an owner whose runner has released the claim, in a cluster over injected time. */
import { describe, it } from 'node:test';
import { expect } from 'earl';
import { createCluster, type Command } from './cluster.js';

const NETWORK_SEEDS = [1, 2, 3, 4, 5, 6, 7, 8];
/** Longer than the registration of a claim takes until it is given up. */
const CLAIM_GIVEN_UP_MS = 4_000;
const TRANSFER_WAIT_MS = 2_000;

describe('a successor to whom the runner has released a claim', () => {
  for (const seed of NETWORK_SEEDS) {
    // Guards against a second start: the release was used before every member had left the epoch in
    // which the runner could still claim the id.
    it(`does not start the job before it has all claims of the epoch (network ${seed})`, async () => {
      const cluster = createCluster(seed, { hasTimeLimits: true });
      await cluster.begin(3);
      const job = cluster.findJob(0, 1);
      const commands: Command[] = [
        // Both witnesses store a claim that its runner gives up, because it gets no reply.
        { type: 'cut-one-way', node: 1, other: 0 },
        { type: 'cut-one-way', node: 2, other: 0 },
        { type: 'submit', job, node: 0, other: 0 },
        { type: 'advance', ms: CLAIM_GIVEN_UP_MS },
        { type: 'heal', node: 0, other: 1 },
        { type: 'heal', node: 0, other: 2 },
        { type: 'advance', ms: 500 },
        // The other member learns neither of the epoch nor of the successor's claim.
        { type: 'cut-one-way', node: 1, other: 2 },
        { type: 'evict', node: 1, other: 0 },
        { type: 'submit', job, node: 1, other: 1 },
        { type: 'advance', ms: 150 },
        { type: 'submit', job, node: 0, other: 0 },
        { type: 'advance', ms: 300 },
        { type: 'read-roster', node: 2 },
        { type: 'heal', node: 1, other: 2 },
        { type: 'advance', ms: TRANSFER_WAIT_MS },
      ];
      for (const command of commands) await cluster.execute(command);
      await cluster.end();
      expect(cluster.faults()).toEqual([]);
    });
  }
});
