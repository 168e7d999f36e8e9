/**
 * The links between simulated processes. A cut link holds messages up, in both directions or in
 * one. With time limits, a sender gives a request up when its own timeout or the keepalive of its
 * connection ends, as `PeerLink` does. The message of a request that was given up still arrives
 * when the cut ends, because the kernel sends the bytes of a closed socket.
 */
import { Result } from 'true-myth';
import { createDeferred, ErrorCodes, type ErrorCode, type Random } from '@celerybarrow/shared';
import type { ManualTimer, TimerService } from '@celerybarrow/timer';
import { ProtocolError, type Member, type RequestOptions } from '@celerybarrow/protocol';

const MAX_DELAY_MS = 40;
const CUT_POLL_MS = 100;
/** Polls of a cut after which a message is lost. */
const POLLS_UNTIL_LOST = 40;
const POLLS_UNTIL_LOST_WITH_LIMITS = 150;
/** The keepalive timeout of a `PeerLink`, and how often it is checked. */
const KEEP_ALIVE_TIMEOUT_MS = 3_000;
const KEEP_ALIVE_CHECK_MS = 250;
/** Longest time after a cut in which the kernel sends the held-up bytes again. */
const MAX_RESEND_DELAY_MS = 400;

export interface Network {
  /** Cuts the messages from one instance to another; with `isOneWay` only in this direction. */
  cut(from: string, to: string, isOneWay: boolean): void;
  /** Ends the cuts between two instances. */
  heal(one: string, other: string): void;
  healAll(): void;
  isCut(one: string, other: string): boolean;
  /** Resolves when a message has arrived, with false if it is lost. */
  deliver(from: Member, to: Member): Promise<boolean>;
  /** Resolves with the outcome of an exchange, or with an error once the sender gives it up. */
  request(
    from: Member,
    to: Member,
    timer: TimerService,
    options: RequestOptions,
    exchange: () => Promise<Result<unknown, ProtocolError>>,
  ): Promise<Result<unknown, ProtocolError>>;
}

export interface NetworkOptions {
  readonly timer: ManualTimer;
  readonly random: Random;
  readonly hasTimeLimits: boolean;
  readonly isFrozen: (incarnation: string) => boolean;
}

export function createNetwork(options: NetworkOptions): Network {
  const { timer, random, hasTimeLimits } = options;
  /** The time at which each direction of a link was cut. */
  const cuts = new Map<string, number>();

  function isCutFrom(from: string, to: string): boolean {
    return cuts.has(`${from}>${to}`);
  }

  async function deliver(from: Member, to: Member): Promise<boolean> {
    await timer.sleep(1 + random.next() * MAX_DELAY_MS);
    const maxPolls = hasTimeLimits ? POLLS_UNTIL_LOST_WITH_LIMITS : POLLS_UNTIL_LOST;
    let polls = 0;
    for (; isCutFrom(from.instance, to.instance); polls += 1) {
      if (polls > maxPolls) return false;
      await timer.sleep(CUT_POLL_MS);
    }
    if (hasTimeLimits && polls > 0) await timer.sleep(random.next() * MAX_RESEND_DELAY_MS);
    while (options.isFrozen(to.incarnation)) await timer.sleep(CUT_POLL_MS);
    return true;
  }

  function isSilent(from: Member, to: Member): boolean {
    const isCut = isCutFrom(from.instance, to.instance) || isCutFrom(to.instance, from.instance);
    return isCut || options.isFrozen(to.incarnation);
  }

  /** Whether the keepalive has closed the connection between two instances. */
  function isClosed(from: Member, to: Member): boolean {
    const sinceMs = Math.min(
      cuts.get(`${from.instance}>${to.instance}`) ?? Infinity,
      cuts.get(`${to.instance}>${from.instance}`) ?? Infinity,
    );
    return timer.nowMs() - sinceMs > KEEP_ALIVE_TIMEOUT_MS;
  }

  async function request(
    from: Member,
    to: Member,
    senderTimer: TimerService,
    { timeoutMs, signal }: RequestOptions,
    exchange: () => Promise<Result<unknown, ProtocolError>>,
  ): Promise<Result<unknown, ProtocolError>> {
    if (!hasTimeLimits) return exchange();
    if (isClosed(from, to)) return fail(ErrorCodes.PEER_UNREACHABLE);
    const settled = createDeferred<Result<unknown, ProtocolError>>();
    const giveUp = () => {
      settled.resolve(fail(ErrorCodes.PEER_SILENT));
    };
    let heardMs = timer.nowMs();
    const stopChecking = senderTimer.onEvery(KEEP_ALIVE_CHECK_MS, () => {
      if (!isSilent(from, to)) heardMs = timer.nowMs();
      else if (timer.nowMs() - heardMs > KEEP_ALIVE_TIMEOUT_MS) giveUp();
    });
    const cancelTimeout = senderTimer.onAfter(timeoutMs, giveUp);
    signal?.addEventListener('abort', giveUp, { once: true });
    void exchange().then(settled.resolve);
    try {
      return await settled.promise;
    } finally {
      stopChecking();
      cancelTimeout();
      signal?.removeEventListener('abort', giveUp);
    }
  }

  return {
    cut(from, to, isOneWay) {
      cuts.set(`${from}>${to}`, timer.nowMs());
      if (!isOneWay) cuts.set(`${to}>${from}`, timer.nowMs());
    },
    heal(one, other) {
      cuts.delete(`${one}>${other}`);
      cuts.delete(`${other}>${one}`);
    },
    healAll() {
      cuts.clear();
    },
    isCut: (one, other) => isCutFrom(one, other) || isCutFrom(other, one),
    deliver,
    request,
  };
}

function fail(code: ErrorCode): Result<unknown, ProtocolError> {
  return Result.err(new ProtocolError(code));
}
