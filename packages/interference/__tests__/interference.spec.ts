import { describe, it } from 'node:test';
import { expect } from 'earl';
import {
  createInterference,
  groupKey,
  type Interference,
  type NamedPairChange,
} from '../src/index.js';
import { createSimulatedPool, taskOf, type PoolOptions } from './simulatedPool.js';

const GROUPS = 12;
const FACTOR = 1.6;
/** Longest times after which a pair leaves force, as docs/design/interference.md states them. */
const FOLLOWED_WITHIN_MS = 30_000;
const FORGOTTEN_WITHIN_MS = 120_000;
/** Bound of the model's memory for each dispatcher, as docs/design/interference.md states it. */
const MAX_BYTES = 1.1e6;

const keyOf = (group: number) => groupKey(taskOf(`team-${group}`));

/** Whether two groups are the first and the second one, which slow each other down. */
function isNoisyPair(target: number, neighbour: number): boolean {
  return target + neighbour === 1;
}

/** Speeds of 0.6 to 1.6; one endpoint is six times as slow for five seconds. */
function slownessOf(endpoint: number, nowMs: number): number {
  return (0.6 + endpoint / 15) * (endpoint === 3 && nowMs > 4_000 && nowMs < 9_000 ? 6 : 1);
}

function createPool(change: Partial<PoolOptions> & { readonly seed: number }) {
  const changes: NamedPairChange[] = [];
  const interference = createInterference({
    onPairChange: (pairChange) => {
      changes.push(pairChange);
    },
  });
  const pool = createSimulatedPool({
    groups: GROUPS,
    endpoints: 16,
    slots: 2,
    pauseMs: 30,
    meanMs: 200,
    factor: (target, neighbour) => (isNoisyPair(target, neighbour) ? FACTOR : 1),
    slowness: slownessOf,
    ...change,
  });
  const isInForce = (target: number, neighbour: number) => {
    const last = changes.filter(
      (pairChange) =>
        pairChange.target === keyOf(target) && pairChange.neighbour === keyOf(neighbour),
    );
    return last.at(-1)?.isInForce === true;
  };
  return { interference, pool, changes, isInForce };
}

function seeds(count: number): number[] {
  return Array.from({ length: count }, (_, index) => index + 1);
}

describe('a pair of groups that slow each other down', () => {
  // Guards against a model that needs more evidence than a team submits in a few minutes, or that
  // blames other groups.
  it('is found within 200 runs of each group, and no other pair is', () => {
    for (const seed of seeds(20)) {
      const { interference, pool, changes, isInForce } = createPool({ seed });
      for (const [target, neighbour] of [
        [0, 1],
        [1, 0],
      ] as const) {
        while ((pool.started[target] ?? 0) < 200 && !isInForce(target, neighbour)) {
          pool.advance(interference, pool.nowMs() + 100);
        }
        expect(isInForce(target, neighbour)).toEqual(true);
        expect((pool.started[target] ?? 0) <= 200).toEqual(true);
      }
      pool.advance(interference, pool.nowMs() + 10_000);
      const noisy = [keyOf(0), keyOf(1)];
      const isOther = ({ target, neighbour }: NamedPairChange) =>
        !noisy.includes(target) || !noisy.includes(neighbour) || target === neighbour;
      expect(changes.filter(isOther)).toEqual([]);
    }
  });

  it('is dropped, and a new one found, when the behaviour changes', () => {
    const { interference, pool, isInForce } = createPool({
      seed: 7,
      factor: (target, neighbour, nowMs) =>
        (nowMs < 60_000 ? target + neighbour === 1 : target + neighbour === 5) ? FACTOR : 1,
    });
    pool.advance(interference, 60_000);
    expect([isInForce(0, 1), isInForce(1, 0), isInForce(2, 3)]).toEqual([true, true, false]);
    pool.advance(interference, 60_000 + FOLLOWED_WITHIN_MS);
    expect([isInForce(0, 1), isInForce(1, 0)]).toEqual([false, false]);
    expect([isInForce(2, 3), isInForce(3, 2)]).toEqual([true, true]);
  });

  // Guards against a pair that stays in force forever because it is kept apart.
  it('is forgotten when its groups are no longer seen together', () => {
    const { interference, pool, isInForce } = createPool({ seed: 8 });
    pool.advance(interference, 60_000);
    expect(isInForce(0, 1)).toEqual(true);
    const report = (receivedMs: number) => {
      interference.reported({ endpoint: 'other', receivedMs, running: [] });
    };
    for (let ms = 0; ms <= FORGOTTEN_WITHIN_MS; ms += 1_000) report(60_000 + ms);
    expect(interference.pairsInForce()).toEqual(0);
  });
});

describe('groups that do not slow each other down', () => {
  // Guards against a long job, a slow endpoint or chance that looks like a noisy neighbour.
  it('form no pair in any of 100 seeds', () => {
    const falsePairs = seeds(100).flatMap((seed) => {
      const { interference, pool, changes } = createPool({ seed, factor: () => 1 });
      pool.advance(interference, 20_000);
      return changes;
    });
    expect(falsePairs).toEqual([]);
  });

  it('form no pair although the rate of a task varies and a full machine is slower', () => {
    const falsePairs = seeds(20).flatMap((seed) => {
      const noise = { phaseSpread: 0.15, startDelayMs: 10, factor: () => 1.08 };
      const { interference, pool, changes } = createPool({ seed, ...noise });
      pool.advance(interference, 20_000);
      return changes;
    });
    expect(falsePairs).toEqual([]);
  });
});

describe('endpoints that restart', () => {
  // Guards against durations between the clocks of two incarnations.
  it('form no pair, and do not hide one', () => {
    for (const seed of seeds(10)) {
      const quiet = createPool({ seed, restartMs: 3_000, factor: () => 1 });
      quiet.pool.advance(quiet.interference, 20_000);
      expect(quiet.changes).toEqual([]);
      const noisy = createPool({ seed, restartMs: 3_000 });
      noisy.pool.advance(noisy.interference, 30_000);
      expect([noisy.isInForce(0, 1), noisy.isInForce(1, 0)]).toEqual([true, true]);
    }
  });
});

describe('a flood of new groups', () => {
  it('stays within the memory bound and leaves the known pair in force', () => {
    const floodFrom = 4_000;
    const { interference, pool, isInForce } = createPool({
      seed: 9,
      teamOf: (group, started) =>
        started > floodFrom && group >= 2
          ? `${'long-name-'.repeat(10)}${Math.floor(started / 4)}`.slice(-40)
          : `team-${group}`,
    });
    while (pool.started.reduce((sum, one) => sum + one) < 3 * floodFrom) {
      pool.advance(interference, pool.nowMs() + 1_000);
    }
    const { bytes, groups } = interference.size();
    expect(bytes <= MAX_BYTES).toEqual(true);
    expect(groups <= 240).toEqual(true);
    expect([isInForce(0, 1), isInForce(1, 0)]).toEqual([true, true]);
  });
});

describe('pairs from another dispatcher', () => {
  function learned(): Interference {
    const { interference, pool } = createPool({ seed: 10 });
    pool.advance(interference, 60_000);
    return interference;
  }

  it('are in force at a new one, within a few kilobytes', () => {
    const pairs = learned().exportPairs(60_000);
    expect(pairs.length).toEqual(2);
    expect(JSON.stringify(pairs).length / pairs.length <= 180).toEqual(true);
    const { interference } = createPool({ seed: 11 });
    interference.importPairs(pairs, 0);
    expect(interference.pairsInForce()).toEqual(2);
  });

  it('do not replace what this one knows', () => {
    const { interference, pool } = createPool({ seed: 12, factor: () => 1 });
    pool.advance(interference, 60_000);
    interference.importPairs(learned().exportPairs(60_000), 60_000);
    expect(interference.pairsInForce()).toEqual(0);
  });
});

describe('the penalty of a placement', () => {
  it('is the loss of the new task and of its neighbours while both run', () => {
    const { interference } = createPool({ seed: 13 });
    const pair = { factor: 1.5, weight: 500, ageMs: 0 };
    const [a, b] = [keyOf(0), keyOf(1)];
    interference.importPairs([{ ...pair, target: a, neighbour: b }], 0);
    const start = { endpoint: 'e', key: 'r', sentMs: 0, expectedMs: 100 };
    interference.started({ ...start, task: taskOf('team-1') });
    const penalty = (team: string, runMs: number, nowMs: number) => {
      const group = interference.groupOf(taskOf(team));
      return group === undefined ? 0 : Math.round(interference.penaltyMs('e', group, runMs, nowMs));
    };
    const whole = penalty('team-0', 80, 0);
    expect(whole >= 32 && whole <= 40).toEqual(true);
    // Only 40 ms of the neighbour are left.
    expect(penalty('team-0', 80, 60)).toEqual(whole / 2);
    // The pair is ordered: beside its like, the noisy group loses nothing and costs nothing.
    expect(penalty('team-1', 80, 0)).toEqual(0);
  });
});
