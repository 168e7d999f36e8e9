/**
 * Chooses the shard of a job by rendezvous hashing of its id. Only shards with endpoints that can run
 * the job are candidates, weighted by the capacity of these endpoints.
 *
 * Load pattern: a service with few endpoints, or a rare label, in a large fleet. Some shards have no
 * such endpoint and would refuse jobs that other shards could serve. When endpoints change, few ids
 * move to another shard.
 *
 * Fault pattern: a caller submits an id again after such a change, while the previous shard still runs
 * it. The endpoint lists of the last seconds give the shards that must be asked first.
 */
import { canRunStep } from '@celerybarrow/dispatch';
import type { EndpointEntry } from '@celerybarrow/endpoints';
import {
  createShardHash,
  shardOfEndpoint,
  shardOfJob,
  type ShardHash,
} from '@celerybarrow/leadership';
import { MAX_ALLOWED_MS, type LeasedJob } from '@celerybarrow/protocol';
import type { TimerService } from '@celerybarrow/timer';

/** Time in which a caller submits again and an endpoint may still carry out an unacknowledged order. */
const RESUBMISSION_MS = 14_500;
/** How long a replaced endpoint list is kept: as long as a run may be left that dates from it. */
const REPLACED_LIST_RETENTION_MS = MAX_ALLOWED_MS + RESUBMISSION_MS;

export interface ShardChooser {
  /** Replaces the list of all endpoints of the fleet. */
  updateEndpoints(entries: readonly EndpointEntry[], shards: number): void;
  /** Returns the shard of a job by the current list. */
  choose(job: LeasedJob): number;
  /** Returns the other shards that recently replaced lists gave the job, latest first. */
  earlierShards(job: LeasedJob): readonly number[];
}

interface ShardEndpoint {
  readonly entry: EndpointEntry;
  readonly shard: number;
}

/** Endpoints of the same service and size: most jobs are matched once per group, not per endpoint. */
interface EndpointGroup {
  readonly members: readonly ShardEndpoint[];
  /** Cores of the members in thousandths, by shard. */
  readonly cores: readonly number[];
}

type Groups = readonly EndpointGroup[];

export function createShardChooser(timer: Pick<TimerService, 'nowMs'>): ShardChooser {
  let shardCount = 1;
  let current: Groups = [];
  /** Oldest first. */
  let replaced: { readonly groups: Groups; readonly atMs: number }[] = [];

  function updateEndpoints(entries: readonly EndpointEntry[], shards: number): void {
    const nowMs = timer.nowMs();
    replaced = replaced.filter(({ atMs }) => nowMs - atMs < REPLACED_LIST_RETENTION_MS);
    // No run dates from these states: no job has a shard until the number of shards is agreed, and no
    // endpoint is known before the first list.
    if (shards !== shardCount) replaced = [];
    else if (current.length > 0) replaced.push({ groups: current, atMs: nowMs });
    shardCount = shards;
    current = groupEndpoints(entries, shards);
  }

  function chooseFrom(groups: Groups, job: LeasedJob, hashOf: ShardHash): number {
    const candidates = Array.from({ length: shardCount }, (_none, shard) => ({
      shard,
      capacity: 0,
    }));
    for (const group of groups) {
      const cores = eligibleCores(group, job);
      for (const candidate of candidates) candidate.capacity += cores[candidate.shard] ?? 0;
    }
    const eligible = candidates.filter(({ capacity }) => capacity > 0);
    const all = candidates.map(({ shard }) => ({ shard, capacity: 1 }));
    return shardOfJob(job.id, eligible.length === 0 ? all : eligible, hashOf);
  }

  return {
    updateEndpoints,
    choose: (job) => (shardCount === 1 ? 0 : chooseFrom(current, job, createShardHash(job.id))),
    earlierShards(job) {
      if (shardCount === 1) return [];
      const nowMs = timer.nowMs();
      const recent = replaced.filter(({ atMs }) => nowMs - atMs < REPLACED_LIST_RETENTION_MS);
      const hashOf = createShardHash(job.id);
      const shards = new Set(recent.reverse().map(({ groups }) => chooseFrom(groups, job, hashOf)));
      shards.delete(chooseFrom(current, job, hashOf));
      return [...shards];
    },
  };
}

function groupEndpoints(entries: readonly EndpointEntry[], shards: number): Groups {
  const groups = new Map<string, { members: ShardEndpoint[]; cores: number[] }>();
  for (const entry of entries) {
    if (entry.isLeaving) continue;
    const { cores, memoryMb, accelerators } = entry.capacity;
    const key = JSON.stringify([entry.service, cores, memoryMb, accelerators]);
    const group = groups.get(key) ?? { members: [], cores: Array<number>(shards).fill(0) };
    groups.set(key, group);
    const shard = shardOfEndpoint(entry.address, shards);
    group.members.push({ entry, shard });
    group.cores[shard] = (group.cores[shard] ?? 0) + cores;
  }
  return [...groups.values()];
}

/** Returns the cores, by shard, of the endpoints that can run a task of every step of the job. */
function eligibleCores({ members, cores }: EndpointGroup, job: LeasedJob): readonly number[] {
  const [first] = members;
  if (first === undefined || first.entry.service !== job.service) return [];
  const needsLabel = job.steps.some((step) => step.label !== undefined);
  if (!needsLabel) return canRun(first.entry, job) ? cores : [];
  const eligible = cores.map(() => 0);
  for (const { entry, shard } of members) {
    if (canRun(entry, job)) eligible[shard] = (eligible[shard] ?? 0) + entry.capacity.cores;
  }
  return eligible;
}

function canRun(entry: EndpointEntry, job: LeasedJob): boolean {
  return job.steps.every((step) => canRunStep(entry, step));
}
