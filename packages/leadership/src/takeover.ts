/**
 * What an instance does about a dispatcher that it no longer hears.
 *
 * Fault patterns: the dispatcher was killed, lost power, froze or was cut off, alone or with its
 * data centre; or it is this instance that is cut off. Others are asked for their opinion, so that
 * one instance with a bad connection deposes nobody. With the store, one compare-and-swap decides.
 * Without the store, the instances of a data centre that still reach each other go on with the
 * endpoints that they reach; the fences of endpoints make two dispatchers harmless.
 */
import type { FleetMember, Opinion } from '@celerybarrow/protocol';
import { rankMembers, type Ranking } from './candidates.js';

/** How much later each further candidate acts than the one before it; longer than one inquiry. */
const PATIENCE_PER_RANK_MS = 700;

/**
 * An instance that reaches nobody goes on alone after this time, when the leases of the dispatcher
 * that it lost have ended. If endpoints then turn out to obey another one, it is this instance that
 * is cut off, and it does not try again.
 */
const ALONE_AFTER_MS = 1_200;

/** Within this time an instance whose cut has healed reaches the others again. */
const RECONNECT_MS = 900;

export const Takeovers = {
  WAIT: 'wait',
  /** Another candidate comes first; its turn is now. */
  STAND_BY: 'stand-by',
  /** Become dispatcher by compare-and-swap. */
  TAKE: 'take',
  /** Become dispatcher of what is in reach, without the store. */
  TAKE_APART: 'take-apart',
} as const;
export type Takeover = (typeof Takeovers)[keyof typeof Takeovers];

export interface Answered {
  readonly member: FleetMember;
  readonly opinion: Opinion;
}

export interface Suspicion {
  readonly self: FleetMember;
  /** The other instances that were asked, without the suspected dispatcher. */
  readonly others: readonly FleetMember[];
  /** Those of them that answered. */
  readonly answered: readonly Answered[];
  /** Whether an answer within this time counts as hearing the dispatcher. */
  readonly silenceMs: number;
  readonly isStoreReachable: boolean;
  /** Whether no dispatcher has ever been named. */
  readonly isFirst: boolean;
  /** Whether the store still lists the suspected dispatcher's process; undefined if not known. */
  readonly isDispatcherListed: boolean | undefined;
  /** Whether the dispatcher's process has certainly ended. */
  readonly isDispatcherGone: boolean;
  readonly ranking: Ranking;
  readonly suspectedForMs: number;
  /** How long another candidate has had its turn. */
  readonly standingByForMs: number;
  /** Whether endpoints obeyed another dispatcher when this instance last went on apart. */
  readonly wasFenced: boolean;
}

export function decideTakeover(suspicion: Suspicion): Takeover {
  const { answered, self } = suspicion;
  const hearing = answered.filter(({ opinion }) => hears(opinion, suspicion.silenceMs));
  const silent = answered.filter((one) => !hearing.includes(one) && !one.opinion.isStopping);
  if (hearing.length > silent.length + 1) return Takeovers.WAIT;
  if (!suspicion.isStoreReachable) return decideApart(suspicion, silent);
  if (answered.length === 0 && !isCertain(suspicion)) return Takeovers.WAIT;
  if (isReconnecting(suspicion)) return Takeovers.WAIT;
  if (isDataCentreCutOff(suspicion, silent)) {
    return suspicion.wasFenced ? Takeovers.WAIT : goOnApart(suspicion, silent);
  }
  const candidates = silent
    .filter(({ opinion }) => opinion.isStoreReachable)
    .map(({ member }) => member);
  return isTurnOf(self, candidates, suspicion) ? Takeovers.TAKE : Takeovers.STAND_BY;
}

function hears(opinion: Opinion, silenceMs: number): boolean {
  return opinion.heardAgoMs !== undefined && opinion.heardAgoMs < silenceMs;
}

/** An instance that reaches nobody may itself be cut off, and needs more than its own silence. */
function isCertain({ others, isDispatcherListed, isDispatcherGone }: Suspicion): boolean {
  if (isDispatcherListed === false) return true;
  return others.length === 0 && isDispatcherGone;
}

/**
 * Most others do not answer either, and may be about to: right after a cut has healed, connections
 * are opened anew, and the dispatcher that the others hear must not be deposed meanwhile. Before the
 * first dispatcher the others are still starting, and one of them may be the better candidate.
 */
function isReconnecting(suspicion: Suspicion): boolean {
  if (!isMinority(suspicion) || suspicion.suspectedForMs >= RECONNECT_MS) return false;
  return suspicion.isFirst || mayBeRunning(suspicion);
}

function isMinority({ answered, others }: Suspicion): boolean {
  return answered.length * 2 < others.length;
}

function mayBeRunning({ isDispatcherGone, isDispatcherListed }: Suspicion): boolean {
  return !isDispatcherGone && isDispatcherListed !== false;
}

/**
 * The own data centre agrees, most others do not answer, and the dispatcher is still listed: it is
 * this data centre that is cut off, though not from the store. Naming a new dispatcher there would
 * depose the one that the others hear, and they would take it back, by turns for as long as the cut.
 */
function isDataCentreCutOff(suspicion: Suspicion, silent: readonly Answered[]): boolean {
  if (suspicion.isFirst || !isMinority(suspicion) || !mayBeRunning(suspicion)) return false;
  const near = suspicion.others.filter((member) => isNear(suspicion.self, member));
  return near.length > 0 && hasNearMajority(suspicion, silent);
}

function isNear(self: FleetMember, member: FleetMember): boolean {
  return member.dataCentre === self.dataCentre;
}

function hasNearMajority({ self, others }: Suspicion, silent: readonly Answered[]): boolean {
  const near = others.filter((member) => isNear(self, member)).length;
  return silent.filter(({ member }) => isNear(self, member)).length * 2 >= near;
}

function decideApart(suspicion: Suspicion, silent: readonly Answered[]): Takeover {
  if (suspicion.answered.some(({ opinion }) => opinion.isStoreReachable)) return Takeovers.WAIT;
  if (suspicion.answered.length === 0) {
    const mayBeAlone = !suspicion.wasFenced && suspicion.suspectedForMs >= ALONE_AFTER_MS;
    return mayBeAlone ? Takeovers.TAKE_APART : Takeovers.WAIT;
  }
  return hasNearMajority(suspicion, silent) ? goOnApart(suspicion, silent) : Takeovers.WAIT;
}

function goOnApart(suspicion: Suspicion, silent: readonly Answered[]): Takeover {
  const candidates = silent.map(({ member }) => member);
  return isTurnOf(suspicion.self, candidates, suspicion)
    ? Takeovers.TAKE_APART
    : Takeovers.STAND_BY;
}

function isTurnOf(
  self: FleetMember,
  candidates: readonly FleetMember[],
  { ranking, standingByForMs }: Suspicion,
): boolean {
  const rank = rankMembers([self, ...candidates], ranking).indexOf(self);
  return standingByForMs >= rank * PATIENCE_PER_RANK_MS;
}
