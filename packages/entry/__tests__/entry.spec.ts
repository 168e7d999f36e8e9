import { describe, it } from 'node:test';
import { expect } from 'earl';
import { createElapsedClock, createManualTimer } from '@celerybarrow/timer';
import { Result } from 'true-myth';
import { ErrorCodes, type ErrorCode } from '@celerybarrow/shared';
import {
  CANCELLED_OUTCOME,
  JobStates,
  ProtocolError,
  type JobOutcome,
  type LeasedJob,
  type PeerLink,
  type View,
  type Withdrawal,
} from '@celerybarrow/protocol';
import type { Leadership } from '@celerybarrow/leadership';
import type { LogContext } from '@celerybarrow/telemetry';
import { Cancellations, createEntry, type LocalDispatcher } from '../src/index.js';

const dispatcher = { instance: 'a', incarnation: 'a-1', peer: '', dataCentre: 'd', weight: 1 };

function createJob(overrides: Partial<LeasedJob> = {}): LeasedJob {
  return {
    id: 'j',
    team: 't',
    service: 's',
    priority: 0,
    maxAttempts: 1,
    objectiveStretch: 1.6,
    objectiveAllowanceMs: 60,
    payload: '',
    steps: [],
    ageMs: 0,
    remainingMs: 1_500,
    ...overrides,
  };
}

type Submission = Parameters<LocalDispatcher['submit']>[0];

/** Creates an entry on an instance whose own dispatcher returns the given outcomes in turn. */
function createTestEntry(outcomes: JobOutcome[]) {
  const timer = createManualTimer();
  const submissions: Submission[] = [];
  const withdrawn: string[] = [];
  const unanswered: string[] = [];
  const limits: number[] = [];
  const state: {
    view: View | undefined;
    isLinkLost: boolean;
    error: ErrorCode;
    /** Answers of the local dispatcher to the next withdrawals; found by default. */
    readonly withdrawals: Withdrawal[];
    /** When dispatchers last answered a heartbeat. */
    readonly contacts: Map<string, number>;
    /** How far the local wall clock was set forward. */
    stepMs: number;
    /** Answers requests over a working connection to a dispatcher on another instance. */
    answer?: (type: string, body?: unknown) => Promise<unknown>;
  } = {
    view: { epoch: 1, round: 0, dispatcher },
    isLinkLost: false,
    error: ErrorCodes.PEER_SILENT,
    withdrawals: [],
    contacts: new Map(),
    stepMs: 0,
  };
  /** A connection to another instance on which every request fails. */
  const link = {
    request: async () => {
      await timer.sleep(10);
      return Result.err(new ProtocolError(state.error));
    },
  } as unknown as PeerLink;
  const leadership = {
    shard: 0,
    view: () => state.view,
    isDispatching: () => state.view?.dispatcher.instance === 'a',
    isDispatcherReachable: () => state.view !== undefined,
    lastContactMs: (incarnation: string) => state.contacts.get(incarnation),
    gatewayState: () => undefined,
    recordUnanswered: (incarnation: string) => unanswered.push(incarnation),
    link: () => {
      const { answer } = state;
      if (answer !== undefined) return { request: answer } as unknown as PeerLink;
      return state.isLinkLost ? link : undefined;
    },
  } as unknown as Leadership;
  const local: LocalDispatcher = {
    async submit(submission) {
      submissions.push(submission);
      const outcome = outcomes.shift();
      if (outcome !== undefined) return outcome;
      await timer.sleep(1e9);
      return { state: JobStates.LOST, reason: 'never' };
    },
    withdraw(job) {
      withdrawn.push(job);
      return state.withdrawals.shift() ?? { found: true };
    },
    limitJobs(_gateway, remainingMs) {
      limits.push(remainingMs);
    },
    isKnown: () => false,
  };
  const ignore = () => undefined;
  const warnings: string[] = [];
  const contexts: LogContext[] = [];
  const warn = (message: string, context: LogContext = {}) => {
    warnings.push(message);
    contexts.push(context);
  };
  const entry = createEntry({
    instance: 'a',
    shardOf: () => 0,
    routes: () => [{ leadership, local }],
    timer,
    clock: createElapsedClock({ ...timer, wallMs: () => timer.wallMs() + state.stepMs }),
    logger: { debug: ignore, info: ignore, warn, error: ignore },
  });
  return { timer, entry, submissions, withdrawn, unanswered, limits, state, warnings, contexts };
}

// Guards against a planned stop that ends the process before it has answered its open requests.
describe('an entry that closes before its instance ends', () => {
  const remote = { epoch: 1, round: 0, dispatcher: { ...dispatcher, instance: 'b' } };
  const demand = { cores: 1, memoryMb: 1, accelerators: 0 };
  const steps = [{ tasks: 1, demand, estimateMs: 900, after: [] }];

  it('tells its dispatcher by when its open jobs have to end', () => {
    const { entry, limits } = createTestEntry([]);
    entry.closeIn(5_000);
    expect(limits).toEqual([5_000]);
  });

  it('answers a job as lost whose dispatcher does not reply', async () => {
    const { timer, entry, state } = createTestEntry([]);
    state.view = remote;
    state.answer = () => timer.sleep(1e9);
    const outcome = entry.submit(createJob({ remainingMs: 20_000 }), new AbortController().signal);
    await timer.advance(50);
    entry.closeIn(5_000);
    await timer.advance(5_200);
    expect((await outcome).state).toEqual(JobStates.LOST);
  });

  it('refuses a job that was never handed over, with a retry time', async () => {
    const { timer, entry, state } = createTestEntry([]);
    state.view = undefined;
    entry.closeIn(300);
    const outcome = entry.submit(createJob(), new AbortController().signal);
    await timer.advance(500);
    expect((await outcome).state).toEqual(JobStates.REFUSED);
    expect(((await outcome).retryAfterMs ?? 0) > 0).toEqual(true);
  });

  it('hands a job over with the time that is left, and refuses one at once that cannot end', async () => {
    const { timer, entry, submissions } = createTestEntry([
      { state: JobStates.COMPLETED, reason: '' },
    ]);
    entry.closeIn(1_000);
    await timer.advance(400);
    const { signal } = new AbortController();
    expect((await entry.submit(createJob({ steps }), signal)).state).toEqual(JobStates.COMPLETED);
    expect(submissions[0]?.job.remainingMs).toEqual(600);
    await timer.advance(400);
    const late = await entry.submit(createJob({ id: 'late', steps }), signal);
    expect(late.state).toEqual(JobStates.REFUSED);
    expect(submissions.length).toEqual(1);
  });

  it('refuses jobs after it has closed', async () => {
    const { timer, entry, submissions } = createTestEntry([]);
    entry.closeIn(100);
    await timer.advance(300);
    const outcome = await entry.submit(createJob(), new AbortController().signal);
    expect(outcome.state).toEqual(JobStates.REFUSED);
    expect(submissions).toEqual([]);
  });
});

describe('a job that a gateway has accepted', () => {
  it('is handed over to the next dispatcher with the endpoints that have runs of it', async () => {
    const moved = { state: JobStates.MOVED, reason: '', heldOn: ['e1'] };
    const completed = { state: JobStates.COMPLETED, reason: '' };
    const { timer, entry, submissions } = createTestEntry([moved, completed]);
    const outcome = entry.submit(createJob(), new AbortController().signal);
    await timer.advance(200);
    expect((await outcome).state).toEqual(JobStates.COMPLETED);
    expect(submissions.map((submission) => submission.resubmissions)).toEqual([0, 1]);
    expect(submissions[1]?.heldOn).toEqual(['e1']);
  });

  it('does not count as resubmitted when no dispatcher can have received it', async () => {
    const completed = { state: JobStates.COMPLETED, reason: '' };
    const { timer, entry, submissions, state } = createTestEntry([completed]);
    state.view = { epoch: 1, round: 0, dispatcher: { ...dispatcher, instance: 'b' } };
    state.isLinkLost = true;
    state.error = ErrorCodes.PEER_UNREACHABLE;
    const outcome = entry.submit(createJob(), new AbortController().signal);
    await timer.advance(30);
    state.view = { epoch: 2, round: 0, dispatcher };
    await timer.advance(200);
    expect((await outcome).state).toEqual(JobStates.COMPLETED);
    expect(submissions.map((submission) => submission.resubmissions)).toEqual([0]);
  });

  // A dispatcher that stalled sends back the jobs that may have waited for it meanwhile.
  it('does not count as resubmitted when it was sent back untouched', async () => {
    const untouched = { state: JobStates.MOVED, reason: '', isUntouched: true };
    const completed = { state: JobStates.COMPLETED, reason: '' };
    const { timer, entry, submissions } = createTestEntry([untouched, completed]);
    const outcome = entry.submit(createJob(), new AbortController().signal);
    await timer.advance(200);
    expect((await outcome).state).toEqual(JobStates.COMPLETED);
    expect(submissions.map((submission) => submission.resubmissions)).toEqual([0, 0]);
  });

  it('is refused without a handover when no dispatcher is known', async () => {
    const { timer, entry, state, submissions } = createTestEntry([]);
    state.view = undefined;
    const outcome = entry.submit(createJob(), new AbortController().signal);
    await timer.advance(1_000);
    expect((await outcome).state).toEqual(JobStates.REFUSED);
    expect(((await outcome).retryAfterMs ?? 0) > 0).toEqual(true);
    expect(submissions).toEqual([]);
  });

  // After the loss of all instances, callers submit their jobs again with little time left.
  it('is refused at once when it cannot finish before its deadline', async () => {
    const { timer, entry, state } = createTestEntry([]);
    state.view = undefined;
    const demand = { cores: 1, memoryMb: 1, accelerators: 0 };
    const steps = [{ tasks: 1, demand, estimateMs: 900, after: [] }];
    const job = createJob({ steps, remainingMs: 200 });
    let outcome: JobOutcome | undefined;
    void entry.submit(job, new AbortController().signal).then((answer) => (outcome = answer));
    await timer.advance(5);
    expect(outcome?.state).toEqual(JobStates.REFUSED);
  });

  it('is answered as lost instead of refused after a handover', async () => {
    const { timer, entry, state } = createTestEntry([{ state: JobStates.MOVED, reason: '' }]);
    const outcome = entry.submit(createJob(), new AbortController().signal);
    await timer.advance(5);
    state.view = undefined;
    await timer.advance(2_000);
    expect((await outcome).state).toEqual(JobStates.LOST);
  });

  // An endpoint that only the disconnected dispatcher has used may run the job, and the next
  // dispatcher would not ask that endpoint.
  it('is lost when a dispatcher apart from the others is lost with it', async () => {
    const { timer, entry, state, submissions } = createTestEntry([]);
    state.view = { epoch: 1, round: 1, dispatcher: { ...dispatcher, instance: 'b' } };
    state.isLinkLost = true;
    const outcome = entry.submit(createJob(), new AbortController().signal);
    await timer.advance(5);
    state.view = { epoch: 2, round: 0, dispatcher };
    await timer.advance(100);
    expect((await outcome).state).toEqual(JobStates.LOST);
    expect(submissions).toEqual([]);
  });

  it('tells the next dispatcher how long ago it was handed over to the lost one', async () => {
    const completed = { state: JobStates.COMPLETED, reason: '' };
    const { timer, entry, state, submissions } = createTestEntry([completed]);
    const lost = { ...dispatcher, instance: 'b', incarnation: 'b-1' };
    state.view = { epoch: 1, round: 0, dispatcher: lost };
    state.isLinkLost = true;
    const outcome = entry.submit(createJob(), new AbortController().signal);
    await timer.advance(5);
    state.view = { epoch: 2, round: 0, dispatcher };
    await timer.advance(100);
    expect((await outcome).state).toEqual(JobStates.COMPLETED);
    expect(submissions.map((submission) => submission.resubmissions)).toEqual([1]);
    expect((submissions[0]?.lostHandoverAgoMs ?? 0) >= 10).toEqual(true);
  });

  // A dispatcher that receives the job late must not start it: the count tells that it is elsewhere.
  it('is counted as unanswered before it is handed over to the next dispatcher', async () => {
    const { timer, entry, state, submissions, unanswered } = createTestEntry([]);
    state.view = { epoch: 1, round: 0, dispatcher: { ...dispatcher, instance: 'b' } };
    state.isLinkLost = true;
    void entry.submit(createJob(), new AbortController().signal);
    await timer.advance(12);
    expect(unanswered).toEqual([dispatcher.incarnation]);
    expect(submissions.length).toEqual(0);
  });

  it('is not counted as unanswered if it was not sent', async () => {
    const { timer, entry, state, unanswered } = createTestEntry([]);
    state.view = { epoch: 1, round: 0, dispatcher: { ...dispatcher, instance: 'b' } };
    state.isLinkLost = true;
    state.error = ErrorCodes.PEER_UNREACHABLE;
    void entry.submit(createJob(), new AbortController().signal);
    await timer.advance(100);
    expect(unanswered).toEqual([]);
  });

  // Seed 2033 of separatedInstances.spec.ts: a job of 5 s, cut off with its dispatcher, which started a
  // task after the other data centre had a dispatcher of its own.
  it('tells the next dispatcher how long ago the lost one was in contact', async () => {
    const { timer, entry, state, submissions } = createTestEntry([]);
    const lost = { ...dispatcher, instance: 'b', incarnation: 'b-1' };
    state.view = { epoch: 1, round: 0, dispatcher: lost };
    state.answer = async () => {
      await timer.sleep(1_000);
      return Result.err(new ProtocolError(ErrorCodes.PEER_SILENT));
    };
    void entry.submit(createJob(), new AbortController().signal);
    await timer.advance(900);
    state.contacts.set('b-1', timer.nowMs());
    state.view = { epoch: 2, round: 0, dispatcher };
    await timer.advance(150);
    const agoMs = submissions[0]?.lostHandoverAgoMs ?? Infinity;
    expect(agoMs <= 150).toEqual(true);
  });

  it('does not overstate the time since that handover when the wall clock is set forward', async () => {
    const { timer, entry, state, submissions } = createTestEntry([]);
    const lost = { ...dispatcher, instance: 'b', incarnation: 'b-1' };
    state.view = { epoch: 1, round: 0, dispatcher: lost };
    state.isLinkLost = true;
    void entry.submit(createJob(), new AbortController().signal);
    await timer.advance(5);
    state.stepMs = 1_000;
    state.view = { epoch: 2, round: 0, dispatcher };
    await timer.advance(100);
    const agoMs = submissions[0]?.lostHandoverAgoMs ?? Infinity;
    expect(agoMs <= 105).toEqual(true);
  });

  it('is withdrawn when its caller disconnects', async () => {
    const { timer, entry, withdrawn } = createTestEntry([]);
    const leaving = new AbortController();
    void entry.submit(createJob(), leaving.signal);
    await timer.advance(50);
    leaving.abort();
    await timer.advance(50);
    expect(withdrawn).toEqual(['j']);
  });

  // The caller may submit the job again later and reach another dispatcher.
  it('is not handed over when its caller disconnects before a dispatcher is found', async () => {
    const { timer, entry, state, submissions } = createTestEntry([]);
    state.view = undefined;
    const leaving = new AbortController();
    const outcome = entry.submit(createJob(), leaving.signal);
    await timer.advance(50);
    leaving.abort();
    state.view = { epoch: 1, round: 0, dispatcher };
    await timer.advance(100);
    expect(submissions).toEqual([]);
    expect((await outcome).state).toEqual(JobStates.EXPIRED);
  });

  // Connections of callers and of instances can be reset at the same time.
  it('is withdrawn again when the first withdrawal fails', async () => {
    const { timer, entry, state } = createTestEntry([]);
    state.view = { epoch: 1, round: 0, dispatcher: { ...dispatcher, instance: 'b' } };
    const requestTypes: string[] = [];
    state.answer = async (type) => {
      requestTypes.push(type);
      if (type === 'dispatch') await timer.sleep(1e9);
      const isLost = requestTypes.length === 2;
      return isLost
        ? Result.err(new ProtocolError(ErrorCodes.PEER_UNREACHABLE))
        : Result.ok({ found: true });
    };
    const leaving = new AbortController();
    void entry.submit(createJob(), leaving.signal);
    await timer.advance(50);
    leaving.abort();
    await timer.advance(500);
    expect(requestTypes).toEqual(['dispatch', 'withdraw', 'withdraw']);
  });

  // Seed 1187 of separatedInstances.spec.ts: the job ran on, and a second time for the next submission.
  it('is withdrawn again when the dispatcher receives the first withdrawal before the job', async () => {
    const { timer, entry, state } = createTestEntry([]);
    state.view = { epoch: 1, round: 0, dispatcher: { ...dispatcher, instance: 'b' } };
    const requestTypes: string[] = [];
    state.answer = async (type) => {
      requestTypes.push(type);
      if (type === 'dispatch') await timer.sleep(1e9);
      return Result.ok({ found: requestTypes.length > 2 });
    };
    const leaving = new AbortController();
    void entry.submit(createJob(), leaving.signal);
    await timer.advance(50);
    leaving.abort();
    await timer.advance(500);
    expect(requestTypes).toEqual(['dispatch', 'withdraw', 'withdraw']);
  });

  it('is not withdrawn for an earlier caller after the same id is submitted again', async () => {
    const { timer, entry, state } = createTestEntry([]);
    state.view = { epoch: 1, round: 0, dispatcher: { ...dispatcher, instance: 'b' } };
    const requestTypes: string[] = [];
    state.answer = async (type) => {
      requestTypes.push(type);
      if (type === 'dispatch') await timer.sleep(1e9);
      return requestTypes.length === 2
        ? Result.err(new ProtocolError(ErrorCodes.PEER_UNREACHABLE))
        : Result.ok({ found: true });
    };
    const leaving = new AbortController();
    void entry.submit(createJob(), leaving.signal);
    await timer.advance(50);
    leaving.abort();
    await timer.advance(30);
    void entry.submit(createJob(), new AbortController().signal);
    await timer.advance(500);
    expect(requestTypes).toEqual(['dispatch', 'withdraw', 'dispatch']);
  });

  it('is logged when it is abandoned while a dispatcher may still run it', async () => {
    const { timer, entry, state, warnings } = createTestEntry([
      { state: JobStates.MOVED, reason: '' },
    ]);
    void entry.submit(createJob(), new AbortController().signal);
    await timer.advance(5);
    state.view = undefined;
    await timer.advance(2_000);
    expect(warnings).toInclude('Job is given up without a withdrawal.');
  });

  it('is logged when its withdrawal gets no answer', async () => {
    const { timer, entry, state, warnings } = createTestEntry([]);
    state.view = { epoch: 1, round: 0, dispatcher: { ...dispatcher, instance: 'b' } };
    state.isLinkLost = true;
    const leaving = new AbortController();
    void entry.submit(createJob(), leaving.signal);
    await timer.advance(5);
    leaving.abort();
    await timer.advance(20);
    expect(warnings).toInclude('Withdrawal got no answer.');
  });
});

// Guards against a cancelled job that runs on because its dispatcher was being replaced.
describe('the cancellation of a job', () => {
  const other = { epoch: 1, round: 0, dispatcher: { ...dispatcher, instance: 'b' } };
  const own = { epoch: 2, round: 0, dispatcher };

  it('is answered at once by a dispatcher that has the job, or certainly has not', async () => {
    const { entry, state } = createTestEntry([]);
    expect(await entry.cancel('j')).toEqual(Cancellations.CANCELLED);
    state.withdrawals.push({ found: false });
    expect(await entry.cancel('j')).toEqual(Cancellations.NO_SUCH_JOB);
  });

  it('is repeated at the next dispatcher, until that one knows the jobs of all gateways', async () => {
    const { timer, entry, state, withdrawn } = createTestEntry([]);
    state.view = other;
    state.isLinkLost = true;
    const cancellation = entry.cancel('j');
    await timer.advance(250);
    state.withdrawals.push({ found: false, isUncertain: true }, { found: true });
    state.view = own;
    await timer.advance(500);
    expect(await cancellation).toEqual(Cancellations.CANCELLED);
    expect(withdrawn).toEqual(['j', 'j']);
  });

  it('does not count an answer of a dispatcher that was replaced meanwhile', async () => {
    const { timer, entry, state, withdrawn } = createTestEntry([]);
    state.view = other;
    state.answer = async () => {
      await timer.sleep(50);
      state.view = own;
      return Result.ok({ found: true });
    };
    state.withdrawals.push({ found: false });
    const cancellation = entry.cancel('j');
    await timer.advance(500);
    expect(await cancellation).toEqual(Cancellations.CANCELLED);
    expect(withdrawn).toEqual(['j']);
  });

  it('is unanswered, not unknown, when no dispatcher answers in time', async () => {
    const { timer, entry, state } = createTestEntry([]);
    state.view = other;
    state.isLinkLost = true;
    const cancellation = entry.cancel('j');
    await timer.advance(4_000);
    expect(await cancellation).toEqual(Cancellations.UNANSWERED);
  });

  it('ends a job that waits at this instance for the next dispatcher', async () => {
    const { timer, entry, state, submissions } = createTestEntry([]);
    state.view = other;
    state.isLinkLost = true;
    const outcome = entry.submit(createJob(), new AbortController().signal);
    await timer.advance(5);
    const cancellation = entry.cancel('j');
    state.withdrawals.push({ found: false });
    state.view = own;
    await timer.advance(300);
    expect(await cancellation).toEqual(Cancellations.CANCELLED);
    expect((await outcome).state).toEqual(JobStates.EXPIRED);
    expect(submissions).toEqual([]);
  });

  // Guards against a cancelled job that runs after a planned stop, when its caller submits it again.
  it('is repeated to the next dispatcher of this instance or of another one', async () => {
    const { timer, entry, state, withdrawn } = createTestEntry([]);
    await entry.cancel('j');
    entry.rememberCancelled(['k']);
    await entry.repeatCancellations(0);
    expect(withdrawn).toEqual(['j', 'j', 'k']);
    const requests: unknown[] = [];
    state.view = other;
    state.answer = async (type: string, body?: unknown) => {
      await timer.sleep(10);
      requests.push([type, body]);
      return Result.ok({ isRecorded: requests.length > 1 });
    };
    const repetition = entry.repeatCancellations(0);
    await timer.advance(500);
    await repetition;
    const request = ['cancellations', { shard: 0, jobs: ['j', 'k'] }];
    expect(requests).toEqual([request, request]);
  });

  // Guards against a cancelled job that reaches the next dispatcher before the repeated cancellation.
  it('is named when a job is handed over that was cancelled elsewhere', async () => {
    const { entry, submissions } = createTestEntry([CANCELLED_OUTCOME, CANCELLED_OUTCOME]);
    await entry.submit(createJob(), new AbortController().signal);
    await entry.submit(createJob(), new AbortController().signal);
    expect(submissions.map(({ isCancelled }) => isCancelled)).toEqual([undefined, true]);
  });

  // Guards against a cancellation that is lost with the instance that acknowledged it.
  it('is passed to a dispatcher of this instance if it was learned, and not to another one', async () => {
    const { timer, entry, state, withdrawn } = createTestEntry([]);
    entry.learnCancelled(['k']);
    state.view = other;
    const requests: string[] = [];
    state.answer = (type: string) => {
      requests.push(type);
      return Promise.resolve(Result.ok({ isRecorded: true }));
    };
    await entry.repeatCancellations(0);
    expect(requests).toEqual([]);
    state.view = own;
    await entry.repeatCancellations(0);
    await timer.advance(10);
    expect(withdrawn).toEqual(['k']);
  });

  it('is not repeated after a caller can no longer submit the job again', async () => {
    const { timer, entry, withdrawn } = createTestEntry([]);
    await entry.cancel('j');
    // Callers wait up to 44 s, and submit a job again 1.3 s later.
    await timer.advance(45_300);
    await entry.repeatCancellations(0);
    expect(withdrawn).toEqual(['j', 'j']);
    await timer.advance(15_000);
    await entry.repeatCancellations(0);
    expect(withdrawn).toEqual(['j', 'j']);
  });
});

// Guards against a handover whose cause no line tells: a dispatcher that gave no answer may go on.
describe('the log of a job that is handed over again', () => {
  const remote = { epoch: 1, round: 0, dispatcher: { ...dispatcher, instance: 'b' } };
  const completed = { state: JobStates.COMPLETED, reason: '' };
  const moved = { state: JobStates.MOVED, reason: 'another instance dispatches' };

  for (const [outcome, end] of [
    [moved, 'moved'],
    [{ ...moved, isUntouched: true }, 'moved-untouched'],
  ] as const) {
    it(`contains that its dispatcher has answered ${end}`, async () => {
      const { timer, entry, contexts } = createTestEntry([outcome, completed]);
      const answered = entry.submit(createJob(), new AbortController().signal);
      await timer.advance(50);
      await answered;
      expect([contexts[0]?.['end'], contexts[0]?.['reason']]).toEqual([end, moved.reason]);
    });
  }

  it('contains for how long it waited without an answer, and the last contact', async () => {
    const { timer, entry, state, contexts } = createTestEntry([completed]);
    state.view = remote;
    await timer.advance(500);
    state.contacts.set('a-1', 420);
    state.answer = async () => {
      await timer.sleep(300);
      return Result.err(new ProtocolError(ErrorCodes.PEER_SILENT, 'connection closed'));
    };
    const answered = entry.submit(createJob(), new AbortController().signal);
    await timer.advance(300);
    state.view = { epoch: 2, round: 0, dispatcher };
    await timer.advance(50);
    await answered;
    const { end, reason, attemptMs, lastContactAgoMs } = contexts[0] ?? {};
    expect([end, attemptMs, lastContactAgoMs]).toEqual(['no-answer', 300, 380]);
    expect(String(reason).endsWith('connection closed')).toEqual(true);
  });
});
