import { describe, it } from 'node:test';
import { expect } from 'earl';
import { createRandom } from '@celerybarrow/shared';
import { chooseEndpoint, type Candidate, type PlacementRequest } from '../src/chooseEndpoint.js';
import { quieterEndpoint } from '../src/quieterEndpoint.js';
import { servedShare, simulateLoad } from './loadedPool.js';

const LEARNING_MS = 20_000;
const DURATION_MS = 40_000;
/** Tasks a second with which the 24 slots of the pool are all busy. */
const FULL_PER_SECOND = 120;

/** Runs four teams of which the first two slow each other down by 1.6. */
async function playNoisyTeams(load: number, seed: number, isInterferenceEnabled: boolean) {
  let slowedMs = 0;
  const kinds = ['a', 'b', 'c', 'd'].map((team) => {
    const perSecond = FULL_PER_SECOND / 4;
    return { team, priority: 1, perSecond, meanTasks: 1, maxTasks: 1, meanMs: 200 };
  });
  const noise = {
    isInterferenceEnabled,
    factor: (team: string, neighbour: string) =>
      ['ab', 'ba'].includes(team + neighbour) ? 1.6 : 1,
    onSlowed(ms: number, nowMs: number) {
      if (nowMs > LEARNING_MS) slowedMs += ms;
    },
  };
  const pool = { seed, endpoints: 12, speeds: [0.7, 1, 1.5], kinds, load };
  const jobs = await simulateLoad({ ...pool, durationMs: DURATION_MS, noise });
  return { slowedMs, served: servedShare(jobs) };
}

describe('two teams whose tasks slow each other down', () => {
  for (const seed of [1, 2]) {
    // Guards against tasks that share an endpoint while others are free.
    it(`are kept apart at half load (seed ${seed})`, async () => {
      const usual = await playNoisyTeams(0.5, seed, false);
      const apart = await playNoisyTeams(0.5, seed, true);
      expect(apart.slowedMs <= usual.slowedMs / 4).toEqual(true);
      expect(apart.served >= usual.served).toEqual(true);
    });

    // Guards against endpoints that stay idle, or jobs that are refused, to keep tasks apart.
    it(`share endpoints at full load, and no fewer jobs are served (seed ${seed})`, async () => {
      const usual = await playNoisyTeams(1.2, seed, false);
      const apart = await playNoisyTeams(1.2, seed, true);
      expect(apart.slowedMs >= usual.slowedMs / 4).toEqual(true);
      expect(apart.served >= usual.served - 0.01).toEqual(true);
    });
  }
});

const demand = { cores: 14_000, memoryMb: 64, accelerators: 0 };

function candidate(id: string, slowness: number, room = demand): Candidate {
  const base = { service: 's', address: id, dataCentre: 'd', isLeaving: false, labels: [] };
  return { entry: { id, ...base, capacity: demand }, room, slowness };
}

function requestOf(change: Partial<PlacementRequest>): PlacementRequest {
  return {
    service: 's',
    step: { tasks: 1, demand, estimateMs: 100, after: [] },
    baseMs: 100,
    objectiveInMs: 220,
    patienceMs: 1_400,
    minSlowness: 0.6,
    avoided: new Set(),
    awaitedEndMs: () => Infinity,
    tasksOn: () => 0,
    ...change,
  };
}

describe('the choice of a quieter endpoint', () => {
  const noisy = candidate('noisy', 1);
  const lossOnNoisy = (lossMs: number) => (endpoint: string) => (endpoint === 'noisy' ? lossMs : 0);

  it('compares the loss with the difference of the run times', () => {
    const slow = candidate('slow', 1.6);
    const late = requestOf({ objectiveInMs: 150 });
    const choose = (lossMs: number) =>
      quieterEndpoint([noisy, slow], late, noisy, lossOnNoisy(lossMs))?.candidate.entry.id;
    // The task takes 160 ms on the slow endpoint, which is beyond the objective.
    expect(choose(80)).toEqual(undefined);
    expect(choose(40)).toEqual(undefined);
    const patient = requestOf({ baseMs: 400, objectiveInMs: 700 });
    const chosen = quieterEndpoint([noisy, slow], patient, noisy, lossOnNoisy(300));
    expect(chosen?.candidate.entry.id).toEqual('slow');
    expect(quieterEndpoint([noisy, slow], patient, noisy, lossOnNoisy(200))).toEqual(undefined);
  });

  it('never uses an endpoint without room, or of another service', () => {
    const full = candidate('full', 1, { ...demand, cores: 1 });
    const other = candidate('other', 1);
    const foreign = { ...other, entry: { ...other.entry, service: 'u' } };
    const places = [noisy, full, foreign];
    expect(quieterEndpoint(places, requestOf({}), noisy, lossOnNoisy(900))).toEqual(undefined);
  });

  // Guards against a task that waits, or misses its limits, because of its neighbours.
  it('uses only endpoints on which the task may start without regard to neighbours', () => {
    const random = createRandom(5);
    for (let round = 0; round < 2_000; round += 1) {
      const places = Array.from({ length: 6 }, (_, index) =>
        candidate(`e${index}`, 0.6 + random.next()),
      );
      const request = requestOf({
        baseMs: 1_200 * random.next(),
        objectiveInMs: 1_500 * random.next(),
      });
      const usual = chooseEndpoint(places, request);
      if (usual === undefined) continue;
      const losses = new Map(places.map(({ entry }) => [entry.id, 300 * random.next()]));
      const extraMs = (endpoint: string) => losses.get(endpoint) ?? 0;
      const chosen = quieterEndpoint(places, request, usual, extraMs)?.candidate ?? usual;
      expect(chooseEndpoint([chosen], request)).toEqual(chosen);
      expect(extraMs(chosen.entry.id) <= extraMs(usual.entry.id)).toEqual(true);
    }
  });
});
