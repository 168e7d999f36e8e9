/** Tests planned stops during roster changes, in a cluster of real claims over injected time. */
import { describe, it } from 'node:test';
import { expect } from 'earl';
import type { Answer } from '@celerybarrow/protocol';
import { createCluster, type Cluster, type Command } from './cluster.js';

const NETWORK_SEEDS = [1, 2, 3, 4, 5, 6, 7, 8];
/** Long enough for a claim transfer, or for a handover that can complete. */
const TRANSFER_WAIT_MS = 2_000;
/** Long enough for a member without jobs to leave. */
const STOP_MS = 120;
/** Step size and number of steps that cover the registration of a claim. */
const STEP_MS = 5;
const STEPS_UNTIL_CLAIMED = 12;

async function startCluster(nodes: number, seed: number): Promise<Cluster> {
  const cluster = createCluster(seed);
  await cluster.begin(nodes);
  return cluster;
}

async function runAll(cluster: Cluster, commands: readonly Command[]): Promise<void> {
  for (const command of commands) await cluster.execute(command);
}

function readRosterAt(...nodes: number[]): Command[] {
  return nodes.map((node): Command => ({ type: 'read-roster', node }));
}

function outcomes(answers: readonly Answer[]): string[] {
  return answers.map((answer) => ('problem' in answer ? answer.problem.title : 'complete'));
}

describe('a planned stop', () => {
  for (const seed of NETWORK_SEEDS) {
    // Guards against answering a new job may-have-run, "Record lost", after one stop and one crash.
    it(`loses no record if another member crashes before the stopping one is sealed (network ${seed})`, async () => {
      const cluster = await startCluster(4, seed);
      const before = cluster.findJob(0, 1);
      await runAll(cluster, [
        { type: 'submit', job: before, node: 2, other: 2 },
        { type: 'advance', ms: 100 },
        { type: 'advance', ms: TRANSFER_WAIT_MS },
        { type: 'crash', node: 1 },
        { type: 'stop', node: 0 },
        { type: 'advance', ms: 300 },
        { type: 'evict', node: 2, other: 1 },
        ...readRosterAt(0, 2, 3),
        { type: 'advance', ms: TRANSFER_WAIT_MS },
        ...readRosterAt(0, 2, 3),
        { type: 'advance', ms: TRANSFER_WAIT_MS },
        ...readRosterAt(2, 3),
      ]);
      expect(cluster.roster()?.members.map((member) => member.instance)).toEqual(['e2', 'e3']);
      expect(cluster.roster()?.memoryLostBefore).toEqual(0);
      const after = cluster.findJob(2, 3, before + 1);
      await runAll(cluster, [
        { type: 'submit', job: before, node: 3, other: 3 },
        { type: 'submit', job: after, node: 2, other: 2 },
        { type: 'advance', ms: TRANSFER_WAIT_MS },
      ]);
      expect(outcomes(cluster.answers(before))).toEqual(['complete', 'complete']);
      expect(outcomes(cluster.answers(after))).toEqual(['complete']);
      expect(cluster.faults()).toEqual([]);
    });

    // Guards against transferring a claim that is then abandoned: the successors asked its runner
    // after the runner had exited.
    it(`completes a job whose claim is pending when the stop begins (network ${seed})`, async () => {
      for (let steps = 1; steps <= STEPS_UNTIL_CLAIMED; steps += 1) {
        const cluster = await startCluster(4, seed);
        const pending = cluster.findJob(0, 1);
        await runAll(cluster, [
          { type: 'submit', job: pending, node: 2, other: 2 },
          ...Array.from({ length: steps }, (): Command => ({ type: 'advance', ms: STEP_MS })),
          { type: 'crash', node: 1 },
          { type: 'stop', node: 0 },
          { type: 'advance', ms: 600 },
          { type: 'evict', node: 2, other: 1 },
          ...readRosterAt(0, 2, 3),
          { type: 'advance', ms: TRANSFER_WAIT_MS },
          ...readRosterAt(0, 2, 3),
          { type: 'advance', ms: TRANSFER_WAIT_MS },
          ...readRosterAt(2, 3),
          { type: 'submit', job: pending, node: 3, other: 3 },
          { type: 'advance', ms: 100 },
          { type: 'advance', ms: TRANSFER_WAIT_MS },
        ]);
        const refusals = outcomes(cluster.answers(pending)).filter((one) => one !== 'complete');
        expect(refusals).toEqual([]);
        expect(cluster.answers(pending).length > 0).toEqual(true);
        expect(cluster.faults()).toEqual([]);
      }
    });

    // Guards against a second start: the last active member had the only copy of a claim, because
    // the others had been told that it was their only successor, but a member that was still
    // stopping counted as the second one.
    it(`does not hide the loss of the last active member (network ${seed})`, async () => {
      const cluster = await startCluster(3, seed);
      const ofStopping = cluster.findJob(1, 0);
      const ofLast = cluster.findJob(0, 2, ofStopping + 1);
      await runAll(cluster, [
        { type: 'submit', job: ofStopping, node: 1, other: 1 },
        { type: 'advance', ms: 150 },
        { type: 'stop', node: 1 },
        { type: 'submit', job: ofLast, node: 0, other: 0 },
        { type: 'advance', ms: 100 },
        { type: 'stop', node: 2 },
        { type: 'advance', ms: STOP_MS },
        { type: 'crash', node: 0 },
        { type: 'join', node: 0 },
        { type: 'submit', job: ofLast, node: 0, other: 0 },
        { type: 'advance', ms: 100 },
        ...readRosterAt(0, 1),
        { type: 'advance', ms: TRANSFER_WAIT_MS },
      ]);
      expect(cluster.faults()).toEqual([]);
    });
  }
});
