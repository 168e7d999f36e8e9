/**
 * Hands over the ids and records of a stopping member. The successors answer for the ids as soon as
 * they know that this member is sealed. Therefore all records are transferred before the first
 * successor is notified. If a member fails meanwhile, the handover restarts with the remaining
 * members.
 */
import type { TimerService } from '@celerybarrow/timer';
import type { Member } from '@celerybarrow/protocol';
import {
  activeMembers,
  hasMember,
  type Peers,
  type RosterCache,
  type RosterView,
} from '@celerybarrow/membership';
import type { Logger } from '@celerybarrow/telemetry';

const RETRY_DELAY_MS = 100;
const NOTIFY_TIMEOUT_MS = 4_000;

export interface PlannedHandover {
  /**
   * Stops claiming and hands over all records and answers. Resolves with the epoch whose members
   * have accepted them, or undefined if no handover succeeded within `withinMs`.
   */
  cede(withinMs: number): Promise<number | undefined>;
  /** Aborts the handover in progress, because it addresses the members of the previous epoch. */
  onEpochChange(): void;
}

export interface PlannedHandoverOptions {
  readonly self: Member;
  readonly rosters: RosterCache;
  readonly peers: Peers;
  readonly timer: TimerService;
  readonly logger: Logger;
  /**
   * Stops claiming and resolves when no claim is pending. Called before the first record is sent.
   * Otherwise a pending claim could be transferred and then abandoned, and its id would be answered
   * may-have-run once the process of its runner has exited.
   */
  readonly stopClaiming: () => Promise<void>;
  /**
   * Sends a member the records and answers of its range in a view. Resolves with false if the
   * member did not accept all of them.
   */
  readonly move: (member: Member, view: RosterView, signal: AbortSignal) => Promise<boolean>;
}

export function createPlannedHandover(options: PlannedHandoverOptions): PlannedHandover {
  const { self, rosters, peers, timer, logger } = options;
  /**
   * The epoch in which each member, by incarnation, was last notified. A second notification in the
   * same epoch would only transfer the copies again.
   */
  const notifiedEpochs = new Map<string, number>();
  let attempt = new AbortController();

  async function cede(withinMs: number): Promise<number | undefined> {
    const timeoutAtMs = timer.nowMs() + withinMs;
    await options.stopClaiming();
    do {
      const view = findSuccessorView();
      if (view === undefined || activeMembers(view).length === 0) return undefined;
      if (await handOver(view, timeoutAtMs)) return view.roster.epoch;
      await timer.sleep(RETRY_DELAY_MS);
    } while (timer.nowMs() < timeoutAtMs);
    return undefined;
  }

  /**
   * Returns the view of the members that succeed this one: the other active members or, if all
   * others are stopping too, those that are still in the roster.
   */
  function findSuccessorView(): RosterView | undefined {
    const { roster } = rosters.ownView() ?? {};
    if (roster === undefined || !hasMember(roster, self.incarnation)) return undefined;
    rosters.recordSeal(roster.epoch, self.incarnation);
    const view = rosters.ownView();
    if (view !== undefined && activeMembers(view).length > 0) return view;
    return { roster, ceded: new Set([self.incarnation]) };
  }

  async function handOver(view: RosterView, timeoutAtMs: number): Promise<boolean> {
    attempt = new AbortController();
    const { signal } = attempt;
    const cancelTimeout = timer.onAfter(timeoutAtMs - timer.nowMs(), () => {
      attempt.abort();
    });
    try {
      const isTransferred = await runForAll(view, 'move', (member) =>
        options.move(member, view, signal),
      );
      if (!isTransferred || signal.aborted) return false;
      const isNotified = await runForAll(view, 'tell', (member) => notify(member, view, signal));
      return isNotified && rosters.ownView()?.roster.epoch === view.roster.epoch;
    } finally {
      cancelTimeout();
    }
  }

  async function runForAll(
    view: RosterView,
    step: string,
    act: (member: Member) => Promise<boolean>,
  ): Promise<boolean> {
    const successors = activeMembers(view);
    const results = await Promise.all(successors.map(act));
    const missing = successors.filter((_, index) => results[index] !== true);
    if (missing.length === 0) return true;
    logger.warn('Could not hand over to every member; trying again.', {
      epoch: view.roster.epoch,
      step,
      missing: missing.map((member) => member.instance).join(' '),
    });
    return false;
  }

  async function notify(member: Member, view: RosterView, signal: AbortSignal): Promise<boolean> {
    const { epoch } = view.roster;
    if (notifiedEpochs.get(member.incarnation) === epoch) return true;
    const ask = { epoch, incarnation: self.incarnation, ceded: [...view.ceded] };
    const reply = await peers.request(member, 'cede', ask, {
      timeoutMs: NOTIFY_TIMEOUT_MS,
      signal,
    });
    const isNotified = reply.isOk && reply.value.accepted;
    if (isNotified) notifiedEpochs.set(member.incarnation, epoch);
    return isNotified;
  }

  return {
    cede,
    onEpochChange() {
      attempt.abort();
    },
  };
}
