import { describe, it } from 'node:test';
import { expect } from 'earl';
import { createDispatcher } from '@celerybarrow/dispatch';
import type { EndpointEntry } from '@celerybarrow/endpoints';
import { createEntry } from '@celerybarrow/entry';
import type { Leadership } from '@celerybarrow/leadership';
import type { LeasedJob } from '@celerybarrow/protocol';
import { createMetrics, type Logger } from '@celerybarrow/telemetry';
import { createElapsedClock, createManualTimer } from '@celerybarrow/timer';
import { createShardChooser } from '../src/chooseShard.js';
import { createSimulatedEndpoints } from './simulatedEndpoints.js';

const SHARDS = 2;
const HEARTBEAT_INTERVAL_MS = 150;
const DEADLINE_MS = 1_500;
const RESUBMIT_DELAY_MS = 1_300;
const FAULT_AFTER_MS = 1_000;

function createJob(id: string): LeasedJob {
  const demand = { cores: 1_000, memoryMb: 1, accelerators: 0 };
  const steps = [{ tasks: 1, demand, estimateMs: 1_000, after: [] }];
  const base = { team: 't', service: 's', priority: 0, maxAttempts: 2, payload: '' };
  const objective = { objectiveStretch: 1.6, objectiveAllowanceMs: 60 };
  return { id, ...base, ...objective, steps, ageMs: 0, remainingMs: DEADLINE_MS };
}

/** Creates directory entries of endpoints. Neighbouring addresses belong to different shards. */
function directoryEntries(...hosts: number[]): EndpointEntry[] {
  const capacity = { cores: 2_000, memoryMb: 1_000, accelerators: 0 };
  const base = { service: 's', dataCentre: 'd', isLeaving: false, capacity, labels: [] };
  return hosts.map((host) => ({ id: `i-${host}`, address: `10.0.0.${host}:2`, ...base }));
}

describe('an id that is submitted again to a fleet of several shards', () => {
  // An endpoint that does not answer orders keeps its run, because lease renewals extend it. Meanwhile a
  // new endpoint joins, which moves the id to another shard that could start it again.
  it('does not run at two shards when an endpoint joins in between', async () => {
    const timer = createManualTimer();
    const clock = createElapsedClock(timer);
    const random = { next: () => 0.8 };
    const ignore = () => undefined;
    const logger: Logger = { debug: ignore, info: ignore, warn: ignore, error: ignore };
    const chooser = createShardChooser(timer);
    const before = directoryEntries(2, 3);
    const after = directoryEntries(2, 3, 5);
    const shardOf = (id: string, entries: EndpointEntry[]) => {
      chooser.updateEndpoints(entries, SHARDS);
      return chooser.choose(createJob(id));
    };
    const ids = Array.from({ length: 1_000 }, (_, number) => `j${number}`);
    const id =
      ids.find(
        (candidate) => shardOf(candidate, before) === 0 && shardOf(candidate, after) === 1,
      ) ?? '';
    const traits = { rejectsByOrderLease: true, maxTaskMs: 5_000, failureProbability: 0 };
    const endpoints = createSimulatedEndpoints(SHARDS, timer, random, traits, ignore);
    const routes = endpoints.all.map(({ entry }, shard) => {
      const member = {
        instance: `d${shard}`,
        incarnation: `d${shard}`,
        peer: '',
        dataCentre: 'd',
        weight: 1,
      };
      const view = { epoch: 1, round: 0, dispatcher: member };
      const leadership = {
        shard,
        view: () => view,
        isDispatching: () => true,
        lastContactMs: () => undefined,
        gatewayState: () => undefined,
        recordUnanswered: () => undefined,
      };
      const fence = () => 1;
      const common = { timer, clock, random, logger, metrics: createMetrics() };
      const network = endpoints.network;
      const local = createDispatcher({ ...common, network, fence, onFenced: ignore });
      local.setEndpoints([entry]);
      timer.onEvery(HEARTBEAT_INTERVAL_MS, () => {
        local.renewGatewayLease('g');
      });
      return { leadership: leadership as unknown as Leadership, local };
    });
    const entry = createEntry({
      instance: 'g',
      shardOf: (job) => chooser.choose(job),
      earlierShardsOf: (job) => chooser.earlierShards(job),
      routes: () => routes,
      timer,
      clock,
      logger,
    });
    chooser.updateEndpoints(before, SHARDS);
    await timer.advance(300);
    void entry.submit(createJob(id), new AbortController().signal);
    await timer.advance(FAULT_AFTER_MS);
    for (const { faults } of endpoints.all.slice(0, 1)) faults.lateOrders = 1;
    chooser.updateEndpoints(after, SHARDS);
    await timer.advance(DEADLINE_MS - FAULT_AFTER_MS + RESUBMIT_DELAY_MS);
    void entry.submit(createJob(id), new AbortController().signal);
    await timer.advance(3_000);
    for (const { local } of routes) local.close();
    expect(endpoints.starts()).toEqual(2);
    expect(endpoints.overlaps()).toEqual([]);
  });
});
