/**
 * The shard of a job: by its id, among the shards that have endpoints on which it could run, in
 * proportion to their capacity.
 *
 * Load pattern: a service of few endpoints, or a rare label, in a large fleet; some shards have none
 * of them, and would refuse jobs that others could serve. A change of endpoints moves few ids. A
 * caller that sends an id again does so later than its earlier runs, elsewhere, have ended.
 */
import { isAllowed } from '@celerybarrow/dispatch';
import type { EndpointEntry } from '@celerybarrow/endpoints';
import { shardOfEndpoint, shardOfJob } from '@celerybarrow/leadership';
import type { LeasedJob } from '@celerybarrow/protocol';

export interface ShardChooser {
  /** Takes a new list of the endpoints of the fleet. */
  follow(entries: readonly EndpointEntry[], shards: number): void;
  choose(job: LeasedJob): number;
}

interface PlacedEndpoint {
  readonly entry: EndpointEntry;
  readonly shard: number;
}

export function createShardChooser(): ShardChooser {
  let count = 1;
  let placed: readonly PlacedEndpoint[] = [];

  return {
    follow(entries, shards) {
      count = shards;
      placed = entries.map((entry) => ({ entry, shard: shardOfEndpoint(entry.address, shards) }));
    },
    choose(job) {
      if (count === 1) return 0;
      const capacities = Array.from({ length: count }, () => 0);
      for (const { entry, shard } of placed) {
        if (canRun(entry, job)) capacities[shard] = (capacities[shard] ?? 0) + entry.capacity.cores;
      }
      const able = capacities
        .map((capacity, shard) => ({ shard, capacity }))
        .filter(({ capacity }) => capacity > 0);
      const all = capacities.map((_none, shard) => ({ shard, capacity: 1 }));
      return shardOfJob(job.id, able.length === 0 ? all : able);
    },
  };
}

/** Whether the endpoint could ever run a task of some step of the job. */
function canRun(entry: EndpointEntry, job: LeasedJob): boolean {
  if (entry.service !== job.service || entry.isLeaving) return false;
  return job.steps.every((step) => isAllowed(entry, step));
}
