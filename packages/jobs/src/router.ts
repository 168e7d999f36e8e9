/**
 * Takes submissions to the owner of their id in their home, from any instance. Since an id runs at
 * most once, a submission whose connection broke is sent again until it is answered.
 */
import { Outcomes, spreadDelay, type Random } from '@celerybarrow/shared';
import type { TimerService } from '@celerybarrow/timer';
import type {
  Answer,
  Ask,
  Greeting,
  Member,
  Reply,
  RequestType,
  Submission,
} from '@celerybarrow/protocol';
import { findHome, rankMembers, type Peers, type RosterKeeper } from '@celerybarrow/membership';
import { LONGEST_JOB_MS, type JobService } from './jobService.js';
import * as problems from './problems.js';

/** How long a submission looks for an instance that takes it. */
const ROUTE_PATIENCE_MS = 8_000;
const RETRY_PAUSE_MS = 50;
/** Time after which an instance that did not answer must have taken a submission. */
const TAKEN_AFTER_MS = 5_000;
const MEMBER_CHECK_MS = 250;
const LOOKUP_TIMEOUT_MS = 2_000;
const MAX_HOPS = 2;
const ANSWER_GRACE_MS = 5_000;

export interface Router {
  /** The home of a submission that names none; undefined while no data centre is known. */
  findHome(id: string, createdAt: number): string | undefined;
  submit(submission: Submission): Promise<Answer>;
  /** Takes a submission that a peer passed on. */
  receive(ask: Ask<'submit'>, peer: Greeting): Promise<Reply<'submit'>>;
  lookup(id: string): Promise<Reply<'lookup'>>;
  cancel(id: string): Promise<boolean>;
  trace(id: string): Promise<readonly string[]>;
}

export interface RouterOptions {
  readonly self: Member;
  readonly jobs: JobService;
  readonly rosters: RosterKeeper;
  readonly peers: Peers;
  readonly timer: TimerService;
  readonly random: Random;
  readonly findTrace: (id: string) => readonly string[];
}

export function createRouter(options: RouterOptions): Router {
  const { self, jobs, rosters, peers, timer, random } = options;

  async function submit(submission: Submission): Promise<Answer> {
    const limitMs = submission.deadlineMs ?? LONGEST_JOB_MS;
    const endMs = timer.nowMs() + limitMs + ANSWER_GRACE_MS;
    let giveUpMs = timer.nowMs() + Math.min(ROUTE_PATIENCE_MS, limitMs);
    for (let attempt = 0; timer.nowMs() < giveUpMs; attempt += 1) {
      const target = chooseTarget(submission, attempt);
      const startedMs = timer.nowMs();
      if (target !== undefined) {
        const answer = await tryTarget(target, submission, 1, endMs);
        if (answer !== undefined) return answer;
      }
      // An instance that held the submission for long had taken it; the search starts anew.
      const hadTaken = timer.nowMs() - startedMs > TAKEN_AFTER_MS;
      if (hadTaken) giveUpMs = Math.min(endMs, timer.nowMs() + ROUTE_PATIENCE_MS);
      await timer.sleep(spreadDelay(RETRY_PAUSE_MS, random));
    }
    return giveUp(submission);
  }

  /** The owner first; then, while it cannot be reached, others that may reach it. */
  function chooseTarget(submission: Submission, attempt: number): Member | undefined {
    const view = rosters.view(submission.home);
    if (view === undefined) return undefined;
    const ranked = rankMembers(view, submission.id);
    return ranked[attempt % Math.max(1, Math.min(ranked.length, 2))];
  }

  async function tryTarget(
    target: Member,
    submission: Submission,
    hops: number,
    endMs: number,
  ): Promise<Answer | undefined> {
    if (target.incarnation === self.incarnation) return jobs.submit(submission);
    const stop = new AbortController();
    const stopChecking = timer.onEvery(MEMBER_CHECK_MS, () => {
      if (!isMember(submission.home, target)) stop.abort();
    });
    const reply = await peers.request(
      target,
      'submit',
      { submission, hops },
      { timeoutMs: endMs - timer.nowMs(), connectWaitMs: MEMBER_CHECK_MS, signal: stop.signal },
    );
    stopChecking();
    return reply.isOk ? reply.value.answer : undefined;
  }

  function isMember(dataCentre: string, target: Member): boolean {
    const view = rosters.view(dataCentre);
    return (
      view === undefined ||
      view.roster.members.some((one) => one.incarnation === target.incarnation)
    );
  }

  function giveUp(submission: Submission): Answer {
    const { home, id } = submission;
    const isKnown = rosters.view(home) !== undefined;
    if (!isKnown && rosters.directory().dataCentres.length > 0 && !isListed(home)) {
      return problems.toAnswer(id, problems.unknownHome(home));
    }
    return problems.toAnswer(id, problems.homeUnreachable(home, Outcomes.MAY_HAVE_RUN));
  }

  function isListed(home: string): boolean {
    return rosters.directory().dataCentres.some((one) => one.name === home);
  }

  async function receive({ submission, hops }: Ask<'submit'>): Promise<Reply<'submit'>> {
    const answer = await jobs.submit(submission);
    if (answer !== undefined) return { answer };
    const owner = chooseTarget(submission, 0);
    const isElsewhere = owner !== undefined && owner.incarnation !== self.incarnation;
    if (hops >= MAX_HOPS || !isElsewhere) return {};
    const endMs = timer.nowMs() + (submission.deadlineMs ?? LONGEST_JOB_MS) + ANSWER_GRACE_MS;
    return { answer: await tryTarget(owner, submission, hops + 1, endMs) };
  }

  /** Asks this instance, and then every other one, as an id alone does not tell its named home. */
  async function askAll<T extends RequestType>(type: T, ask: Ask<T>): Promise<Reply<T>[]> {
    const others = rosters
      .rosters()
      .flatMap((roster) => [...roster.members])
      .filter((member) => member.incarnation !== self.incarnation);
    const replies = await Promise.all(
      others.map((member) =>
        peers.request(member, type, ask, {
          timeoutMs: LOOKUP_TIMEOUT_MS,
          connectWaitMs: MEMBER_CHECK_MS,
        }),
      ),
    );
    return replies.flatMap((reply) => (reply.isOk ? [reply.value] : []));
  }

  return {
    findHome: (id, createdAt) => findHome(rosters.directory(), id, createdAt),
    submit: (submission) => submit(submission),
    receive,
    async lookup(id) {
      const here = jobs.lookup(id);
      if (here.state !== 'unknown') return here;
      const elsewhere = await askAll('lookup', { id });
      return elsewhere.find((reply) => reply.state !== 'unknown') ?? here;
    },
    async cancel(id) {
      if (jobs.cancel(id)) return true;
      const elsewhere = await askAll('cancel', { id });
      return elsewhere.some((reply) => reply.found);
    },
    async trace(id) {
      const elsewhere = await askAll('trace', { id });
      return [...options.findTrace(id), ...elsewhere.flatMap((reply) => reply.events)].sort();
    },
  };
}
