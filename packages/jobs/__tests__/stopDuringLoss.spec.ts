/** Planned stops while the roster changes, in a cluster of real claims over injected time. */
import { describe, it } from 'node:test';
import { expect } from 'earl';
import type { Answer } from '@celerybarrow/protocol';
import { createCluster, type Cluster, type Command } from './cluster.js';

const NETWORK_SEEDS = [1, 2, 3, 4, 5, 6, 7, 8];
/** Time in which a roster settles, or a hand-over that can be done is done. */
const SETTLING_MS = 2_000;
/** Steps over the time that a claim takes to be registered. */
const STEP_MS = 5;
const STEPS_UNTIL_CLAIMED = 12;

async function begin(nodes: number, seed: number): Promise<Cluster> {
  const cluster = createCluster(seed);
  await cluster.begin(nodes);
  return cluster;
}

async function takeAll(cluster: Cluster, commands: readonly Command[]): Promise<void> {
  for (const command of commands) await cluster.take(command);
}

function learnAll(...nodes: number[]): Command[] {
  return nodes.map((node): Command => ({ type: 'learn', node }));
}

function outcomes(answers: readonly Answer[]): string[] {
  return answers.map((answer) => ('problem' in answer ? answer.problem.title : 'complete'));
}

describe('a planned stop', () => {
  for (const seed of NETWORK_SEEDS) {
    // A new job was answered may-have-run, "Record lost", after one stop and one crash.
    it(`doubts no id when another member crashes before it has ceded (network ${seed})`, async () => {
      const cluster = await begin(4, seed);
      const before = cluster.findJob(0, 1);
      await takeAll(cluster, [
        { type: 'submit', job: before, node: 2, other: 2 },
        { type: 'pass', ms: 100 },
        { type: 'pass', ms: SETTLING_MS },
        { type: 'crash', node: 1 },
        { type: 'stop', node: 0 },
        { type: 'pass', ms: 300 },
        { type: 'evict', node: 2, other: 1 },
        ...learnAll(0, 2, 3),
        { type: 'pass', ms: SETTLING_MS },
        ...learnAll(0, 2, 3),
        { type: 'pass', ms: SETTLING_MS },
        ...learnAll(2, 3),
      ]);
      expect(cluster.roster()?.members.map((member) => member.instance)).toEqual(['e2', 'e3']);
      expect(cluster.roster()?.memoryLostBefore).toEqual(0);
      const after = cluster.findJob(2, 3, before + 1);
      await takeAll(cluster, [
        { type: 'submit', job: before, node: 3, other: 3 },
        { type: 'submit', job: after, node: 2, other: 2 },
        { type: 'pass', ms: SETTLING_MS },
      ]);
      expect(outcomes(cluster.answers(before))).toEqual(['complete', 'complete']);
      expect(outcomes(cluster.answers(after))).toEqual(['complete']);
      expect(cluster.faults()).toEqual([]);
    });

    // The successors got a claim that was given up, and asked its runner after it had ended.
    it(`doubts no id whose claim is pending when it begins (network ${seed})`, async () => {
      for (let steps = 1; steps <= STEPS_UNTIL_CLAIMED; steps += 1) {
        const cluster = await begin(4, seed);
        const pending = cluster.findJob(0, 1);
        await takeAll(cluster, [
          { type: 'submit', job: pending, node: 2, other: 2 },
          ...Array.from({ length: steps }, (): Command => ({ type: 'pass', ms: STEP_MS })),
          { type: 'crash', node: 1 },
          { type: 'stop', node: 0 },
          { type: 'pass', ms: 600 },
          { type: 'evict', node: 2, other: 1 },
          ...learnAll(0, 2, 3),
          { type: 'pass', ms: SETTLING_MS },
          ...learnAll(0, 2, 3),
          { type: 'pass', ms: SETTLING_MS },
          ...learnAll(2, 3),
          { type: 'submit', job: pending, node: 3, other: 3 },
          { type: 'pass', ms: 100 },
          { type: 'pass', ms: SETTLING_MS },
        ]);
        const refusals = outcomes(cluster.answers(pending)).filter((one) => one !== 'complete');
        expect(refusals).toEqual([]);
        expect(cluster.answers(pending).length > 0).toEqual(true);
        expect(cluster.faults()).toEqual([]);
      }
    });
  }
});
