/**
 * Transfers claims when the members change. A source is a member of an earlier epoch whose claims
 * are still being transferred. In a new epoch every source first refuses claims of older epochs.
 * Then it sends each member the records of that member's range, followed by a message that marks
 * the transfer as complete. An owner answers for ids that other members owned before only after the
 * transfers of all live sources are complete.
 */
import { describeError } from '@celerybarrow/shared';
import type { TimerService } from '@celerybarrow/timer';
import type {
  RequestBody,
  Greeting,
  Member,
  Reply,
  Roster,
  TransferredRecord,
} from '@celerybarrow/protocol';
import {
  activeMembers,
  availableSources,
  isTransferComplete,
  rankMembers,
  type Peers,
  type RosterCache,
  type RosterView,
} from '@celerybarrow/membership';
import { rankByRendezvous } from '@celerybarrow/shared';
import type { Logger } from '@celerybarrow/telemetry';
import { createPlannedHandover } from './plannedHandover.js';
import { allOf, type ClaimRecord, type ClaimStore } from './claimStore.js';

const COPIES_PER_CLAIM = 2;
const MAX_RECORDS_PER_MESSAGE = 500;
const TRANSFER_TIMEOUT_MS = 2_000;
const RETRY_DELAY_MS = 100;

export interface Handover {
  /** Whether this instance has stored every claim that may exist for an id that it owns. */
  hasAllClaims(id: string): boolean;
  /** Whether this member has sent and received all claims of an epoch. */
  hasTransferredClaims(epoch: number): boolean;
  receive(ask: RequestBody<'transfer'>, peer: Greeting): Reply<'transfer'>;
  /** Handles the seal of a peer: other members now own its ids and store its copies. */
  onSeal(ask: RequestBody<'cede'>): Promise<Reply<'cede'>>;
  /**
   * Stops claiming and hands over all records and answers to the successors. Resolves with the
   * epoch whose members have accepted them, or undefined if no handover succeeded within
   * `withinMs`. A repeated call also hands over the answers of jobs that have ended since.
   */
  cede(withinMs: number): Promise<number | undefined>;
  close(): void;
}

export interface HandoverOptions {
  readonly self: Member;
  readonly store: ClaimStore;
  readonly rosters: RosterCache;
  readonly peers: Peers;
  readonly timer: TimerService;
  readonly logger: Logger;
  /**
   * Stops claiming and resolves when no claim is pending. Called on a planned stop, before the
   * first record is sent.
   */
  readonly stopClaiming: () => Promise<void>;
}

interface EpochProgress {
  readonly epoch: number;
  /** Incarnations that have sent all their claims to this instance. */
  readonly receivedFrom: Set<string>;
  /** Incarnations that have accepted all claims sent by this instance. */
  readonly sentTo: Set<string>;
}

export function createHandover(options: HandoverOptions): Handover {
  const { self, store, rosters, peers, timer, logger } = options;
  const closing = new AbortController();
  const plannedHandover = createPlannedHandover({ ...options, move: sendWithAnswers });
  let progress = createProgress(0);

  function onRosterChange(): void {
    const view = rosters.ownView();
    if (view === undefined || view.roster.epoch === progress.epoch) return;
    progress = createProgress(view.roster.epoch);
    plannedHandover.onEpochChange();
    const sources = isTransferComplete(view.roster)
      ? view.roster.members
      : availableSources(view.roster);
    if (!sources.some((source) => source.incarnation === self.incarnation)) return;
    for (const member of view.roster.members) {
      if (member.incarnation === self.incarnation) progress.receivedFrom.add(self.incarnation);
      else void transferTo(member, progress).catch(logFailure);
    }
  }

  function logFailure(error: unknown): void {
    logger.error('Failed to transfer claims.', { reason: describeError(error) });
  }

  async function transferTo(member: Member, current: EpochProgress): Promise<void> {
    while (!closing.signal.aborted && progress === current) {
      const view = rosters.ownView();
      if (view === undefined) return;
      if (await sendRange(member, view, current)) {
        current.sentTo.add(member.incarnation);
        return;
      }
      await timer.sleep(RETRY_DELAY_MS, closing.signal);
    }
  }

  async function sendRange(
    member: Member,
    view: RosterView,
    current: EpochProgress,
  ): Promise<boolean> {
    const range = await collect((id) => isHolder(view, id, member));
    for (let start = 0; start < range.length; start += MAX_RECORDS_PER_MESSAGE) {
      const records = range.slice(start, start + MAX_RECORDS_PER_MESSAGE);
      if (!(await send(member, current.epoch, records, false))) return false;
    }
    return send(member, current.epoch, [], true);
  }

  /** Collects records and yields regularly, so that a large store does not block the event loop. */
  async function collect(
    isWanted: (id: string) => boolean,
    toTransferred = withoutAnswer,
  ): Promise<TransferredRecord[]> {
    const collected: TransferredRecord[] = [];
    let visited = 0;
    for (const record of store.records()) {
      if (isWanted(record.claim.id))
        for (const one of allOf(record)) collected.push(toTransferred(one));
      visited += 1;
      if (visited % MAX_RECORDS_PER_MESSAGE === 0) await timer.sleep(0);
    }
    return collected;
  }

  async function send(
    member: Member,
    epoch: number,
    records: TransferredRecord[],
    complete: boolean,
    signal: AbortSignal = closing.signal,
  ): Promise<boolean> {
    const ask = { epoch, records, complete };
    const reply = await peers.request(member, 'transfer', ask, {
      timeoutMs: TRANSFER_TIMEOUT_MS,
      connectWaitMs: TRANSFER_TIMEOUT_MS,
      signal,
    });
    return reply.isOk && reply.value.accepted;
  }

  function receive(ask: RequestBody<'transfer'>, peer: Greeting): Reply<'transfer'> {
    for (const record of ask.records) store.merge(record);
    const epoch = rosters.ownView()?.roster.epoch;
    if (epoch !== ask.epoch || progress.epoch !== ask.epoch) return { accepted: false };
    if (ask.complete) progress.receivedFrom.add(peer.incarnation);
    return { accepted: true };
  }

  function hasAllClaims(id: string): boolean {
    const view = rosters.ownView();
    if (view === undefined || progress.epoch !== view.roster.epoch) return false;
    const { roster } = view;
    return isTransferComplete(roster) || hasAllSources(roster) || hasAlwaysOwned(roster, id);
  }

  function hasAllSources(roster: Roster): boolean {
    return availableSources(roster).every((source) =>
      progress.receivedFrom.has(source.incarnation),
    );
  }

  function hasAlwaysOwned(roster: Roster, id: string): boolean {
    if (!roster.base.includes(self.incarnation)) return false;
    const all = new Map(
      [...roster.sources, ...roster.members].map((one) => [one.incarnation, one]),
    );
    const owner = rankByRendezvous(id, [...all.values()], (member) => member.instance)[0];
    return owner?.incarnation === self.incarnation;
  }

  function hasTransferredClaims(epoch: number): boolean {
    const roster = rosters.ownView()?.roster;
    if (roster?.epoch !== epoch || progress.epoch !== epoch) return false;
    if (!hasAllSources(roster)) return false;
    const isSource = availableSources(roster).some(
      (source) => source.incarnation === self.incarnation,
    );
    const others = roster.members.filter((member) => member.incarnation !== self.incarnation);
    return !isSource || others.every((member) => progress.sentTo.has(member.incarnation));
  }

  async function onSeal(ask: RequestBody<'cede'>): Promise<Reply<'cede'>> {
    for (const incarnation of ask.ceded ?? []) rosters.recordSeal(ask.epoch, incarnation);
    rosters.recordSeal(ask.epoch, ask.incarnation);
    const view = rosters.ownView();
    // A seal of another epoch was not recorded, and its records were sent to other members.
    if (view?.roster.epoch !== ask.epoch) return { accepted: false };
    return { accepted: await restoreCopies(view) };
  }

  /**
   * Sends the claims of this owner to their current witnesses, so that each has two copies again.
   */
  async function restoreCopies(view: RosterView): Promise<boolean> {
    const others = activeMembers(view).filter((member) => member.incarnation !== self.incarnation);
    const sent = await Promise.all(
      others.map(async (member) => {
        const range = await collect((id) => isHolder(view, id, self) && isHolder(view, id, member));
        return sendAll(member, view.roster.epoch, range);
      }),
    );
    return sent.every(Boolean);
  }

  async function sendAll(
    member: Member,
    epoch: number,
    range: TransferredRecord[],
    signal?: AbortSignal,
  ): Promise<boolean> {
    for (let start = 0; start < range.length; start += MAX_RECORDS_PER_MESSAGE) {
      const records = range.slice(start, start + MAX_RECORDS_PER_MESSAGE);
      if (!(await send(member, epoch, records, false, signal))) return false;
    }
    return true;
  }

  async function sendWithAnswers(
    member: Member,
    view: RosterView,
    signal: AbortSignal,
  ): Promise<boolean> {
    const range = await collect((id) => isHolder(view, id, member), withAnswer);
    return sendAll(member, view.roster.epoch, range, signal);
  }

  rosters.onChange((dataCentre) => {
    if (dataCentre === rosters.dataCentre) onRosterChange();
  });
  onRosterChange();

  return {
    hasAllClaims,
    hasTransferredClaims,
    receive,
    onSeal,
    cede: (withinMs) => plannedHandover.cede(withinMs),
    close() {
      closing.abort();
    },
  };
}

function createProgress(epoch: number): EpochProgress {
  return { epoch, receivedFrom: new Set(), sentTo: new Set() };
}

function isHolder(view: RosterView, id: string, member: Member): boolean {
  return rankMembers(view, id)
    .slice(0, COPIES_PER_CLAIM)
    .some((one) => one.incarnation === member.incarnation);
}

function withoutAnswer(record: ClaimRecord): TransferredRecord {
  return { ...record.claim };
}

function withAnswer(record: ClaimRecord): TransferredRecord {
  return { ...record.claim, answer: record.answer };
}
