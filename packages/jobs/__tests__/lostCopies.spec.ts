/** Tests what a gateway answers if an earlier copy of the submission may still arrive. */
import { describe, it } from 'node:test';
import { expect } from 'earl';
import { Result } from 'true-myth';
import { createRandom, ErrorCodes, Outcomes, type ErrorCode } from '@celerybarrow/shared';
import { createManualTimer } from '@celerybarrow/timer';
import { ProtocolError, type Greeting, type Member, type Reply } from '@celerybarrow/protocol';
import {
  completeTransfer,
  createFirstRoster,
  createRosterCache,
  joinRoster,
  type Peers,
} from '@celerybarrow/membership';
import { createLogger } from '@celerybarrow/telemetry';
import { createRouter, type JobService } from '../src/index.js';

const WRITE = { writeId: 'w', nowMs: 1_000 };
const ROUTE_MS = 1_000;
const SUBMISSION = {
  id: 'job',
  service: 'notesmith',
  home: 'dub1',
  createdAt: 1,
  digest: 'd',
  tasks: [],
};
const NOT_RUN = {
  id: 'job',
  problem: { status: 503, title: 'Queue full', detail: 'full', outcome: Outcomes.NOT_RUN },
};

function memberOf(instance: string): Member {
  return { instance, incarnation: `${instance}.1`, peer: '127.0.0.1:1' };
}

/** Starts the router of an instance outside the home data centre of two members. */
function startRouter(
  replies: Result<Reply<'submit'>, ProtocolError>[],
  options: { isGone?: boolean } = {},
) {
  const timer = createManualTimer();
  const rosters = createRosterCache('dub1', createLogger('test'));
  const first = createFirstRoster('dub1', memberOf('e1'), WRITE);
  rosters.update(completeTransfer(joinRoster(first, memberOf('e2'), WRITE), WRITE));
  const router = createRouter({
    self: memberOf('g1'),
    jobs: { submit: () => Promise.resolve(undefined) } as unknown as JobService,
    rosters,
    peers: {
      request: () => Promise.resolve(replies.shift()),
      linkTo: () => ({ isGone: () => options.isGone === true }),
    } as unknown as Peers,
    timer,
    random: createRandom(1),
    readDirectory: () => Promise.resolve(undefined),
    pledge: () => ({ pledged: false }),
    findTrace: () => [],
  });
  return { router, timer };
}

async function submitTo({ router, timer }: ReturnType<typeof startRouter>): Promise<string> {
  const submitted = router.submit(SUBMISSION);
  await timer.advance(ROUTE_MS);
  const answer = await submitted;
  return 'problem' in answer ? answer.problem.outcome : 'complete';
}

function lost(code: ErrorCode): Result<Reply<'submit'>, ProtocolError> {
  return Result.err(new ProtocolError(code));
}

describe('a refusal after an earlier copy of the submission got no reply', () => {
  // Guards against a copy that is held up in a cut connection: it started the job after its caller
  // had been told not-run.
  it('is not answered not-run while the copy may arrive', async () => {
    const routing = startRouter([lost(ErrorCodes.PEER_SILENT), Result.ok({ answer: NOT_RUN })]);
    expect(await submitTo(routing)).toEqual(Outcomes.MAY_HAVE_RUN);
  });

  it('is not answered not-run while a copy that a peer forwarded may arrive', async () => {
    const routing = startRouter([Result.ok({ mayArrive: true }), Result.ok({ answer: NOT_RUN })]);
    expect(await submitTo(routing)).toEqual(Outcomes.MAY_HAVE_RUN);
  });

  it('is answered not-run if the copy was not sent', async () => {
    const unsent = lost(ErrorCodes.PEER_UNREACHABLE);
    expect(await submitTo(startRouter([unsent, Result.ok({ answer: NOT_RUN })]))).toEqual(
      Outcomes.NOT_RUN,
    );
  });

  // Guards against a receiver that forwarded the copy before its process ended.
  it('is not answered not-run if the process of the receiver has ended', async () => {
    const replies = [lost(ErrorCodes.PEER_SILENT), Result.ok({ answer: NOT_RUN })];
    expect(await submitTo(startRouter(replies, { isGone: true }))).toEqual(Outcomes.MAY_HAVE_RUN);
  });

  it('tells the sender of a forwarded submission', async () => {
    const { router } = startRouter([lost(ErrorCodes.PEER_SILENT)]);
    const greeting = { ...memberOf('g2'), version: 1, dataCentre: 'dub1' } satisfies Greeting;
    const reply = await router.receive({ submission: SUBMISSION, hops: 1 }, greeting);
    expect(reply).toEqual({ mayArrive: true });
  });
});
