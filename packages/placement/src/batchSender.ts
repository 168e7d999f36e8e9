/**
 * Sends batches of tasks to peers, with one async function per batch. A batch transfers the right
 * to start its tasks: this instance may place them again only after the peer has confirmed that it
 * did not start them. If the peer process ends or stays out of contact without this confirmation,
 * the remaining tasks of the batch are lost. After a reconnect the batch is sent again under the
 * same number, and the peer accepts it once.
 */
import { createDeferred, type Deferred } from '@celerybarrow/shared';
import type { TimerService } from '@celerybarrow/timer';
import {
  TaskOutcomes,
  type RequestBody,
  type Greeting,
  type Member,
  type TaskBatch,
  type TaskResult,
} from '@celerybarrow/protocol';
import type { Peers } from '@celerybarrow/membership';
import type { PeerLoads, SentWork } from './peerLoads.js';

const ACCEPT_TIMEOUT_MS = 2_000;
const RESEND_DELAY_MS = 100;
const PEER_CHECK_INTERVAL_MS = 250;
/** How long to wait for results from a peer that is not in the roster and has no connection. */
const PEER_CONTACT_TIMEOUT_MS = 10_000;

export interface BatchSender {
  /** Sends a batch, and resends it if the peer does not answer. */
  send(member: Member, batch: Omit<TaskBatch, 'batch'>, callbacks: BatchCallbacks): void;
  /** Handles results from a peer. Ignores results of a batch that is not open. */
  onResults(ask: RequestBody<'results'>, peer: Greeting): void;
  /** Returns the number of open batches. */
  open(): number;
}

export interface BatchCallbacks {
  onResult(result: TaskResult): void;
  /** Whether the job was dropped, so that its waiting tasks must not start. */
  isDropped(): boolean;
  /** Called if the peer ended or is out of contact. It may have started these tasks. */
  onLost(indexes: readonly number[]): void;
}

export interface BatchSenderOptions {
  readonly peers: Peers;
  readonly loads: PeerLoads;
  readonly timer: TimerService;
  /** Whether the data centre's roster contains this incarnation. */
  readonly isMember: (incarnation: string) => boolean;
}

interface OpenBatch {
  readonly member: Member;
  readonly callbacks: BatchCallbacks;
  readonly outstanding: Set<number>;
  readonly work: SentWork;
  readonly ended: Deferred<undefined>;
}

export function createBatchSender(options: BatchSenderOptions): BatchSender {
  const { peers, loads, timer } = options;
  const batches = new Map<number, OpenBatch>();
  let nextBatch = 1;

  async function trackBatch(member: Member, ask: TaskBatch, openBatch: OpenBatch): Promise<void> {
    const isAccepted = await deliverBatch(member, ask, openBatch);
    loads.onAnswered(member.incarnation, openBatch.work);
    if (isAccepted && openBatch.callbacks.isDropped()) {
      // The job may have been dropped while the batch was in transit.
      void peers.request(member, 'drop', { job: ask.job }, { timeoutMs: ACCEPT_TIMEOUT_MS });
    }
    if (isAccepted) await awaitResults(member, openBatch);
    batches.delete(ask.batch);
    if (openBatch.outstanding.size > 0) openBatch.callbacks.onLost([...openBatch.outstanding]);
  }

  /**
   * Sends the batch until the peer answers. Returns whether the peer has the batch. If the peer
   * refuses it or the batch was never sent, reports all its tasks as not started.
   */
  async function deliverBatch(
    member: Member,
    ask: TaskBatch,
    openBatch: OpenBatch,
  ): Promise<boolean> {
    let mayHaveArrived = false;
    while (openBatch.outstanding.size > 0) {
      const reply = await peers.request(member, 'batch', ask, { timeoutMs: ACCEPT_TIMEOUT_MS });
      if (reply.isOk) {
        loads.onReport(member.incarnation, reply.value.load);
        if (reply.value.accepted) return true;
        // A peer gives the same answer to every copy, so a refusal applies to all attempts.
        reportNotStarted(openBatch);
        return false;
      }
      if (!mayHaveArrived && reply.error.isUnsent) {
        loads.forget(member.incarnation);
        reportNotStarted(openBatch);
        return false;
      }
      mayHaveArrived = true;
      if (peers.linkTo(member).isGone()) return false;
      await timer.sleep(RESEND_DELAY_MS);
    }
    return true;
  }

  async function awaitResults(member: Member, openBatch: OpenBatch): Promise<void> {
    let lastContactMs = timer.nowMs();
    const stopChecking = timer.onEvery(PEER_CHECK_INTERVAL_MS, () => {
      const link = peers.linkTo(member);
      if (link.isConnected() || options.isMember(member.incarnation)) lastContactMs = timer.nowMs();
      const isAbandoned = timer.nowMs() - lastContactMs > PEER_CONTACT_TIMEOUT_MS;
      if (link.isGone() || isAbandoned) openBatch.ended.resolve(undefined);
    });
    await openBatch.ended.promise;
    stopChecking();
  }

  function reportNotStarted(openBatch: OpenBatch): void {
    for (const index of [...openBatch.outstanding]) {
      handleResult(openBatch, {
        index,
        outcome: TaskOutcomes.NOT_STARTED,
        detail: 'peer did not take it',
      });
    }
  }

  function handleResult(openBatch: OpenBatch, result: TaskResult): void {
    if (!openBatch.outstanding.delete(result.index)) return;
    openBatch.callbacks.onResult(result);
    if (openBatch.outstanding.size === 0) openBatch.ended.resolve(undefined);
  }

  return {
    send(member, content, callbacks) {
      const ask = { ...content, batch: nextBatch };
      nextBatch += 1;
      const outstanding = new Set(content.tasks.map((task) => task.index));
      const workMs = content.tasks.reduce((total, task) => total + task.expectedMs, 0);
      const work = { service: content.service, tasks: content.tasks.length, workMs };
      const openBatch = {
        member,
        callbacks,
        outstanding,
        work,
        ended: createDeferred<undefined>(),
      };
      batches.set(ask.batch, openBatch);
      loads.onSent(member.incarnation, work);
      void trackBatch(member, ask, openBatch);
    },
    onResults(ask, peer) {
      loads.onReport(peer.incarnation, ask.load);
      const openBatch = batches.get(ask.batch);
      if (openBatch?.member.incarnation !== peer.incarnation) return;
      for (const result of ask.results) handleResult(openBatch, result);
    },
    open: () => batches.size,
  };
}
