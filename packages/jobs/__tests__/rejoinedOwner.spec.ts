/** An owner that was cut off, replaced, and is back, in a cluster over injected time. */
import { describe, it } from 'node:test';
import { expect } from 'earl';
import { createCluster, type Command } from './cluster.js';

const NETWORK_SEEDS = [1, 2, 3, 4, 5, 6, 7, 8];
/** Moments after the heal at which the owner joins again, while its claim is pending. */
const JOINS_AFTER_MS = [0, 20, 50, 80, 120];
const SETTLING_MS = 2_000;
/** Longer than the cluster holds a message of a cut link before it is lost. */
const LOST_AFTER_MS = 4_300;

function learnAll(...nodes: number[]): Command[] {
  return nodes.map((node): Command => ({ type: 'learn', node }));
}

describe('an owner that is back in the roster', () => {
  for (const seed of NETWORK_SEEDS) {
    // It answered 503 may-have-run, "Claim contested", where its successor had the whole answer.
    it(`gives the answer of its successor (network ${seed})`, async () => {
      for (const joinAfterMs of JOINS_AFTER_MS) {
        const cluster = createCluster(seed);
        await cluster.begin(3);
        const job = cluster.findJob(0, 1);
        const commands: Command[] = [
          { type: 'cut', node: 0, other: 1 },
          { type: 'cut', node: 0, other: 2 },
          { type: 'submit', job, node: 0, other: 0 },
          { type: 'pass', ms: 200 },
          { type: 'evict', node: 1, other: 0 },
          ...learnAll(2),
          { type: 'pass', ms: 300 },
          ...learnAll(1, 2),
          { type: 'submit', job, node: 1, other: 1 },
          { type: 'pass', ms: 100 },
          { type: 'pass', ms: 900 },
          ...learnAll(1, 2),
          { type: 'heal', node: 0, other: 1 },
          { type: 'heal', node: 0, other: 2 },
          { type: 'pass', ms: joinAfterMs },
          { type: 'join', node: 0 },
          ...learnAll(1, 2),
          { type: 'pass', ms: SETTLING_MS },
          ...learnAll(0, 1, 2),
          { type: 'pass', ms: SETTLING_MS * 2 },
          { type: 'submit', job, node: 0, other: 0 },
          { type: 'pass', ms: 100 },
          { type: 'pass', ms: SETTLING_MS * 2 },
        ];
        for (const command of commands) await cluster.take(command);
        const [outside, inside, again] = cluster.answers(job);
        expect(outside?.id).toEqual(`job-${job}`);
        expect(inside).toEqual(outside);
        expect(again).toEqual(outside);
        expect(cluster.faults()).toEqual([]);
      }
    });

    // A living instance that was silent for some seconds was said to have ended, with its answer.
    it(`is asked again for its answer when it was only silent (network ${seed})`, async () => {
      const cluster = createCluster(seed);
      await cluster.begin(3);
      const job = cluster.findJob(0, 1);
      const commands: Command[] = [
        { type: 'submit', job, node: 0, other: 0 },
        { type: 'pass', ms: 100 },
        { type: 'pass', ms: SETTLING_MS },
        { type: 'cut', node: 0, other: 1 },
        { type: 'cut', node: 0, other: 2 },
        { type: 'evict', node: 1, other: 0 },
        ...learnAll(2),
        { type: 'pass', ms: SETTLING_MS },
        ...learnAll(1, 2),
        { type: 'submit', job, node: 1, other: 1 },
        { type: 'pass', ms: 100 },
        { type: 'pass', ms: LOST_AFTER_MS },
        { type: 'heal', node: 0, other: 1 },
        { type: 'heal', node: 0, other: 2 },
        { type: 'pass', ms: SETTLING_MS },
      ];
      for (const command of commands) await cluster.take(command);
      const [first, second] = cluster.answers(job);
      expect(first?.id).toEqual(`job-${job}`);
      expect(second).toEqual(first);
      expect(cluster.faults()).toEqual([]);
    });
  }
});
