/**
 * Decides what an instance does about a suspected dispatcher.
 *
 * The dispatcher may have been killed, lost power, frozen, or been partitioned, alone or together
 * with its data centre. Or this instance itself may be partitioned. It therefore polls its peers for
 * their opinion, so that one instance with a bad connection cannot replace the dispatcher.
 *
 * With the store, one compare-and-swap decides. Without it, the instances of a data centre that still
 * reach each other continue with the endpoints that they reach. Fencing tokens on the endpoints make
 * two concurrent dispatchers harmless.
 */
import type { FleetMember, Opinion } from '@celerybarrow/protocol';
import { rankMembers, type RankingOptions } from './candidates.js';

/** Delay between the turns of consecutive candidates; longer than one poll of the peers. */
const TURN_INTERVAL_MS = 700;

/**
 * An instance that reaches no peer takes over alone after this time, when the leases of the lost
 * dispatcher have expired. If endpoints then turn out to obey another dispatcher, this instance is
 * the one that is partitioned, and it does not take over alone again.
 */
const TAKE_OVER_ALONE_AFTER_MS = 1_200;

/** Time within which an instance reconnects to its peers after a partition has healed. */
const RECONNECT_MS = 900;

export const TakeoverDecisions = {
  WAIT: 'wait',
  /** Let a better candidate act first. */
  STAND_BY: 'stand-by',
  /** Become dispatcher by compare-and-swap. */
  TAKE: 'take',
  /** Become dispatcher of the reachable endpoints, disconnected from the store. */
  TAKE_APART: 'take-apart',
} as const;
export type TakeoverDecision = (typeof TakeoverDecisions)[keyof typeof TakeoverDecisions];

export interface OpinionReply {
  readonly member: FleetMember;
  readonly opinion: Opinion;
}

export interface TakeoverEvidence {
  readonly self: FleetMember;
  /** All other members, polled or not, without the suspected dispatcher. */
  readonly fleet: readonly FleetMember[];
  /** The polled peers among them. */
  readonly others: readonly FleetMember[];
  /** The replies of the polled peers that answered. */
  readonly answered: readonly OpinionReply[];
  /** A peer that had contact within this time does not suspect the dispatcher. */
  readonly heartbeatTimeoutMs: number;
  readonly isStoreReachable: boolean;
  /** Whether there has been no dispatcher before. */
  readonly isFirstElection: boolean;
  /** Whether the suspected dispatcher still has an entry in the store; undefined if not known. */
  readonly isDispatcherListed: boolean | undefined;
  /** Whether the dispatcher's process has certainly ended. */
  readonly isDispatcherTerminated: boolean;
  readonly ranking: RankingOptions;
  readonly suspectedForMs: number;
  /** How long this instance has let better candidates act first. */
  readonly standingByForMs: number;
  /** Whether endpoints obeyed another dispatcher when this instance last dispatched disconnected. */
  readonly wasFenced: boolean;
}

/** Decides whether to wait, to stand by, or to become dispatcher with or without the store. */
export function decideTakeover(evidence: TakeoverEvidence): TakeoverDecision {
  const { answered, self } = evidence;
  const inContact = answered.filter(({ opinion }) =>
    hasContact(opinion, evidence.heartbeatTimeoutMs),
  );
  const suspecting = answered.filter(
    (reply) => !inContact.includes(reply) && !reply.opinion.isStopping,
  );
  if (inContact.length > suspecting.length + 1) return TakeoverDecisions.WAIT;
  if (!evidence.isStoreReachable) return decideDisconnected(evidence, suspecting);
  if (answered.length === 0 && !isLossCertain(evidence)) return TakeoverDecisions.WAIT;
  if (isReconnecting(evidence)) return TakeoverDecisions.WAIT;
  if (isDataCentrePartitioned(evidence, suspecting)) {
    return evidence.wasFenced ? TakeoverDecisions.WAIT : takeOverDisconnected(evidence, suspecting);
  }
  const candidates = suspecting
    .filter(({ opinion }) => opinion.isStoreReachable)
    .map(({ member }) => member.incarnation);
  const { fleet, ranking } = evidence;
  // The ranking of the whole fleet, because the peers that answered are only a sample: it would give
  // the best of them to the preceding shards once more, and this shard to one of the smallest.
  const ranked = rankMembers([self, ...fleet], ranking).filter(
    (member) => member === self || candidates.includes(member.incarnation),
  );
  return isTurnOf(self, ranked, evidence) ? TakeoverDecisions.TAKE : TakeoverDecisions.STAND_BY;
}

function hasContact(opinion: Opinion, heartbeatTimeoutMs: number): boolean {
  return opinion.heardAgoMs !== undefined && opinion.heardAgoMs < heartbeatTimeoutMs;
}

/**
 * Whether the loss is certain even though no peer answered. An instance that reaches no peer may
 * itself be partitioned, so its own suspicion is not enough.
 */
function isLossCertain({
  others,
  isDispatcherListed,
  isDispatcherTerminated,
}: TakeoverEvidence): boolean {
  if (isDispatcherListed === false) return true;
  return others.length === 0 && isDispatcherTerminated;
}

/**
 * Whether most peers have not answered but may do so soon. Right after a partition has healed,
 * connections are still being reopened, and a dispatcher that the peers have contact with must not be
 * replaced in the meantime. Before the first dispatcher, the peers are still starting, and one of them
 * may be the better candidate.
 */
function isReconnecting(evidence: TakeoverEvidence): boolean {
  if (!isMinority(evidence) || evidence.suspectedForMs >= RECONNECT_MS) return false;
  return evidence.isFirstElection || mayDispatcherRun(evidence);
}

/** Whether fewer than half of the polled peers answered. */
function isMinority({ answered, others }: TakeoverEvidence): boolean {
  return answered.length * 2 < others.length;
}

/** Whether nothing shows that the dispatcher's process has ended. */
function mayDispatcherRun({
  isDispatcherTerminated,
  isDispatcherListed,
}: TakeoverEvidence): boolean {
  return !isDispatcherTerminated && isDispatcherListed !== false;
}

/**
 * Whether the local data centre is partitioned from the others, but not from the store: its members
 * agree, most peers do not answer, and the dispatcher is still listed. A takeover through the store
 * would then replace the dispatcher that the other side has contact with. The other side would reverse
 * it, and both would alternate until the partition heals.
 */
function isDataCentrePartitioned(
  evidence: TakeoverEvidence,
  suspecting: readonly OpinionReply[],
): boolean {
  if (evidence.isFirstElection || !isMinority(evidence) || !mayDispatcherRun(evidence))
    return false;
  const local = evidence.others.filter((member) => isLocal(evidence.self, member));
  return local.length > 0 && hasLocalMajority(evidence, suspecting);
}

function isLocal(self: FleetMember, member: FleetMember): boolean {
  return member.dataCentre === self.dataCentre;
}

/** Whether at least half of the polled peers in the local data centre suspect the dispatcher. */
function hasLocalMajority(
  { self, others }: TakeoverEvidence,
  suspecting: readonly OpinionReply[],
): boolean {
  const localCount = others.filter((member) => isLocal(self, member)).length;
  return suspecting.filter(({ member }) => isLocal(self, member)).length * 2 >= localCount;
}

/** Decides without the store. */
function decideDisconnected(
  evidence: TakeoverEvidence,
  suspecting: readonly OpinionReply[],
): TakeoverDecision {
  if (evidence.answered.some(({ opinion }) => opinion.isStoreReachable))
    return TakeoverDecisions.WAIT;
  if (evidence.answered.length === 0) {
    const canTakeOverAlone =
      !evidence.wasFenced && evidence.suspectedForMs >= TAKE_OVER_ALONE_AFTER_MS;
    return canTakeOverAlone ? TakeoverDecisions.TAKE_APART : TakeoverDecisions.WAIT;
  }
  return hasLocalMajority(evidence, suspecting)
    ? takeOverDisconnected(evidence, suspecting)
    : TakeoverDecisions.WAIT;
}

function takeOverDisconnected(
  evidence: TakeoverEvidence,
  suspecting: readonly OpinionReply[],
): TakeoverDecision {
  const { self, ranking } = evidence;
  const ranked = rankMembers([self, ...suspecting.map(({ member }) => member)], ranking);
  return isTurnOf(self, ranked, evidence)
    ? TakeoverDecisions.TAKE_APART
    : TakeoverDecisions.STAND_BY;
}

/** Whether this instance may act now. Each candidate waits one turn interval per better candidate. */
function isTurnOf(
  self: FleetMember,
  ranked: readonly FleetMember[],
  { standingByForMs }: TakeoverEvidence,
): boolean {
  return standingByForMs >= ranked.indexOf(self) * TURN_INTERVAL_MS;
}
