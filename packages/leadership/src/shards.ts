/**
 * Divides a fleet into shards, each with its own dispatcher.
 *
 * One instance cannot start all tasks of a large fleet. When it stalls, the gateways replace it,
 * and its successor stalls as well. A shard therefore has only some of the endpoints, and the jobs
 * whose ids hash to it. The store keeps the number of shards, which is agreed once. The id of a job selects
 * its shard, so a resubmission reaches the dispatcher that knows its earlier runs.
 */
import { parseAddress, rendezvousWeight } from '@celerybarrow/shared';

/** Number of instances that one dispatcher can serve in addition to its own callers. */
const INSTANCES_PER_SHARD = 9;
const OCTET_BASE = 256;
const MAX_HASH = 2 ** 48 - 1;

/** Returns the number of shards for a fleet of this many instances. */
export function countShards(instances: number): number {
  return Math.max(1, Math.round(instances / INSTANCES_PER_SHARD));
}

export interface ShardCapacity {
  readonly shard: number;
  /** Relative capacity in any unit; a shard gets jobs in proportion to it. */
  readonly capacity: number;
}

/** Deterministic hash of a job and a shard. Its values are exponentially distributed. */
export type ShardHash = (shard: number) => number;

/** Creates a hash function for a job that computes each shard's value once and caches it. */
export function createShardHash(job: string): ShardHash {
  const hashes = new Map<number, number>();
  return (shard) => {
    const cached = hashes.get(shard);
    if (cached !== undefined) return cached;
    const hash = -Math.log((rendezvousWeight(job, String(shard)) + 1) / (MAX_HASH + 2));
    hashes.set(shard, hash);
    return hash;
  };
}

/** Selects the shard of a job among those that could run it, by weighted rendezvous hashing. */
export function shardOfJob(
  job: string,
  shards: readonly ShardCapacity[],
  hashOf: ShardHash = createShardHash(job),
): number {
  let best = { shard: 0, score: -Infinity };
  for (const { shard, capacity } of shards) {
    const score = capacity / hashOf(shard);
    if (score > best.score) best = { shard, score };
  }
  return best.shard;
}

/**
 * Selects the shard of an endpoint by its address. Adjacent addresses, which are often in one rack,
 * go to different shards, so that each shard gets its share of every rack and of every kind.
 */
export function shardOfEndpoint(address: string, shards: number): number {
  if (shards === 1) return 0;
  const parsed = parseAddress(address);
  const octets = parsed?.host.split('.').map(Number) ?? [];
  if (
    parsed === undefined ||
    octets.length !== 4 ||
    octets.some((octet) => !Number.isInteger(octet))
  ) {
    return rendezvousWeight('shard', address) % shards;
  }
  return (octets.reduce((sum, octet) => sum * OCTET_BASE + octet, 0) + parsed.port) % shards;
}
