/**
 * Ranks the candidates for dispatching a shard, and chooses which peers are polled about a suspected
 * dispatcher.
 *
 * Instances differ in size. After a start, or after all dispatchers are lost, several shards look for
 * a dispatcher at the same time; each of the largest instances should then get one shard.
 *
 * In a large fleet, every instance that suspects a dispatcher would poll every other instance, which
 * overloads small ones. Each instance therefore polls only a sample: the best candidates and some
 * members of its own data centre.
 */
import { rendezvousWeight } from '@celerybarrow/shared';
import type { FleetMember } from '@celerybarrow/protocol';

/** Number of polled members from the local data centre. */
const MAX_POLLED_LOCAL = 6;
/** Number of polled members from the best candidates. */
const MAX_POLLED_BEST = 6;
/** Number of best candidates that evaluate the loss of a dispatcher at once. */
const LEADING_CANDIDATES = 3;
/** The same among the members of a data centre, which may be partitioned from the others. */
const LEADING_LOCAL_CANDIDATES = 2;

export interface RankingOptions {
  readonly epoch: number;
  /** Number of lower-numbered shards that also need a dispatcher; they get the better candidates. */
  readonly precedingShards: number;
  /** Returns the number of other shards that a member dispatches. */
  readonly countDispatchedShards: (member: FleetMember) => number;
}

/** Orders members by processor share per dispatched shard, largest first; a hash breaks ties. */
export function rankMembers(
  members: readonly FleetMember[],
  { epoch, precedingShards, countDispatchedShards }: RankingOptions,
): FleetMember[] {
  const ranked = members
    .map((member) => ({
      member,
      hash: rendezvousWeight(String(epoch), member.incarnation),
      share: member.weight / (1 + countDispatchedShards(member)),
    }))
    .sort((a, b) => b.share - a.share || b.hash - a.hash)
    .map(({ member }) => member);
  const offset = ranked.length === 0 ? 0 : precedingShards % ranked.length;
  return [...ranked.slice(offset), ...ranked.slice(0, offset)];
}

/**
 * Whether this instance is one of the best candidates of the fleet or of its data centre. Only these
 * evaluate the loss of a dispatcher at once: if all instances of a large fleet did, their polls alone
 * would keep them busy.
 */
export function isLeadingCandidate(
  self: FleetMember,
  others: readonly FleetMember[],
  ranking: RankingOptions,
): boolean {
  if (others.length <= MAX_POLLED_LOCAL + MAX_POLLED_BEST) return true;
  const ranked = rankMembers([self, ...others], ranking);
  const local = ranked.filter((member) => member.dataCentre === self.dataCentre);
  return (
    ranked.indexOf(self) < LEADING_CANDIDATES || local.indexOf(self) < LEADING_LOCAL_CANDIDATES
  );
}

/** Returns all other members of a small fleet, or a sample of a large one. */
export function choosePeersToPoll(
  self: FleetMember,
  others: readonly FleetMember[],
  ranking: RankingOptions,
): readonly FleetMember[] {
  if (others.length <= MAX_POLLED_LOCAL + MAX_POLLED_BEST) return others;
  const best = rankMembers(others, ranking).slice(0, MAX_POLLED_BEST);
  const local = others
    .filter((member) => member.dataCentre === self.dataCentre && !best.includes(member))
    .map((member) => ({
      member,
      hash: rendezvousWeight(self.incarnation, member.incarnation),
    }))
    .sort((a, b) => a.hash - b.hash)
    .map(({ member }) => member);
  return [...best, ...local.slice(0, MAX_POLLED_LOCAL)];
}
