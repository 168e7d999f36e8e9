/**
 * An HTTP server that keeps its callers within the limits of the ingress. Connects the decisions of
 * this package to the events of Node.js.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { describeError } from '@celerybarrow/shared';
import { createConnectionLimits } from './connectionLimits.js';
import {
  createExchange,
  type BodyReading,
  type Exchange,
  type ExchangeConnection,
  type OwnedExchange,
} from './exchange.js';
import type { Ingress } from './ingress.js';
import { decidePipelined, PipelineDecisions } from './pipelineLimits.js';
import { findOverdue, OverdueReasons, type OverdueReason } from './progressLimits.js';
import { nextRetryAfterS, Refusals, type Refusal } from './refusals.js';

const SWEEP_INTERVAL_MS = 250;
const DEFAULT_HEAD_MS = 10_000;
const DEFAULT_IDLE_MS = 15_000;
/** Node.js closes an idle connection itself after this time; the sweep closes what it misses. */
const IDLE_MARGIN_MS = 1_000;
const CLIENT_RESET = 'ECONNRESET';

const statusLineByError: ReadonlyMap<string, string> = new Map([
  ['HPE_HEADER_OVERFLOW', '431 Request Header Fields Too Large'],
  ['ERR_HTTP_REQUEST_TIMEOUT', '408 Request Timeout'],
]);
const BAD_REQUEST = '400 Bad Request';
const REQUEST_TIMEOUT = '408 Request Timeout';
const BUSY = '503 Service Unavailable';

export interface GuardedListener {
  readonly server: Server;
  /** Sets the time for a head, and the time without a request. */
  setTimes(times: { readonly headMs: number; readonly idleMs: number }): void;
}

export interface GuardedListenerOptions {
  readonly ingress: Ingress;
  /** Name for log lines and metrics. */
  readonly name: string;
  readonly connectionLimit: () => number;
  readonly handle: (exchange: Exchange) => Promise<void> | void;
  /** Sends the body of a refusal in the format of this listener. */
  readonly sendRefusal: (response: ServerResponse, refusal: Refusal) => void;
  /** Answers a request whose handler has failed; it may have run. */
  readonly sendFailure: (response: ServerResponse) => void;
}

interface Connection extends ExchangeConnection {
  readonly socket: Socket;
  readonly exchanges: Set<OwnedExchange>;
  /** Exchanges that wait for earlier ones of this connection. */
  readonly waiting: OwnedExchange[];
  readonly progressMs: number | undefined;
  idleSinceMs: number | undefined;
  /** Bytes that the connection had received when it became idle. */
  idleBytes: number;
  headSinceMs: number | undefined;
  takenBytes: number;
  unsentSinceMs: number | undefined;
  closesAtMs: number | undefined;
}

export function createGuardedListener(options: GuardedListenerOptions): GuardedListener {
  const { ingress, name } = options;
  const { limits, timer, metrics, log } = ingress;
  const connections = createConnectionLimits<Connection>(limits.connectionsPerAddress);
  const connectionBySocket = new WeakMap<Socket, Connection>();
  let times = { headMs: DEFAULT_HEAD_MS, idleMs: DEFAULT_IDLE_MS };

  const server = createServer((request, response) => {
    receive(request, response, false);
  });
  server.on('checkContinue', (request: IncomingMessage, response: ServerResponse) => {
    receive(request, response, true);
  });
  server.on('checkExpectation', (request: IncomingMessage, response: ServerResponse) => {
    failClosed(request.socket, () => {
      const exchange = open(request, response, false);
      exchange?.refuse(Refusals.EXPECTATION);
    });
  });
  server.on('connection', (socket) => {
    failClosed(socket, () => {
      accept(socket);
    });
  });
  server.on('clientError', (error: NodeJS.ErrnoException, socket) => {
    failClosed(socket as Socket, () => {
      handleClientError(error, socket as Socket);
    });
  });
  let stopSweeps: (() => void) | undefined;
  server.on('listening', () => {
    stopSweeps ??= timer.onEvery(SWEEP_INTERVAL_MS, sweep);
  });
  server.on('close', () => {
    stopSweeps?.();
    stopSweeps = undefined;
  });

  function isPressed(): boolean {
    return ingress.reading.isPressed() || connections.isPressed(options.connectionLimit());
  }

  /** Closes the connection if the guard itself fails. */
  function failClosed(socket: Socket, act: () => void): void {
    try {
      act();
    } catch (error) {
      metrics.increment(`ingress-failed/${name}`);
      log.warn('Guard failed with an internal error.', { reason: describeError(error) });
      socket.destroy();
    }
  }

  function accept(socket: Socket): void {
    const connection: Connection = {
      socket,
      address: socket.remoteAddress ?? '',
      exchanges: new Set(),
      waiting: [],
      body: undefined,
      isClosing: false,
      get progressMs() {
        return this.body?.progressMs;
      },
      idleSinceMs: timer.nowMs(),
      idleBytes: 0,
      headSinceMs: undefined,
      takenBytes: 0,
      unsentSinceMs: undefined,
      closesAtMs: undefined,
      startClosing: () => {
        startClosing(connection);
      },
      isPressed,
    };
    connectionBySocket.set(socket, connection);
    connections.add(connection);
    socket.once('close', () => {
      connections.remove(connection);
      connection.waiting.length = 0;
      // Only the first open response learns from Node.js that its connection has closed.
      for (const exchange of connection.exchanges) exchange.end();
      connection.exchanges.clear();
    });
    makeRoom(connection);
  }

  /** Closes connections over the limit, which falls when the process needs more for workers. */
  function makeRoom(newest?: Connection): void {
    const limit = options.connectionLimit();
    if (connections.size() <= limit && limits.connectionsPerAddress === undefined) return;
    for (const excess of connections.findExcess(limit, timer.nowMs(), newest)) {
      if (excess.body !== undefined) {
        excess.body.refuse(Refusals.ROOM);
      } else {
        if (excess === newest) excess.socket.write(formatHead(BUSY));
        recordClosing(excess, Refusals.ROOM.reason);
        excess.socket.destroySoon();
        startClosing(excess);
      }
    }
  }

  function startClosing(connection: Connection): void {
    connection.isClosing = true;
    connection.closesAtMs ??= timer.nowMs() + limits.lingerMs;
  }

  function recordClosing(connection: Connection, reason: string): void {
    metrics.increment(`ingress-closed/${name}/${reason}`);
    log.warn('Connection is closed.', {
      listener: name,
      reason,
      remote: connection.address,
      openRequests: connection.exchanges.size,
      receivedBytes: connection.socket.bytesRead,
      unsentBytes: connection.socket.writableLength,
      connections: connections.size(),
    });
  }

  function destroy(connection: Connection, reason: string): void {
    recordClosing(connection, reason);
    stopParsing(connection.socket);
    connection.socket.destroy();
  }

  function receive(
    request: IncomingMessage,
    response: ServerResponse,
    isContinueExpected: boolean,
  ): void {
    failClosed(request.socket, () => {
      const exchange = open(request, response, isContinueExpected);
      const connection = connectionBySocket.get(request.socket);
      if (exchange === undefined || connection === undefined) return;
      const { socket, waiting, exchanges } = connection;
      const decision = decidePipelined(
        {
          runningRequests: exchanges.size - waiting.length - 1,
          openRequests: exchanges.size,
          unsentBytes: socket.writableLength,
        },
        limits,
      );
      if (decision === PipelineDecisions.RUN) {
        run(exchange);
      } else if (decision === PipelineDecisions.WAIT) {
        metrics.increment(`ingress-paused/${name}`);
        waiting.push(exchange);
        socket.pause();
      } else {
        destroy(connection, 'too many open requests or unread responses');
      }
    });
  }

  function open(
    request: IncomingMessage,
    response: ServerResponse,
    isContinueExpected: boolean,
  ): OwnedExchange | undefined {
    const { socket } = request;
    const connection = connectionBySocket.get(socket);
    if (connection === undefined || connection.isClosing || socket.destroyed) {
      stopParsing(socket);
      return undefined;
    }
    const exchange = createExchange({
      ingress,
      listener: name,
      connection,
      request,
      response,
      isContinueExpected,
      sendRefusal: options.sendRefusal,
    });
    if (connection.exchanges.size === 0) connections.markBusy(connection);
    connection.idleSinceMs = undefined;
    connection.headSinceMs = undefined;
    connection.exchanges.add(exchange);
    response.once('close', () => {
      endExchange(connection, exchange);
    });
    return exchange;
  }

  function endExchange(connection: Connection, exchange: OwnedExchange): void {
    exchange.end();
    if (!connection.exchanges.delete(exchange)) return;
    const next = connection.waiting.shift();
    if (next !== undefined) run(next);
    else if (connection.socket.isPaused()) connection.socket.resume();
    if (connection.exchanges.size > 0) return;
    connection.idleSinceMs = timer.nowMs();
    connection.idleBytes = connection.socket.bytesRead;
    connections.markIdle(connection);
  }

  function run(exchange: OwnedExchange): void {
    const onError = (error: unknown) => {
      metrics.increment(`ingress-handler-failed/${name}`);
      log.warn('Request failed.', { listener: name, reason: describeError(error) });
      options.sendFailure(exchange.response);
    };
    try {
      const handled = options.handle(exchange);
      if (handled !== undefined) void handled.catch(onError);
    } catch (error) {
      onError(error);
    }
  }

  function handleClientError(error: NodeJS.ErrnoException, socket: Socket): void {
    const connection = connectionBySocket.get(socket);
    if (connection === undefined || error.code === CLIENT_RESET || !socket.writable) {
      socket.destroy();
      return;
    }
    if (connection.body !== undefined) {
      connection.body.refuse(Refusals.MALFORMED_BODY);
      return;
    }
    // A response to the malformed request would be taken for that of the open one.
    if (connection.exchanges.size === 0)
      socket.write(formatHead(statusLineByError.get(error.code ?? '') ?? BAD_REQUEST));
    recordClosing(connection, 'malformed request');
    socket.destroySoon();
    startClosing(connection);
  }

  function sweep(): void {
    const nowMs = timer.nowMs();
    const isUnderPressure = isPressed();
    const allLimits = { ...limits, headMs: times.headMs, idleMs: times.idleMs + IDLE_MARGIN_MS };
    for (const connection of connections.connections()) {
      failClosed(connection.socket, () => {
        observe(connection, nowMs);
        const reason = findOverdue(connection, nowMs, allLimits, isUnderPressure);
        if (reason !== undefined) closeOverdue(connection, reason, connection.body);
      });
    }
    makeRoom();
  }

  /** Notes what Node.js has no event for. */
  function observe(connection: Connection, nowMs: number): void {
    const { socket } = connection;
    if (connection.idleSinceMs !== undefined && socket.bytesRead > connection.idleBytes)
      connection.headSinceMs ??= nowMs;
    const unsentBytes = socket.writableLength;
    const takenBytes = socket.bytesWritten - unsentBytes;
    if (unsentBytes === 0 || takenBytes !== connection.takenBytes)
      connection.unsentSinceMs = undefined;
    if (unsentBytes > 0) connection.unsentSinceMs ??= nowMs;
    connection.takenBytes = takenBytes;
  }

  function closeOverdue(
    connection: Connection,
    reason: OverdueReason,
    body: BodyReading | undefined,
  ): void {
    if (reason === OverdueReasons.CLOSING) {
      connection.socket.destroy();
    } else if (body !== undefined && reason !== OverdueReasons.UNREAD) {
      metrics.increment(`ingress-closed/${name}/${reason}`);
      body.refuse(Refusals.SLOW);
    } else if (reason === OverdueReasons.HEAD) {
      recordClosing(connection, reason);
      connection.socket.write(formatHead(REQUEST_TIMEOUT));
      connection.socket.destroySoon();
      startClosing(connection);
    } else {
      destroy(connection, reason);
    }
  }

  return {
    server,
    setTimes(changed) {
      times = changed;
    },
  };
}

function formatHead(status: string): string {
  const retryAfter = status === BUSY ? `retry-after: ${nextRetryAfterS()}\r\n` : '';
  return `HTTP/1.1 ${status}\r\n${retryAfter}connection: close\r\ncontent-length: 0\r\n\r\n`;
}

/**
 * Ends the parsing of data that was already received: the parser takes the rest for data after an
 * upgrade. Otherwise Node.js emits each of the thousands of requests that one read can contain, also
 * after the connection was destroyed. Without the field, which is internal, they are only ignored.
 */
function stopParsing(socket: Socket): void {
  const { parser } = socket as { parser?: { onIncoming?: unknown } | null };
  if (parser != null && typeof parser.onIncoming === 'function') parser.onIncoming = skipRest;
}

const UPGRADED = 2;

function skipRest(): number {
  return UPGRADED;
}
