/**
 * Registers claims with a witness before any task starts. A claim is registered once another active
 * member of the same epoch has stored it. That witness is the owner of the id. If this instance is
 * the owner, any other active member can be the witness, preferably the second in rendezvous order.
 *
 * While all other members leave, one of them is the witness of the last active member. A member
 * that is alone in the roster needs the single-member lease instead.
 *
 * Claims for the same witness that are made in one turn of the event loop are sent in one message.
 */
import { Result } from 'true-myth';
import { createDeferred, ErrorCodes, readCreationTime, type Deferred } from '@celerybarrow/shared';
import type { RequestBody, Claim, Greeting, Member, Reply } from '@celerybarrow/protocol';
import {
  activeMembers,
  hasMember,
  rankMembers,
  type Heartbeat,
  type Peers,
  type RosterCache,
  type SingleMemberLease,
  type RosterView,
} from '@celerybarrow/membership';
import type { TimerService } from '@celerybarrow/timer';
import { ClaimError } from './claimError.js';
import type { ClaimStore } from './claimStore.js';
import { createPledges } from './pledges.js';

const CLAIM_TIMEOUT_MS = 1_000;
const REGISTER_TIMEOUT_MS = 5_000;
const RETRY_DELAY_MS = 20;
const MAX_CONFIRM_ATTEMPTS = 3;

export interface ClaimRegistry {
  /**
   * Registers a claim that this instance, as the owner with all claims of the id, makes in an epoch.
   * After an error no task may start:
   * - CLAIM_REFUSED: another runner has claimed the id, and its claim is now in the store too, or a
   *   member has pledged not to accept a claim of the id;
   * - CLAIM_UNWITNESSED: no witness answered in time;
   * - CLAIM_OUTDATED: the epoch has changed.
   */
  register(claim: Claim, epoch: number, timeoutMs?: number): Promise<Result<Claim, ClaimError>>;
  /**
   * Whether an id that this instance owns in an epoch cannot have run in a later one. True if another
   * member has just confirmed that it is still in this epoch, or if this instance is the only member
   * and is certain to hold the single-member lease.
   */
  confirm(id: string, epoch: number): Promise<boolean>;
  /** Handles a request of another member to witness its claims. */
  witness(ask: RequestBody<'claim'>, peer: Greeting): Reply<'claim'>;
  /**
   * Promises not to accept a claim of an id in an epoch. Replies with `false` if this instance has
   * stored or is registering such a claim, is sealed, or is in another epoch.
   */
  pledge(ask: RequestBody<'pledge'>): Reply<'pledge'>;
  /**
   * Seals this member: it registers no more claims in its epoch. Resolves when no registration is
   * in progress.
   */
  cede(): Promise<void>;
  /** Whether this member has stopped registering claims. */
  isSealed(): boolean;
}

export interface ClaimRegistryOptions {
  readonly self: Member;
  readonly store: ClaimStore;
  readonly rosters: RosterCache;
  readonly peers: Peers;
  readonly heartbeat: Heartbeat;
  readonly singleMemberLease: SingleMemberLease;
  readonly timer: TimerService;
}

type ClaimResponse = 'accepted' | 'refused' | 'retry';

interface PendingBatch {
  readonly claims: Claim[];
  readonly reply: Deferred<Reply<'claim'> | undefined>;
}

export function createClaimRegistry(options: ClaimRegistryOptions): ClaimRegistry {
  const { self, store, rosters, peers, heartbeat, singleMemberLease, timer } = options;
  const batches = new Map<string, PendingBatch>();
  const pledges = createPledges(timer);
  /** Ids of the claims that this instance is currently registering. */
  const registering = new Set<string>();
  let isSealed = false;

  async function register(
    claim: Claim,
    epoch: number,
    timeoutMs = REGISTER_TIMEOUT_MS,
  ): Promise<Result<Claim, ClaimError>> {
    if (pledges.has(claim.id, epoch))
      return Result.err(new ClaimError(ErrorCodes.CLAIM_REFUSED, claim.id));
    registering.add(claim.id);
    try {
      return await findWitness(claim, epoch, timeoutMs);
    } finally {
      registering.delete(claim.id);
    }
  }

  async function findWitness(
    claim: Claim,
    epoch: number,
    timeoutMs: number,
  ): Promise<Result<Claim, ClaimError>> {
    const timeoutAtMs = timer.nowMs() + timeoutMs;
    const tried = new Set<string>();
    do {
      const view = rosters.ownView();
      if (view === undefined || isSealed || !hasMember(view.roster, self.incarnation)) break;
      // Between the two epochs this instance may have been out of the roster while another one ran
      // the job. The claim must therefore be made again in the new epoch.
      if (view.roster.epoch !== epoch)
        return Result.err(new ClaimError(ErrorCodes.CLAIM_OUTDATED, claim.id));
      const [witness, isOnlyMember] = chooseWitness(view, claim.id, tried);
      // The lease must be valid now, but it may expire before the tasks start. An instance that
      // evicts the only member without proof of its end first waits until the lease has expired.
      // After the eviction, owners answer may-have-run for all ids created before it.
      if (isOnlyMember && singleMemberLease.validUntilMs() > 0) return Result.ok(claim);
      if (witness === undefined) {
        tried.clear();
        await timer.sleep(RETRY_DELAY_MS);
        continue;
      }
      const response = await requestWitness(view, witness, claim);
      if (response === 'accepted') return Result.ok(claim);
      if (response === 'refused')
        return Result.err(new ClaimError(ErrorCodes.CLAIM_REFUSED, claim.id));
      tried.add(witness.incarnation);
      await timer.sleep(RETRY_DELAY_MS);
    } while (timer.nowMs() < timeoutAtMs);
    const isSameEpoch = rosters.ownView()?.roster.epoch === epoch;
    const code = isSameEpoch ? ErrorCodes.CLAIM_UNWITNESSED : ErrorCodes.CLAIM_OUTDATED;
    return Result.err(new ClaimError(code, claim.id));
  }

  async function confirm(id: string, epoch: number): Promise<boolean> {
    const tried = new Set<string>();
    for (let attempt = 0; attempt < MAX_CONFIRM_ATTEMPTS; attempt += 1) {
      const view = rosters.ownView();
      if (view === undefined || isSealed || !hasMember(view.roster, self.incarnation)) return false;
      // Between the two epochs this instance may have been out of the roster. It does not know what
      // ran during that time.
      if (view.roster.epoch !== epoch) return false;
      const [witness, isOnlyMember] = chooseWitness(view, id, tried);
      if (isOnlyMember) return singleMemberLease.validUntilMs() > 0;
      if (witness === undefined) return false;
      const reply = await sendBatched(view, witness);
      if (reply?.accepted === true && reply.epoch === view.roster.epoch) return true;
      tried.add(witness.incarnation);
    }
    return false;
  }

  /** Returns a witness for an id, and whether this instance is the only member of the roster. */
  function chooseWitness(
    view: RosterView,
    id: string,
    tried: ReadonlySet<string>,
  ): [Member | undefined, boolean] {
    const ranked = rankMembers(view, id);
    const others = ranked.filter((member) => member.incarnation !== self.incarnation);
    if (others.length === 0)
      return [chooseSealedWitness(view, tried), view.roster.members.length === 1];
    const owner = ranked[0];
    if (owner !== undefined && owner.incarnation !== self.incarnation) return [owner, false];
    const untried = others.filter((member) => !tried.has(member.incarnation));
    const reachable = untried.find((member) => heartbeat.isReachable(member.incarnation));
    return [reachable ?? untried[0], false];
  }

  /** Returns a leaving member, which is the witness of the last active member until it has left. */
  function chooseSealedWitness(view: RosterView, tried: ReadonlySet<string>): Member | undefined {
    return view.roster.members.find(
      ({ incarnation }) =>
        incarnation !== self.incarnation &&
        !tried.has(incarnation) &&
        heartbeat.isReachable(incarnation),
    );
  }

  async function requestWitness(
    view: RosterView,
    witness: Member,
    claim: Claim,
  ): Promise<ClaimResponse> {
    const reply = await sendBatched(view, witness, claim);
    if (reply === undefined) return 'retry';
    if (reply.epoch !== view.roster.epoch || !reply.accepted) return 'retry';
    if (!reply.refused.includes(claim.id)) return 'accepted';
    for (const existing of reply.held ?? []) if (existing.id === claim.id) store.merge(existing);
    return 'refused';
  }

  function sendBatched(
    view: RosterView,
    witness: Member,
    claim?: Claim,
  ): Promise<Reply<'claim'> | undefined> {
    const key = `${view.roster.epoch}/${witness.incarnation}`;
    const queued = batches.get(key);
    if (queued !== undefined) {
      if (claim !== undefined) queued.claims.push(claim);
      return queued.reply.promise;
    }
    const claims = claim === undefined ? [] : [claim];
    const batch: PendingBatch = { claims, reply: createDeferred() };
    batches.set(key, batch);
    setImmediate(() => {
      batches.delete(key);
      void send(view, witness, batch);
    });
    return batch.reply.promise;
  }

  async function send(view: RosterView, witness: Member, batch: PendingBatch): Promise<void> {
    const message = {
      epoch: view.roster.epoch,
      ceded: [...view.ceded],
      runnerPeer: self.peer,
      claims: batch.claims.map(toOwnClaim),
    };
    const reply = await peers.request(witness, 'claim', message, { timeoutMs: CLAIM_TIMEOUT_MS });
    batch.reply.resolve(reply.isOk ? reply.value : undefined);
  }

  function witness(message: RequestBody<'claim'>, peer: Greeting): Reply<'claim'> {
    const view = rosters.ownView();
    const epoch = view?.roster.epoch ?? 0;
    if (view === undefined || epoch !== message.epoch || !isActive(view, peer)) {
      return { accepted: false, epoch, refused: [] };
    }
    for (const incarnation of message.ceded) rosters.recordSeal(epoch, incarnation);
    if (isSealed && !isLastActive(rosters.ownView(), peer)) {
      return { accepted: false, epoch, refused: [] };
    }
    const refused = message.claims
      .map((claim) => toClaim(claim, peer, message))
      .filter((claim) => pledges.has(claim.id, epoch) || !store.add(claim));
    if (refused.length === 0) return { accepted: true, epoch, refused: [] };
    const held = refused.flatMap((claim) => store.findOthers(claim));
    return { accepted: true, epoch, refused: refused.map((claim) => claim.id), held };
  }

  function pledge({ epoch, id }: RequestBody<'pledge'>): Reply<'pledge'> {
    const isClaimed = store.find(id) !== undefined || registering.has(id);
    if (isSealed || isClaimed || rosters.ownView()?.roster.epoch !== epoch)
      return { pledged: false };
    pledges.add(id, epoch);
    return { pledged: true };
  }

  return {
    register,
    confirm,
    witness,
    pledge,
    async cede() {
      isSealed = true;
      while (registering.size > 0) await timer.sleep(RETRY_DELAY_MS);
    },
    isSealed: () => isSealed,
  };
}

type OwnClaim = RequestBody<'claim'>['claims'][number];

function toOwnClaim({ id, digest, createdAt, supersedes }: Claim): OwnClaim {
  const hasOwnTime = readCreationTime(id) !== createdAt;
  return {
    id,
    digest,
    ...(hasOwnTime ? { createdAt } : {}),
    ...(supersedes === undefined ? {} : { supersedes }),
  };
}

function toClaim(
  claim: OwnClaim,
  peer: Greeting,
  { epoch, runnerPeer }: RequestBody<'claim'>,
): Claim {
  return {
    ...claim,
    createdAt: claim.createdAt ?? readCreationTime(claim.id) ?? 0,
    runner: peer.instance,
    runnerIncarnation: peer.incarnation,
    runnerPeer,
    epoch,
  };
}

function isActive(view: RosterView, peer: Greeting): boolean {
  return activeMembers(view).some((member) => member.incarnation === peer.incarnation);
}

function isLastActive(view: RosterView | undefined, peer: Greeting): boolean {
  if (view === undefined) return false;
  const active = activeMembers(view);
  return active.every((member) => member.incarnation === peer.incarnation);
}
