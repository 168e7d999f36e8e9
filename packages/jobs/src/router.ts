/**
 * Forwards submissions from any instance to the owner of their id in their home data centre. An id
 * runs at most once, so a submission whose connection failed is sent again until it is answered.
 */
import { Outcomes, addJitter, type Outcome, type Random } from '@celerybarrow/shared';
import type { TimerService } from '@celerybarrow/timer';
import type {
  Answer,
  RequestBody,
  Greeting,
  Member,
  Reply,
  RequestType,
  Submission,
} from '@celerybarrow/protocol';
import {
  findHome,
  isTransferComplete,
  rankMembers,
  type Directory,
  type Peers,
  type RosterCache,
} from '@celerybarrow/membership';
import type { JobService } from './jobService.js';
import * as problems from './problems.js';
import { qualifyAnswer } from './qualifyAnswer.js';
import { MAX_JOB_DURATION_MS } from './submissionChecks.js';

/** How long to search for an instance that accepts a submission. */
const ROUTE_TIMEOUT_MS = 8_000;
/**
 * How long to wait for a roster change while the owner of an id is unreachable. After that, the
 * other members are asked for pledges that rule out a run. The delay is longer than a takeover from
 * a frozen owner takes.
 */
const PLEDGE_DELAY_MS = 4_000;
const RETRY_DELAY_MS = 50;
/**
 * A request without an answer that took longer than this must have reached an instance that
 * accepted it.
 */
const ACCEPTED_AFTER_MS = 5_000;
const MEMBER_CHECK_MS = 250;
const LOOKUP_TIMEOUT_MS = 2_000;
const MAX_HOPS = 2;
/** Owner and witness: the members of a data centre that store a claim unless the roster changed. */
const LIKELY_HOLDERS = 2;
const NONE_SEALED: ReadonlySet<string> = new Set();
const ANSWER_GRACE_MS = 5_000;

export interface Router {
  /**
   * Returns the home for a submission that names none, or undefined while no data centre is known.
   */
  findHome(id: string): string | undefined;
  submit(submission: Submission): Promise<Answer>;
  /** Handles a submission that a peer forwarded. */
  receive(ask: RequestBody<'submit'>, peer: Greeting): Promise<Reply<'submit'>>;
  lookup(id: string): Promise<Reply<'lookup'>>;
  cancel(id: string): Promise<boolean>;
  trace(id: string): Promise<readonly string[]>;
}

export interface RouterOptions {
  readonly self: Member;
  readonly jobs: JobService;
  readonly rosters: RosterCache;
  readonly peers: Peers;
  readonly timer: TimerService;
  readonly random: Random;
  /** Reads the directory of data centres; undefined if the platform does not answer. */
  readonly readDirectory: () => Promise<Directory | undefined>;
  /** Handles a pledge request as a member: promises not to accept a claim of an id in an epoch. */
  readonly pledge: (ask: RequestBody<'pledge'>) => Reply<'pledge'>;
  readonly findTrace: (id: string) => readonly string[];
}

export function createRouter(options: RouterOptions): Router {
  const { self, jobs, rosters, peers, timer, random } = options;

  async function submit(submission: Submission): Promise<Answer> {
    const { home, id } = submission;
    if (await isUnknownHome(home)) return problems.toAnswer(id, problems.unknownHome(home));
    const limitMs = submission.deadlineMs ?? MAX_JOB_DURATION_MS;
    const endMs = timer.nowMs() + limitMs + ANSWER_GRACE_MS;
    let timeoutAtMs = timer.nowMs() + Math.min(ROUTE_TIMEOUT_MS, limitMs);
    let pledgeAtMs = timer.nowMs() + Math.min(PLEDGE_DELAY_MS, limitMs);
    let mayCopyArrive = false;
    for (let attempt = 0; timer.nowMs() < timeoutAtMs; attempt += 1) {
      const target = chooseTarget(submission, attempt);
      const startedMs = timer.nowMs();
      if (target !== undefined) {
        const { answer, mayArrive } = await forward(target, submission, 1, endMs);
        if (answer !== undefined) return qualifyAnswer(answer, mayCopyArrive);
        mayCopyArrive ||= mayArrive === true;
      }
      // An instance that kept the request open this long had accepted it, so the search restarts.
      const wasAccepted = timer.nowMs() - startedMs > ACCEPTED_AFTER_MS;
      if (wasAccepted) timeoutAtMs = Math.min(endMs, timer.nowMs() + ROUTE_TIMEOUT_MS);
      if (timer.nowMs() >= pledgeAtMs) {
        if (await isRunRuledOut(submission))
          return qualifyAnswer(rejectUnowned(submission, Outcomes.NOT_RUN), mayCopyArrive);
        pledgeAtMs = timer.nowMs() + PLEDGE_DELAY_MS;
      }
      await timer.sleep(addJitter(RETRY_DELAY_MS, random));
    }
    const hasNotRun = await isRunRuledOut(submission);
    const outcome = hasNotRun ? Outcomes.NOT_RUN : Outcomes.MAY_HAVE_RUN;
    return qualifyAnswer(rejectUnowned(submission, outcome), mayCopyArrive);
  }

  function rejectUnowned({ id, home }: Submission, outcome: Outcome): Answer {
    return problems.toAnswer(id, problems.homeUnreachable(home, outcome));
  }

  /**
   * Whether a submission has not run and cannot run. This is certain if the process of its owner
   * has exited and all other members have no claim of the id and pledge not to accept one. After
   * a complete claim transfer every claim is stored at two members, so the owner cannot be the only
   * member that stored it.
   */
  async function isRunRuledOut({ home, id, createdAt }: Submission): Promise<boolean> {
    const view = rosters.view(home);
    const [owner] = view === undefined ? [] : rankMembers(view, id);
    if (view === undefined || owner === undefined) return false;
    const { roster } = view;
    if (!isTransferComplete(roster) || createdAt < roster.memoryLostBefore) return false;
    if (owner.incarnation === self.incarnation || !peers.linkTo(owner).isGone()) return false;
    const ask = { epoch: roster.epoch, id };
    const timeouts = { timeoutMs: LOOKUP_TIMEOUT_MS, connectWaitMs: MEMBER_CHECK_MS };
    const others = roster.members.filter((member) => member !== owner);
    const pledges = await Promise.all(
      others.map(async (member) => {
        if (member.incarnation === self.incarnation) return options.pledge(ask).pledged;
        const reply = await peers.request(member, 'pledge', ask, timeouts);
        return reply.isOk && reply.value.pledged;
      }),
    );
    return pledges.length > 0 && pledges.every((pledged) => pledged);
  }

  /**
   * Returns the owner on even attempts and the next member in order on odd attempts, because that
   * member may be able to reach an owner that this instance cannot reach.
   */
  function chooseTarget(submission: Submission, attempt: number): Member | undefined {
    const view = rosters.view(submission.home);
    if (view === undefined) return undefined;
    const ranked = rankMembers(view, submission.id);
    return ranked[attempt % Math.max(1, Math.min(ranked.length, 2))];
  }

  async function forward(
    target: Member,
    submission: Submission,
    hops: number,
    endMs: number,
  ): Promise<Reply<'submit'>> {
    if (target.incarnation === self.incarnation) return { answer: await jobs.submit(submission) };
    const abort = new AbortController();
    const stopChecking = timer.onEvery(MEMBER_CHECK_MS, () => {
      if (!isMember(submission.home, target)) abort.abort();
    });
    const reply = await peers.request(
      target,
      'submit',
      { submission, hops },
      { timeoutMs: endMs - timer.nowMs(), connectWaitMs: MEMBER_CHECK_MS, signal: abort.signal },
    );
    stopChecking();
    return reply.isOk ? reply.value : { mayArrive: !reply.error.isUnsent };
  }

  function isMember(dataCentre: string, target: Member): boolean {
    const view = rosters.view(dataCentre);
    return (
      view === undefined ||
      view.roster.members.some((one) => one.incarnation === target.incarnation)
    );
  }

  /** Whether the directory read from the platform does not list the data centre. */
  async function isUnknownHome(home: string): Promise<boolean> {
    if (rosters.view(home) !== undefined) return false;
    const directory = await options.readDirectory();
    return directory?.dataCentres.every((one) => one.name !== home) ?? false;
  }

  async function receive({ submission, hops }: RequestBody<'submit'>): Promise<Reply<'submit'>> {
    const answer = await jobs.submit(submission);
    if (answer !== undefined) return { answer };
    const owner = chooseTarget(submission, 0);
    const isRemote = owner !== undefined && owner.incarnation !== self.incarnation;
    if (hops >= MAX_HOPS || !isRemote) return {};
    const endMs = timer.nowMs() + (submission.deadlineMs ?? MAX_JOB_DURATION_MS) + ANSWER_GRACE_MS;
    return forward(owner, submission, hops + 1, endMs);
  }

  /**
   * Asks the likely holders of an id in every data centre, and then all other members. An id alone
   * identifies neither the home that its submission named nor a runner that no longer owns its
   * range.
   */
  async function requestUntilFound<T extends RequestType>(
    type: T,
    ask: RequestBody<T> & { readonly id: string },
    isFound: (reply: Reply<T>) => boolean,
  ): Promise<Reply<T> | undefined> {
    const ranked = rosters
      .rosters()
      .map((roster) => rankMembers({ roster, ceded: NONE_SEALED }, ask.id));
    const likely = ranked.flatMap((members) => members.slice(0, LIKELY_HOLDERS));
    const others = ranked.flatMap((members) => members.slice(LIKELY_HOLDERS));
    const found = (await requestAll(likely, type, ask)).find(isFound);
    return found ?? (await requestAll(others, type, ask)).find(isFound);
  }

  async function requestAll<T extends RequestType>(
    members: readonly Member[],
    type: T,
    ask: RequestBody<T>,
  ): Promise<Reply<T>[]> {
    const others = members.filter((member) => member.incarnation !== self.incarnation);
    const timeouts = { timeoutMs: LOOKUP_TIMEOUT_MS, connectWaitMs: MEMBER_CHECK_MS };
    const replies = await Promise.all(others.map((one) => peers.request(one, type, ask, timeouts)));
    return replies.flatMap((reply) => (reply.isOk ? [reply.value] : []));
  }

  return {
    findHome: (id) => findHome(rosters.directory(), id),
    submit: (submission) => submit(submission),
    receive,
    async lookup(id) {
      const localReply = jobs.lookup(id);
      if (localReply.state !== 'unknown') return localReply;
      return (
        (await requestUntilFound('lookup', { id }, (reply) => reply.state !== 'unknown')) ??
        localReply
      );
    },
    async cancel(id) {
      if (jobs.cancel(id)) return true;
      return (await requestUntilFound('cancel', { id }, (reply) => reply.found)) !== undefined;
    },
    async trace(id) {
      const members = rosters.rosters().flatMap((roster) => roster.members);
      const remoteReplies = await requestAll(members, 'trace', { id });
      return [...options.findTrace(id), ...remoteReplies.flatMap((reply) => reply.events)].sort();
    },
  };
}
