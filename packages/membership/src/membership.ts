/**
 * Maintains the membership of an instance in the roster of its data centre: joins, removes failed
 * members, marks the claim transfer as complete and leaves. All changes use compare-and-swap. When
 * two instances change the roster at the same time, one succeeds and the other reads the roster
 * again.
 */
import { Result } from 'true-myth';
import { describeError, ErrorCodes } from '@celerybarrow/shared';
import type { TimerService } from '@celerybarrow/timer';
import type { Store } from '@celerybarrow/store';
import type { Member, Roster } from '@celerybarrow/protocol';
import type { Logger } from '@celerybarrow/telemetry';
import { addDataCentre, DIRECTORY_KEY, emptyDirectory, parseDirectory } from './directory.js';
import type { Heartbeat } from './heartbeat.js';
import { trackFormerLeaseHolders } from './formerLeaseHolders.js';
import { activeMembers } from './ownership.js';
import type { Peers } from './peers.js';
import {
  createFirstRoster,
  evictMember,
  hasMember,
  isEvictionSafe,
  isLastBaseMember,
  isTransferComplete,
  joinRoster,
  leaveRoster,
  completeTransfer,
  type Eviction,
  type RosterWrite,
} from './rosterChanges.js';
import type { MembershipError } from './membershipError.js';
import { createRosterWriter } from './rosterWriter.js';
import type { RosterCache } from './rosterCache.js';
import type { SingleMemberLease } from './singleMemberLease.js';

const MAINTENANCE_INTERVAL_MS = 100;
const RETRY_AFTER_FAILURE_MS = 500;
/**
 * Delay between the attempts of two members of a roster, in roster order, to remove the same failed
 * member.
 */
const EVICTION_STAGGER_MS = 300;
/** How long a group of fewer than half of the members waits before it removes the others. */
const MINORITY_EVICTION_DELAY_MS = 10_000;
const PROBE_TIMEOUT_MS = 1_000;
/** Attempts to leave when other members keep changing the roster at the same time. */
const MAX_LEAVE_ATTEMPTS = 5;

export interface Membership {
  isMember(): boolean;
  /**
   * Removes this instance from the roster. `handedOverEpoch` is the epoch whose members have
   * received its claims; when it is undefined, the copies of claims on this instance count as lost.
   * Resolves with whether the instance has been removed; it has not if the epoch changed after the
   * handover. Errors: ROSTER_UNAVAILABLE, and ROSTER_CHANGED when other instances changed the
   * roster during every attempt.
   */
  leave(handedOverEpoch: number | undefined): Promise<Result<boolean, MembershipError>>;
  close(): void;
}

export interface MembershipOptions {
  readonly self: Member;
  readonly platform: Store;
  readonly timer: TimerService;
  readonly rosters: RosterCache;
  readonly peers: Peers;
  readonly heartbeat: Heartbeat;
  readonly singleMemberLease: SingleMemberLease;
  readonly logger: Logger;
  /** Whether an instance was in the platform's list of instances earlier and no longer is. */
  readonly isDelisted: (instance: string) => boolean;
  /** Whether this instance is stopping and registers no more claims, so that it must not join. */
  readonly hasSealed: () => boolean;
  /** Whether this member has sent and received all claims of an epoch. */
  readonly hasTransferredClaims: (epoch: number) => boolean;
}

export function createMembership(options: MembershipOptions): Membership {
  const { self, platform, timer, rosters, peers, heartbeat, singleMemberLease, logger } = options;
  const writer = createRosterWriter(options);
  const closing = new AbortController();
  const suspectedSince = new Map<string, number>();
  const formerLeaseHolders = trackFormerLeaseHolders(rosters);
  let hasRegisteredDataCentre = false;
  let unresponsiveSinceMs: number | undefined;

  async function maintainRoster(): Promise<void> {
    while (!closing.signal.aborted) {
      const hasSucceeded = await maintainOnce().catch((error: unknown) => {
        logger.error('Could not maintain the roster.', { reason: describeError(error) });
        return false;
      });
      await timer.sleep(
        hasSucceeded ? MAINTENANCE_INTERVAL_MS : RETRY_AFTER_FAILURE_MS,
        closing.signal,
      );
    }
  }

  async function maintainOnce(): Promise<boolean> {
    // Register before the first claim, so that a data centre that is not listed has run nothing.
    if (!hasRegisteredDataCentre) hasRegisteredDataCentre = await registerDataCentre();
    if (!hasRegisteredDataCentre) return false;
    const view = rosters.ownView();
    if (view === undefined || !hasMember(view.roster, self.incarnation))
      return options.hasSealed() || join();
    if (activeMembers(view).length <= 1) await singleMemberLease.acquire(formerLeaseHolders);
    const sealed = view.roster.members.find((member) => isSealedAndSuspected(member, view.ceded));
    if (sealed !== undefined) return removeSealed(sealed);
    const failed = view.roster.members.find((member) => shouldEvict(member, view.roster));
    if (failed !== undefined) return evict(failed);
    if (!isTransferComplete(view.roster)) return completeTransferWhenReady(view.roster);
    return true;
  }

  async function join(): Promise<boolean> {
    const found = await writer.change((roster) => roster);
    if (found.isErr) return false;
    const roster = found.value;
    if (roster === undefined) return createRoster();
    const evictions = await findEvictionsForJoin(roster);
    if (evictions === undefined) return false;
    const evictsAllMembers = evictions.length === roster.members.length;
    if (evictsAllMembers && !evictions.every((eviction) => eviction.isProven)) {
      // An unresponsive member may still be running as the only active member. Its lease must have
      // expired before it is removed.
      if (!(await singleMemberLease.acquire(new Set()))) return false;
    }
    return changeRoster(
      (latest, write) => latest && evictAndJoin(latest, evictions, write),
      'Joined the roster.',
    );
  }

  function createRoster(): Promise<boolean> {
    return changeRoster(
      (latest, write) => latest ?? createFirstRoster(rosters.dataCentre, self, write),
      'Created the roster.',
    );
  }

  /**
   * Returns the members to remove when joining, or undefined when it is too early to decide. While
   * at least half of the members answer, only earlier processes at this instance's own address are
   * removed. All members are removed when all their processes have ended or none of them has
   * answered for MINORITY_EVICTION_DELAY_MS.
   */
  async function findEvictionsForJoin(roster: Roster): Promise<readonly Eviction[] | undefined> {
    const answers = await Promise.all(roster.members.map(probe));
    const answered = answers.filter((answer) => answer === 'answered').length;
    if (answered > 0) unresponsiveSinceMs = undefined;
    if (answered * 2 >= roster.members.length)
      return roster.members.filter(isEarlierProcess).map(toProvenEviction);
    if (answered > 0) return undefined;
    if (!answers.every((answer) => answer === 'gone') && !hasWaitedForUnresponsive())
      return undefined;
    return roster.members.map((member, index) => ({
      incarnation: member.incarnation,
      isProven: answers[index] === 'gone',
    }));
  }

  /**
   * Whether a member is an earlier process at this instance's address. It has certainly ended,
   * because this process has bound the address.
   */
  function isEarlierProcess(member: Member): boolean {
    return member.peer === self.peer && member.incarnation !== self.incarnation;
  }

  function toProvenEviction(member: Member): Eviction {
    return { incarnation: member.incarnation, isProven: true };
  }

  function hasWaitedForUnresponsive(): boolean {
    unresponsiveSinceMs ??= timer.nowMs();
    return timer.nowMs() - unresponsiveSinceMs >= MINORITY_EVICTION_DELAY_MS;
  }

  async function probe(member: Member): Promise<'answered' | 'gone' | 'silent'> {
    if (isEarlierProcess(member) || options.isDelisted(member.instance)) return 'gone';
    const ask = { dataCentre: rosters.dataCentre };
    const reply = await peers.request(member, 'roster', ask, {
      timeoutMs: PROBE_TIMEOUT_MS,
      connectWaitMs: PROBE_TIMEOUT_MS,
    });
    if (reply.isOk) return 'answered';
    return heartbeat.isGone(member.incarnation) ? 'gone' : 'silent';
  }

  function evictAndJoin(
    roster: Roster,
    evictions: readonly Eviction[],
    write: RosterWrite,
  ): Roster {
    let next = roster;
    for (const eviction of evictions) {
      if (mayEvict(next, eviction)) next = evictMember(next, eviction, write);
    }
    return joinRoster(next, self, write);
  }

  /**
   * Whether a member has sealed its epoch and is suspected to have failed. Such a member normally
   * removes itself when its jobs have ended, but may have failed before that.
   */
  function isSealedAndSuspected(member: Member, ceded: ReadonlySet<string>): boolean {
    if (member.incarnation === self.incarnation || !ceded.has(member.incarnation)) return false;
    return heartbeat.isSuspected(member.incarnation);
  }

  /** Whether this instance should remove a failed member now, given the delays and its turn. */
  function shouldEvict(member: Member, roster: Roster): boolean {
    if (member.incarnation === self.incarnation) return false;
    if (!heartbeat.isSuspected(member.incarnation)) {
      suspectedSince.delete(member.incarnation);
      return false;
    }
    const sinceMs = suspectedSince.get(member.incarnation) ?? timer.nowMs();
    suspectedSince.set(member.incarnation, sinceMs);
    const waitedMs = timer.nowMs() - sinceMs;
    const reachable = roster.members.filter((one) => heartbeat.isReachable(one.incarnation));
    if (reachable.length * 2 < roster.members.length && waitedMs < MINORITY_EVICTION_DELAY_MS)
      return false;
    const turn = reachable.findIndex((one) => one.incarnation === self.incarnation);
    return waitedMs >= turn * EVICTION_STAGGER_MS && isEvictionSafe(roster, createEviction(member));
  }

  function createEviction(member: Member): Eviction {
    const isProven = heartbeat.isGone(member.incarnation) || options.isDelisted(member.instance);
    return { incarnation: member.incarnation, isProven };
  }

  /**
   * Whether a member may be removed from this roster now. The lease must still be held when the
   * roster to change has been read: whoever acquires it later changes the roster first, so that a
   * write of this roster fails.
   */
  function mayEvict(roster: Roster, eviction: Eviction): boolean {
    if (!isEvictionSafe(roster, eviction)) return false;
    if (eviction.isProven || !isLastBaseMember(roster, eviction.incarnation)) return true;
    return singleMemberLease.validUntilMs() > 0;
  }

  async function evict(member: Member): Promise<boolean> {
    const eviction = createEviction(member);
    const roster = rosters.ownView()?.roster;
    if (
      roster &&
      !eviction.isProven &&
      isLastBaseMember(roster, member.incarnation) &&
      !(await singleMemberLease.acquire(new Set()))
    ) {
      return false;
    }
    return changeRoster((latest, write) => {
      if (latest === undefined || !hasMember(latest, self.incarnation)) return latest;
      return mayEvict(latest, eviction) ? evictMember(latest, eviction, write) : latest;
    }, `Took out ${member.instance}, which failed.`);
  }

  function sealedMembers(): ReadonlySet<string> {
    return rosters.ownView()?.ceded ?? new Set();
  }

  function removeSealed(member: Member): Promise<boolean> {
    return changeRoster(
      (latest, write) => latest && leaveRoster(latest, member.incarnation, write, sealedMembers()),
      `Took out ${member.instance}, which left.`,
    );
  }

  async function completeTransferWhenReady(roster: Roster): Promise<boolean> {
    const sealed = sealedMembers();
    // Only an active member decides, because it knows every seal that its own transfer left out.
    const first = roster.members.find(
      ({ incarnation }) => !sealed.has(incarnation) && heartbeat.isReachable(incarnation),
    );
    if (first?.incarnation !== self.incarnation || !options.hasTransferredClaims(roster.epoch))
      return true;
    const others = roster.members.filter((member) => member.incarnation !== self.incarnation);
    const answers = await Promise.all(
      others.map((member) =>
        peers.request(member, 'settled', { epoch: roster.epoch }, { timeoutMs: PROBE_TIMEOUT_MS }),
      ),
    );
    if (!answers.every((answer) => answer.isOk && answer.value.settled)) return true;
    return changeRoster(
      (latest, write) =>
        latest?.epoch === roster.epoch ? completeTransfer(latest, write, sealedMembers()) : latest,
      'Marked the claim transfer as complete.',
    );
  }

  async function changeRoster(
    apply: (roster: Roster | undefined, write: RosterWrite) => Roster | undefined,
    successMessage: string,
  ): Promise<boolean> {
    let isChanged = false;
    const changed = await writer.change((latest, write) => {
      const next = apply(latest, write);
      isChanged = next !== latest;
      return next;
    });
    if (changed.isErr) {
      logger.warn('Could not change the roster.', { reason: changed.error.message });
      return false;
    }
    if (isChanged) logger.info(successMessage, { epoch: changed.value?.epoch });
    return true;
  }

  async function registerDataCentre(): Promise<boolean> {
    const found = await platform.get(DIRECTORY_KEY);
    if (found.isErr) return false;
    const current = (found.value && parseDirectory(found.value.value)) ?? emptyDirectory;
    const next = addDataCentre(current, rosters.dataCentre, timer.wallMs());
    if (next === current) return true;
    const revision = found.value?.revision ?? 0;
    const written = await platform.compareAndSwap(DIRECTORY_KEY, revision, JSON.stringify(next));
    return written.isOk;
  }

  async function leave(
    handedOverEpoch: number | undefined,
  ): Promise<Result<boolean, MembershipError>> {
    const eviction = { incarnation: self.incarnation, isProven: true };
    for (let attempt = 1; ; attempt += 1) {
      const written = await writer.change((latest, write) => {
        if (latest === undefined || latest.epoch === handedOverEpoch)
          return latest && leaveRoster(latest, self.incarnation, write, sealedMembers());
        return handedOverEpoch === undefined ? evictMember(latest, eviction, write) : latest;
      });
      if (written.isOk) {
        const isRemoved =
          written.value === undefined || !hasMember(written.value, self.incarnation);
        if (isRemoved) closing.abort();
        return Result.ok(isRemoved);
      }
      const { code, message } = written.error;
      logger.warn('Could not leave the roster.', { reason: message, attempt });
      if (code !== ErrorCodes.ROSTER_CHANGED || attempt >= MAX_LEAVE_ATTEMPTS)
        return Result.err(written.error);
    }
  }

  void maintainRoster();

  return {
    isMember() {
      const view = rosters.ownView();
      return view !== undefined && hasMember(view.roster, self.incarnation);
    },
    leave,
    close() {
      closing.abort();
    },
  };
}
