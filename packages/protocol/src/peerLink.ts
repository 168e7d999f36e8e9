/**
 * An outgoing connection to one peer. One async loop connects, exchanges greetings, reads replies
 * and reconnects with backoff after a disconnect. Replies are matched to requests by id, so they
 * may arrive out of order. A reply to a request that has timed out is ignored.
 */
import { connect, type Socket } from 'node:net';
import { once } from 'node:events';
import { Result } from 'true-myth';
import {
  createDeferred,
  ErrorCodes,
  parseAddress,
  addJitter,
  type Address,
  type Deferred,
  type ErrorCode,
  type Random,
} from '@celerybarrow/shared';
import type { TimerService, Unsubscribe } from '@celerybarrow/timer';
import { decodeFrames, encodeFrame } from './frames.js';
import {
  greetingSchema,
  replyEnvelopeSchema,
  requestSchemas,
  type RequestBody,
  type Greeting,
  type Reply,
  type RequestType,
} from './messages.js';
import { checkGreeting } from './greeting.js';
import { ProtocolError } from './protocolError.js';
import { requestPayloadBytes, type Traffic } from './traffic.js';

const CONNECT_TIMEOUT_MS = 1_000;
/**
 * Limit for the greeting of a peer that has accepted the connection. It is long, because the peer is
 * only busy: a further attempt would add to its load.
 */
const GREETING_TIMEOUT_MS = 1_500;
const INITIAL_RECONNECT_DELAY_MS = 50;
const MAX_RECONNECT_DELAY_MS = 2_000;
/** Closes a connection with pending requests after this time without a reply. */
const KEEP_ALIVE_TIMEOUT_MS = 3_000;
/** Number of keepalive intervals in the timeout; after one without a reply, a keepalive is sent. */
const KEEP_ALIVES_PER_TIMEOUT = 3;
/**
 * Consecutive refused connections after which the process at the address is taken to have ended.
 */
const REFUSALS_BEFORE_GONE = 3;
const MAX_PENDING_REQUESTS = 8_192;
const MAX_BUFFERED_BYTES = 32 * 1024 * 1024;

export interface PeerLinkOptions {
  /** `IP:PORT` of the peer. */
  readonly address: string;
  /** Local IP address to connect from. */
  readonly localHost?: string | undefined;
  readonly self: Greeting;
  /** Incarnation that the peer must have; any incarnation if undefined. */
  readonly expectedIncarnation?: string | undefined;
  readonly timer: TimerService;
  readonly random: Random;
  readonly traffic: Traffic;
  /**
   * Returns the time without a reply after which a connection with pending requests is closed; 3 s by
   * default.
   */
  readonly keepAliveTimeoutMs?: () => number;
  /** Upper bound of the delay between connection attempts; 2 s by default. */
  readonly maxReconnectDelayMs?: number;
  /** Returns the time until the peer's machine has to accept a connection; 1 s by default. */
  readonly connectTimeoutMs?: () => number;
  /** Opens a socket to the peer; a TCP socket by default. */
  readonly openSocket?: (address: Address, localHost: string | undefined) => Socket;
}

export interface PeerLink {
  readonly address: string;
  isConnected(): boolean;
  /** Number of consecutive failed connection attempts, whatever the error. */
  failedAttempts(): number;
  /**
   * Whether the last attempt was refused, or answered by another incarnation than the expected one.
   */
  isRefused(): boolean;
  /**
   * Whether the expected process has ended: its address has refused several connections in a row,
   * or another incarnation answers there.
   */
  isGone(): boolean;
  /**
   * Sends a request and waits for its reply. Errors: PEER_UNREACHABLE, PEER_BUSY and PEER_REPLACED
   * if the request was not sent; PEER_SILENT if the peer may have received it; MESSAGE_INVALID if
   * the reply does not match its schema. After a handshake with another version, a request fails
   * unsent with VERSION_MISMATCH, and after any other failed handshake with PEER_UNREACHABLE.
   */
  request<T extends RequestType>(
    type: T,
    body: RequestBody<T>,
    options: RequestOptions,
  ): Promise<Result<Reply<T>, ProtocolError>>;
  close(): void;
}

export interface RequestOptions {
  readonly timeoutMs: number;
  readonly signal?: AbortSignal | undefined;
  /** How long to wait for a connection before the request fails unsent. */
  readonly connectWaitMs?: number;
}

interface PendingRequest {
  readonly type: RequestType;
  readonly settled: Deferred<Result<unknown, ProtocolError>>;
}

/** Creates a link and starts to connect. */
export function createPeerLink(options: PeerLinkOptions): PeerLink {
  const { timer, random, traffic } = options;
  const keepAliveTimeoutMs = options.keepAliveTimeoutMs ?? (() => KEEP_ALIVE_TIMEOUT_MS);
  const keepAliveIntervalMs = keepAliveTimeoutMs() / KEEP_ALIVES_PER_TIMEOUT;
  const maxReconnectDelayMs = options.maxReconnectDelayMs ?? MAX_RECONNECT_DELAY_MS;
  const closing = new AbortController();
  const pendingRequests = new Map<number, PendingRequest>();
  let socket: Socket | undefined;
  let connected = createDeferred<undefined>();
  let nextRequestId = 1;
  let failedAttemptCount = 0;
  let consecutiveRefusals = 0;
  let lastReceivedMs = 0;
  /** Set while requests are pending, so that an idle connection needs no timer. */
  let stopKeepAlive: Unsubscribe | undefined;
  let lastErrorCode: ErrorCode = ErrorCodes.PEER_UNREACHABLE;

  async function keepConnected(): Promise<void> {
    while (!closing.signal.aborted) {
      const opened = await openConnection();
      if (opened !== undefined) await readReplies(opened.socket, opened.frames);
      if (closing.signal.aborted) return;
      await timer.sleep(reconnectDelay(), closing.signal);
    }
  }

  async function openConnection() {
    const candidate = dial(options);
    if (candidate === undefined) {
      failedAttemptCount += 1;
      lastErrorCode = ErrorCodes.PEER_UNREACHABLE;
      return undefined;
    }
    // `once` rejects only on an error; a socket destroyed without one just emits `close`.
    const abortConnect = () => candidate.destroy(new ProtocolError(ErrorCodes.PEER_UNREACHABLE));
    let cancelTimeout = timer.onTimeout(
      options.connectTimeoutMs?.() ?? CONNECT_TIMEOUT_MS,
      abortConnect,
    );
    closing.signal.addEventListener('abort', abortConnect, { once: true });
    try {
      await once(candidate, 'connect');
      cancelTimeout();
      cancelTimeout = timer.onTimeout(GREETING_TIMEOUT_MS, abortConnect);
      candidate.write(encodeFrame(options.self));
      const frames = decodeFrames(candidate);
      const first = await frames.next();
      checkGreeting(greetingSchema.safeParse(first.value), options.expectedIncarnation);
      return { socket: candidate, frames };
    } catch (error) {
      candidate.destroy();
      failedAttemptCount += 1;
      consecutiveRefusals = isRefusal(error) ? consecutiveRefusals + 1 : 0;
      lastErrorCode = error instanceof ProtocolError ? error.code : ErrorCodes.PEER_UNREACHABLE;
      return undefined;
    } finally {
      cancelTimeout();
      closing.signal.removeEventListener('abort', abortConnect);
    }
  }

  async function readReplies(opened: Socket, frames: AsyncGenerator<unknown>): Promise<void> {
    socket = opened;
    failedAttemptCount = 0;
    consecutiveRefusals = 0;
    lastReceivedMs = timer.nowMs();
    connected.resolve(undefined);
    try {
      for await (const frame of frames) handleReply(frame);
    } catch {
      opened.destroy();
    } finally {
      stopKeepAlive?.();
      stopKeepAlive = undefined;
      socket = undefined;
      connected = createDeferred();
      failPendingRequests(ErrorCodes.PEER_SILENT);
    }
  }

  function startKeepAlive(opened: Socket): void {
    if (stopKeepAlive !== undefined) return;
    lastReceivedMs = timer.nowMs();
    stopKeepAlive = timer.onEvery(keepAliveIntervalMs, () => {
      checkKeepAlive(opened);
    });
  }

  /**
   * Sends a keepalive or closes the connection when a pending request gets no reply. A network
   * partition does not close a TCP connection, so missing replies are the only evidence of it.
   */
  function checkKeepAlive(opened: Socket): void {
    const sinceLastReplyMs = timer.nowMs() - lastReceivedMs;
    if (pendingRequests.size === 0) {
      stopKeepAlive?.();
      stopKeepAlive = undefined;
    } else if (sinceLastReplyMs > keepAliveTimeoutMs()) closeUnlessRead(opened, lastReceivedMs);
    else if (sinceLastReplyMs > keepAliveIntervalMs)
      void request('alive', {}, { timeoutMs: keepAliveTimeoutMs() });
  }

  /** Closes the connection unless replies were waiting to be read while this process was stalled. */
  function closeUnlessRead(opened: Socket, receivedMs: number): void {
    timer.onTimeout(0, () => {
      if (lastReceivedMs === receivedMs) opened.destroy();
    });
  }

  function handleReply(frame: unknown): void {
    lastReceivedMs = timer.nowMs();
    const envelope = replyEnvelopeSchema.safeParse(frame);
    if (!envelope.success) throw new ProtocolError(ErrorCodes.MESSAGE_INVALID);
    const { reply, fault } = envelope.data;
    const pending = pendingRequests.get(reply);
    if (pending === undefined) return;
    pendingRequests.delete(reply);
    if (fault !== undefined) {
      pending.settled.resolve(Result.err(new ProtocolError(ErrorCodes.PEER_SILENT, fault)));
      return;
    }
    const body = requestSchemas[pending.type].reply.safeParse(envelope.data.body);
    pending.settled.resolve(
      body.success
        ? Result.ok(body.data)
        : Result.err(new ProtocolError(ErrorCodes.MESSAGE_INVALID, pending.type)),
    );
  }

  function failPendingRequests(code: ErrorCode): void {
    for (const pending of pendingRequests.values())
      pending.settled.resolve(Result.err(new ProtocolError(code, 'connection closed')));
    pendingRequests.clear();
  }

  function reconnectDelay(): number {
    const delay = INITIAL_RECONNECT_DELAY_MS * 2 ** Math.min(failedAttemptCount, 10);
    return addJitter(Math.min(maxReconnectDelayMs, delay), random);
  }

  async function request<T extends RequestType>(
    type: T,
    body: RequestBody<T>,
    requestOptions: RequestOptions,
  ): Promise<Result<Reply<T>, ProtocolError>> {
    if (socket === undefined && requestOptions.connectWaitMs !== undefined) {
      await Promise.race([
        connected.promise,
        timer.sleep(requestOptions.connectWaitMs, requestOptions.signal),
      ]);
    }
    const connectedSocket = socket;
    if (connectedSocket === undefined) return Result.err(unsentError(lastErrorCode));
    if (
      pendingRequests.size >= MAX_PENDING_REQUESTS ||
      connectedSocket.writableLength > MAX_BUFFERED_BYTES
    ) {
      return Result.err(new ProtocolError(ErrorCodes.PEER_BUSY));
    }
    const id = nextRequestId;
    nextRequestId += 1;
    const frame = encodeFrame({ request: id, type, body });
    traffic.countSent(type, frame.length, requestPayloadBytes(type, body));
    const settled = createDeferred<Result<unknown, ProtocolError>>();
    pendingRequests.set(id, { type, settled });
    startKeepAlive(connectedSocket);
    writeCorked(connectedSocket, frame);
    return awaitReply<T>(id, settled, requestOptions);
  }

  async function awaitReply<T extends RequestType>(
    id: number,
    settled: Deferred<Result<unknown, ProtocolError>>,
    { timeoutMs, signal }: RequestOptions,
  ): Promise<Result<Reply<T>, ProtocolError>> {
    const failAsTimedOut = () => {
      settled.resolve(Result.err(new ProtocolError(ErrorCodes.PEER_SILENT, 'timed out')));
    };
    const cancelTimer = timer.onTimeout(timeoutMs, failAsTimedOut);
    signal?.addEventListener('abort', failAsTimedOut, { once: true });
    try {
      return (await settled.promise) as Result<Reply<T>, ProtocolError>;
    } finally {
      cancelTimer();
      signal?.removeEventListener('abort', failAsTimedOut);
      pendingRequests.delete(id);
    }
  }

  void keepConnected();

  return {
    address: options.address,
    isConnected: () => socket !== undefined,
    failedAttempts: () => failedAttemptCount,
    isRefused: () => consecutiveRefusals > 0 || lastErrorCode === ErrorCodes.PEER_REPLACED,
    isGone: () =>
      consecutiveRefusals >= REFUSALS_BEFORE_GONE || lastErrorCode === ErrorCodes.PEER_REPLACED,
    request,
    close() {
      closing.abort();
      socket?.destroy();
      failPendingRequests(ErrorCodes.PEER_SILENT);
    },
  };
}

/** Returns the error of a request that was not sent because the last handshake ended like this. */
function unsentError(code: ErrorCode): ProtocolError {
  const error = new ProtocolError(code);
  if (error.isUnsent) return error;
  return new ProtocolError(ErrorCodes.PEER_UNREACHABLE, error.message);
}

function isRefusal(error: unknown): boolean {
  return error instanceof Error && 'code' in error && error.code === 'ECONNREFUSED';
}

/** Opens a socket to the peer. Returns undefined if the address is invalid. */
function dial(options: PeerLinkOptions): Socket | undefined {
  const address = parseAddress(options.address);
  if (address === undefined) return undefined;
  const socket = (options.openSocket ?? openTcp)(address, options.localHost);
  // The reader of the stream receives errors. Without this listener, a later error would be an
  // unhandled `error` event and end the process.
  socket.on('error', () => undefined);
  return socket;
}

function openTcp({ host, port }: Address, localHost: string | undefined): Socket {
  const local = localHost === undefined ? {} : { localAddress: localHost };
  return connect({ host, port, noDelay: true, ...local });
}

/**
 * Writes a frame to a corked socket, which is uncorked in `setImmediate`. The frames of one event
 * loop iteration are therefore sent together.
 */
export function writeCorked(socket: Socket, frame: Buffer): void {
  if (socket.writableCorked === 0) {
    socket.cork();
    setImmediate(() => {
      socket.uncork();
    });
  }
  socket.write(frame);
}
