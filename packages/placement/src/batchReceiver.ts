/**
 * Receives batches of tasks from peers and queues the tasks on this instance. The results of a
 * batch are sent to its owner in one message when all its tasks have a result. A failed or not
 * started task is reported immediately, because the owner must act on it.
 */
import type { TimerService } from '@celerybarrow/timer';
import {
  TaskOutcomes,
  type RequestBody,
  type Greeting,
  type Member,
  type Reply,
  type TaskResult,
} from '@celerybarrow/protocol';
import { MAX_INSTANCE_SKEW_MS, type Peers } from '@celerybarrow/membership';
import type { TaskDispatcher } from './taskDispatcher.js';

const RESULTS_TIMEOUT_MS = 2_000;
const RESEND_DELAY_MS = 100;
/** How long the answer to a batch is kept for delayed copies of the batch. */
const DECISION_RETENTION_MS = 10 * 60_000;
const SWEEP_INTERVAL_MS = 1_000;

export interface BatchReceiver {
  /** Accepts or refuses a batch. Returns the same answer for every copy of the batch. */
  receive(ask: RequestBody<'batch'>, peer: Greeting): Reply<'batch'>;
  /** Refuses all batches from now on. */
  drain(): void;
  /** Returns the number of accepted batches whose results are not all delivered. */
  open(): number;
  close(): void;
}

export interface BatchReceiverOptions {
  readonly dispatcher: TaskDispatcher;
  readonly peers: Peers;
  readonly timer: TimerService;
  /** Finds the roster member with this incarnation, to send it results. */
  readonly findMember: (instance: string, incarnation: string) => Member | undefined;
}

interface BatchDecision {
  readonly decidedMs: number;
  readonly isAccepted: boolean;
}

interface AcceptedBatch {
  readonly key: string;
  readonly number: number;
  readonly job: string;
  readonly owner: Member;
  readonly results: TaskResult[];
  unreported: number;
  isSending: boolean;
}

export function createBatchReceiver(options: BatchReceiverOptions): BatchReceiver {
  const { dispatcher, peers, timer } = options;
  const acceptedBatches = new Map<string, AcceptedBatch>();
  const decisions = new Map<string, BatchDecision>();
  let isDraining = false;

  function receive(ask: RequestBody<'batch'>, peer: Greeting): Reply<'batch'> {
    const owner = options.findMember(peer.instance, peer.incarnation);
    const key = keyOf(ask, peer);
    // The first decision applies to every copy of a batch. Otherwise a copy that was delayed on an
    // older connection could be accepted after the owner was told that the batch was refused.
    const decision = decisions.get(key);
    const accepted = decision?.isAccepted ?? (!isDraining && owner !== undefined);
    if (decision === undefined) {
      decisions.set(key, { decidedMs: timer.nowMs(), isAccepted: accepted });
      if (accepted && owner !== undefined) accept(ask, owner, key);
    }
    return { accepted, load: dispatcher.load() };
  }

  function accept(ask: RequestBody<'batch'>, owner: Member, key: string): void {
    const batch: AcceptedBatch = {
      key,
      number: ask.batch,
      job: ask.job,
      owner,
      results: [],
      unreported: ask.tasks.length,
      isSending: false,
    };
    acceptedBatches.set(key, batch);
    const startBefore = findStartBefore(ask);
    for (const task of ask.tasks) {
      dispatcher.enqueue({
        ...task,
        job: ask.job,
        service: ask.service,
        team: ask.team,
        weight: ask.weight,
        startBefore,
        rank: timer.wallMs() - ask.ageMs,
        report: (result) => {
          onResult(batch, result);
        },
      });
    }
  }

  /**
   * The time left counts from the arrival, so it is too long for a batch that was sent again or held
   * up in a cut connection. The sender's clock bounds it.
   */
  function findStartBefore({ remainingMs, startBefore = Infinity }: RequestBody<'batch'>): number {
    return Math.min(timer.wallMs() + remainingMs, startBefore + MAX_INSTANCE_SKEW_MS);
  }

  function onResult(batch: AcceptedBatch, result: TaskResult): void {
    batch.results.push(result);
    batch.unreported -= 1;
    const isUrgent = result.outcome !== TaskOutcomes.DONE;
    if (batch.unreported > 0 && !isUrgent) return;
    if (batch.isSending) return;
    batch.isSending = true;
    // Sends the results of one event loop turn in one message.
    setImmediate(() => {
      void sendResults(batch);
    });
  }

  async function sendResults(batch: AcceptedBatch): Promise<void> {
    while (batch.results.length > 0) {
      const results = batch.results.splice(0);
      if (!(await deliverResults(batch, results))) break;
      if (
        batch.unreported > 0 &&
        batch.results.every((result) => result.outcome === TaskOutcomes.DONE)
      )
        break;
    }
    batch.isSending = false;
    if (batch.unreported === 0) acceptedBatches.delete(batch.key);
  }

  /** Sends results until the owner answers. Returns false if the owner process has ended. */
  async function deliverResults(batch: AcceptedBatch, results: TaskResult[]): Promise<boolean> {
    for (;;) {
      const ask = { batch: batch.number, results, load: dispatcher.load() };
      const reply = await peers.request(batch.owner, 'results', ask, {
        timeoutMs: RESULTS_TIMEOUT_MS,
      });
      if (reply.isOk) return true;
      if (peers.linkTo(batch.owner).isGone()) return false;
      await timer.sleep(RESEND_DELAY_MS);
    }
  }

  /** Drops waiting tasks whose owner process has ended, and removes expired decisions. */
  function sweep(): void {
    for (const batch of acceptedBatches.values()) {
      if (batch.unreported > 0 && peers.linkTo(batch.owner).isGone()) dispatcher.drop(batch.job);
    }
    const oldestMs = timer.nowMs() - DECISION_RETENTION_MS;
    for (const [id, { decidedMs }] of decisions) {
      if (decidedMs > oldestMs) break;
      decisions.delete(id);
    }
  }

  const stopSweeping = timer.onEvery(SWEEP_INTERVAL_MS, sweep);

  return {
    receive,
    drain() {
      isDraining = true;
    },
    open: () => acceptedBatches.size,
    close: stopSweeping,
  };
}

function keyOf(ask: RequestBody<'batch'>, peer: Greeting): string {
  return `${peer.incarnation}/${ask.batch}`;
}
