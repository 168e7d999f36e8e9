/**
 * Pure functions that change a roster. Every claim is stored at two members, so no claim is lost
 * when one member is removed without handover. When a second member is removed before the claims of
 * the first are fully transferred, claims may be lost and `memoryLostBefore` moves forward. See
 * docs/design/claims.md.
 */
import * as A from 'fp-ts/lib/Array.js';
import { pipe } from 'fp-ts/lib/function.js';
import type { Member, Roster } from '@celerybarrow/protocol';

/** Maximum lead of a caller's clock over an instance's clock. */
export const MAX_CLOCK_LEAD_MS = 5_000;
/** Maximum difference between the clocks of two instances. */
export const MAX_INSTANCE_SKEW_MS = 1_000;

const CLAIM_COPIES = 2;
const NONE_SEALED: ReadonlySet<string> = new Set();

export interface RosterWrite {
  readonly writeId: string;
  /** Wall-clock time of the instance that writes the roster. */
  readonly nowMs: number;
}

export interface Eviction {
  readonly incarnation: string;
  /** Whether the member's process is known to have ended. */
  readonly isProven: boolean;
}

export function createFirstRoster(dataCentre: string, member: Member, write: RosterWrite): Roster {
  return {
    dataCentre,
    version: 1,
    epoch: 1,
    members: [member],
    sources: [],
    base: [member.incarnation],
    lost: [],
    memoryLostBefore: 0,
    writeId: write.writeId,
  };
}

export function joinRoster(roster: Roster, member: Member, write: RosterWrite): Roster {
  if (hasMember(roster, member.incarnation)) return roster;
  return { ...startEpoch(roster, write), members: [...roster.members, member] };
}

/** Writes a roster anew, so that writes based on the previous one fail. */
export function renewRoster(roster: Roster, write: RosterWrite): Roster {
  return { ...roster, version: roster.version + 1, writeId: write.writeId };
}

/**
 * Whether a member may be removed without its consent. Two members that are unresponsive but alive
 * could keep registering claims with each other. So at most one member whose end is not proven is
 * removed at a time.
 */
export function isEvictionSafe(roster: Roster, eviction: Eviction): boolean {
  return eviction.isProven || roster.lost.every((loss) => loss.isProven);
}

/**
 * Whether a member is the last remaining one of the base, the members at the time of the last
 * complete transfer. Members that joined later may not have the claims that this member registered
 * alone.
 */
export function isLastBaseMember(roster: Roster, incarnation: string): boolean {
  return roster.base.every((one) => one === incarnation);
}

/** Removes a member without handover; its copies of claims are lost. */
export function evictMember(roster: Roster, eviction: Eviction, write: RosterWrite): Roster {
  const { incarnation } = eviction;
  if (!hasMember(roster, incarnation)) return roster;
  const next = startEpoch(roster, write);
  const lost = [...next.lost, eviction];
  const mayLoseClaims = lost.length >= CLAIM_COPIES || isLastBaseMember(roster, incarnation);
  const lostBeforeMs = write.nowMs + MAX_CLOCK_LEAD_MS + MAX_INSTANCE_SKEW_MS;
  return {
    ...next,
    members: withoutMember(roster.members, incarnation),
    base: next.base.filter((one) => one !== incarnation),
    lost,
    memoryLostBefore: mayLoseClaims
      ? Math.max(roster.memoryLostBefore, lostBeforeMs)
      : roster.memoryLostBefore,
  };
}

/**
 * Removes a member that has handed its claims over to its successors. The last member has no
 * successors, so its claims are lost. Sealed members are not successors: they no longer count as
 * members that have the claims.
 */
export function leaveRoster(
  roster: Roster,
  incarnation: string,
  write: RosterWrite,
  sealed: ReadonlySet<string> = NONE_SEALED,
): Roster {
  if (!hasMember(roster, incarnation)) return roster;
  if (roster.members.length === 1) return evictLastMember(roster, incarnation, write);
  const next = startEpoch(roster, write);
  return {
    ...next,
    members: withoutMember(roster.members, incarnation),
    base: next.base.filter((one) => one !== incarnation && !sealed.has(one)),
    sources: withoutMember(next.sources, incarnation),
  };
}

function evictLastMember(roster: Roster, incarnation: string, write: RosterWrite): Roster {
  const lastMemberRoster = { ...roster, base: [incarnation] };
  return evictMember(lastMemberRoster, { incarnation, isProven: true }, write);
}

/**
 * Marks the claim transfer as complete: every active member has the claims of its range, and every
 * claim is stored at two of them, or at the only one. Sealed members have no range, so a loss of
 * the active ones must not be taken for the loss of one of two copies.
 */
export function completeTransfer(
  roster: Roster,
  write: RosterWrite,
  sealed: ReadonlySet<string> = NONE_SEALED,
): Roster {
  if (isTransferComplete(roster)) return roster;
  return {
    ...roster,
    version: roster.version + 1,
    sources: [],
    base: roster.members.map((member) => member.incarnation).filter((one) => !sealed.has(one)),
    lost: [],
    writeId: write.writeId,
  };
}

/** Whether the claims of all members of earlier epochs have been fully transferred. */
export function isTransferComplete(roster: Roster): boolean {
  return roster.sources.length === 0;
}

export function hasMember(roster: Roster, incarnation: string): boolean {
  return roster.members.some((member) => member.incarnation === incarnation);
}

/**
 * Returns the sources that can still transfer claims to the members of the roster: those that were
 * not removed without handover.
 */
export function availableSources(roster: Roster): readonly Member[] {
  return roster.sources.filter((source) =>
    roster.lost.every((loss) => loss.incarnation !== source.incarnation),
  );
}

function startEpoch(roster: Roster, write: RosterWrite): Roster {
  const previousMembers = [...roster.sources, ...roster.members];
  const sources = new Map(previousMembers.map((one) => [one.incarnation, one]));
  return {
    ...roster,
    version: roster.version + 1,
    epoch: roster.epoch + 1,
    sources: [...sources.values()],
    writeId: write.writeId,
  };
}

function withoutMember(members: readonly Member[], incarnation: string): Member[] {
  return pipe(
    [...members],
    A.filter((member) => member.incarnation !== incarnation),
  );
}
