import { describe, it } from 'node:test';
import { expect } from 'earl';
import { Result } from 'true-myth';
import { ErrorCodes, type ErrorCode } from '@celerybarrow/shared';
import { createManualTimer } from '@celerybarrow/timer';
import {
  ProtocolError,
  TaskOutcomes,
  type RequestBody,
  type Greeting,
  type Member,
} from '@celerybarrow/protocol';
import { MAX_INSTANCE_SKEW_MS, type Peers } from '@celerybarrow/membership';
import {
  createBatchReceiver,
  createBatchSender,
  createPeerLoads,
  type TaskDispatcher,
  type QueuedTask,
} from '../src/index.js';

const member: Member = { instance: 'b', incarnation: 'b.1', peer: '127.0.0.1:1' };
const owner: Member = { instance: 'a', incarnation: 'a.1', peer: '127.0.0.1:2' };
const load = { groups: [] };
const tasks = [0, 1, 2].map((index) => ({
  index,
  name: `t${index}`,
  kind: 'k',
  payload: '1',
  expectedMs: 10,
}));
const content = {
  job: 'j',
  service: 's',
  team: 't',
  weight: 1,
  remainingMs: 1_000,
  ageMs: 0,
  tasks,
};
const toGreeting = (member: Member): Greeting => ({ ...member, version: 1, dataCentre: 'dub1' });

type Answer = { accepted: boolean } | ErrorCode;

/**
 * Creates a sender whose peer replies to batches with the answers in order and repeats the last.
 */
function createSenderHarness(answers: Answer[], isGone = () => false, isDropped = () => false) {
  const timer = createManualTimer();
  const sent: string[] = [];
  const results: string[] = [];
  const peers = {
    linkTo: () => ({ isGone, isConnected: () => true }),
    request(_to: Member, type: string) {
      sent.push(type);
      const answer =
        type === 'batch' ? (answers.length > 1 ? answers.shift() : answers[0]) : undefined;
      if (typeof answer === 'number') return Promise.resolve(Result.err(new ProtocolError(answer)));
      return Promise.resolve(Result.ok({ ...answer, load }));
    },
  } as unknown as Peers;
  const sender = createBatchSender({
    peers,
    loads: createPeerLoads(),
    timer,
    isMember: () => true,
  });
  sender.send(member, content, {
    onResult: (result) => results.push(`${result.index}:${result.outcome}`),
    onLost: (indexes) => results.push(`lost ${indexes.join(',')}`),
    isDropped,
  });
  const report = (batch: number, index: number, from = member) => {
    const result = { index, outcome: TaskOutcomes.DONE, body: '1' };
    sender.onResults({ batch, results: [result], load }, toGreeting(from));
  };
  return { timer, sent, results, report };
}

const { PEER_SILENT, PEER_UNREACHABLE } = ErrorCodes;
const ALL_NOT_STARTED = ['0:2', '1:2', '2:2'];

describe('batch sender', () => {
  const cases: [string, Answer[], boolean, string[], number][] = [
    [
      'reports all tasks as not started if the batch was never sent',
      [PEER_UNREACHABLE],
      false,
      ALL_NOT_STARTED,
      1,
    ],
    [
      'reports all tasks as not started if the peer refuses the batch',
      [{ accepted: false }],
      false,
      ALL_NOT_STARTED,
      1,
    ],
    [
      'sends the batch again if the peer does not answer',
      [PEER_SILENT, { accepted: true }],
      false,
      [],
      2,
    ],
    [
      'does not report tasks as not started if only a later attempt was not sent',
      [PEER_SILENT, PEER_UNREACHABLE, { accepted: true }],
      false,
      [],
      3,
    ],
    [
      'reports the tasks as lost if the peer ends without answering',
      [PEER_SILENT],
      true,
      ['lost 0,1,2'],
      1,
    ],
    [
      'reports the tasks as lost if the peer ends after accepting the batch',
      [{ accepted: true }],
      true,
      ['lost 0,1,2'],
      1,
    ],
  ];
  for (const [title, answers, isGone, expected, attempts] of cases) {
    it(title, async () => {
      const harness = createSenderHarness(answers, () => isGone);
      await harness.timer.advance(1_000);
      expect(harness.results).toEqual(expected);
      expect(harness.sent.filter((type) => type === 'batch').length).toEqual(attempts);
    });
  }

  it('handles each result once, and only from the peer that has the batch', async () => {
    const harness = createSenderHarness([{ accepted: true }]);
    await harness.timer.advance(10);
    harness.report(1, 0);
    harness.report(1, 0);
    harness.report(1, 1, owner);
    harness.report(9, 1);
    expect(harness.results).toEqual(['0:0']);
  });

  it('drops the tasks at the peer if the job was dropped while the batch was in transit', async () => {
    const harness = createSenderHarness([PEER_SILENT, { accepted: true }], undefined, () => true);
    await harness.timer.advance(1_000);
    expect(harness.sent).toEqual(['batch', 'batch', 'drop']);
  });
});

function createReceiverHarness() {
  const timer = createManualTimer();
  const queued: QueuedTask[] = [];
  const results: RequestBody<'results'>[] = [];
  let isListed = true;
  const receiver = createBatchReceiver({
    dispatcher: {
      enqueue: (task: QueuedTask) => queued.push(task),
      load: () => load,
    } as unknown as TaskDispatcher,
    peers: {
      linkTo: () => ({ isGone: () => false }),
      request(_to: Member, _type: string, ask: RequestBody<'results'>) {
        results.push(ask);
        const isUnanswered = results.length === 1;
        return Promise.resolve(
          isUnanswered ? Result.err(new ProtocolError(PEER_SILENT)) : Result.ok({}),
        );
      },
    } as unknown as Peers,
    timer,
    findMember: () => (isListed ? owner : undefined),
  });
  const receive = (times: Partial<RequestBody<'batch'>> = {}) =>
    receiver.receive({ ...content, ...times, batch: 1 }, toGreeting(owner)).accepted;
  const setListed = (listed: boolean) => (isListed = listed);
  return { timer, queued, results, receiver, receive, setListed };
}

describe('batch receiver', () => {
  it('accepts a batch once if it arrives more than once', () => {
    const harness = createReceiverHarness();
    expect([harness.receive(), harness.receive(), harness.queued.length]).toEqual([true, true, 3]);
  });

  it('refuses a delayed copy after the owner was told that the batch was refused', () => {
    const harness = createReceiverHarness();
    harness.setListed(false);
    expect(harness.receive()).toEqual(false);
    harness.setListed(true);
    expect([harness.receive(), harness.queued.length]).toEqual([false, 0]);
  });

  // Guards against a batch that arrives after a cut: its tasks were started after the deadline of the
  // job, whose caller had its answer.
  it('starts no task later than the sender allows if the batch arrives late', async () => {
    const harness = createReceiverHarness();
    const startBefore = harness.timer.wallMs() + content.remainingMs;
    await harness.timer.advance(10_000);
    harness.receive({ startBefore });
    const latestMs = Math.max(...harness.queued.map((task) => task.startBefore));
    expect(latestMs).toEqual(startBefore + MAX_INSTANCE_SKEW_MS);
  });

  it('sends all results in one message and resends it until the owner answers', async () => {
    const harness = createReceiverHarness();
    harness.receive();
    for (const task of harness.queued)
      task.report({ index: task.index, outcome: TaskOutcomes.DONE, body: '1' });
    await harness.timer.advance(1_000);
    expect(harness.results.map((ask) => ask.results.length)).toEqual([3, 3]);
    expect(harness.receiver.open()).toEqual(0);
  });

  it('reports a failed task immediately', async () => {
    const harness = createReceiverHarness();
    harness.receive();
    harness.queued[1]?.report({ index: 1, outcome: TaskOutcomes.FAILED });
    await harness.timer.advance(500);
    expect(harness.results.at(-1)?.results.map((result) => result.index)).toEqual([1]);
  });
});
