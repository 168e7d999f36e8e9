/** One request and its response, with the limits for reading the request's body. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { describeError } from '@celerybarrow/shared';
import { createBodyCollector } from './bodyCollector.js';
import { measureDocument, type CountedField } from './documentShape.js';
import type { Ingress } from './ingress.js';
import type { BodyReader } from './readingBudget.js';
import { nextRetryAfterS, Refusals, type Refusal } from './refusals.js';

/** Smaller bodies with few values are parsed at once; the wait for a turn would cost more. */
const LARGE_BYTES = 16_384;
const MANY_ELEMENTS = 500;
/** Estimated memory of a document in hand: on its own, for each item and for each other value. */
const REQUEST_BYTES = 1_024;
const ITEM_BYTES = 256;
const ELEMENT_BYTES = 16;
const MIN_ELEMENT_BYTES = 2;
/**
 * Bytes of a refused body that are read and discarded, so that its sender reads the response. Several
 * times a body of the usual limit; the sender of a longer one may lose the response.
 */
const LINGER_BYTES = 1_048_576;
/** Chunks of a body after which the connection waits for a turn before it is read further. */
const CHUNKS_PER_TURN = 1_024;
/** Bodies that wait for such a turn. More of them would take the processor time of the others. */
const MAX_CHUNK_TURNS = 32;
const MAX_LOGGED_CHARACTERS = 100;

export interface DocumentOptions<T> {
  readonly maxBytes: number;
  /** Time for the whole body. */
  readonly withinMs: number;
  /** Fields whose items are counted, and their limit. */
  readonly countedFields: readonly CountedField[];
  readonly maxItems: number;
  /** Parses the text into the request. Anything that it throws refuses the request. */
  readonly parse: (text: string) => T;
  /** Estimates the bytes that carrying out the request needs besides the parsed document. */
  readonly estimateBytes?: (value: T) => number;
}

export interface Exchange {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  /** When the head had arrived. */
  readonly receivedMs: number;
  /** Aborted when the connection ends before the response was sent. */
  readonly left: () => AbortSignal;
  /** Resolves with undefined if the request was refused, which is answered, or its caller has left. */
  readonly readDocument: <T>(options: DocumentOptions<T>) => Promise<T | undefined>;
  /** Declares that the body, if there is one, is not read: the connection ends with the response. */
  readonly discardBody: () => void;
  readonly refuse: (refusal: Refusal) => void;
}

/** The connection of an exchange, as the listener tracks it. */
export interface ExchangeConnection {
  readonly address: string;
  body: BodyReading | undefined;
  /** Whether it ends with a response that is decided; further requests on it are ignored. */
  isClosing: boolean;
  /** Marks the connection as closing; it is closed in any case after a short time. */
  readonly startClosing: () => void;
  readonly isPressed: () => boolean;
}

/** A body that is being read. */
export interface BodyReading {
  readonly sinceMs: number;
  readonly untilMs: number;
  progressMs: number;
  bytes: number;
  readonly refuse: (refusal: Refusal) => void;
}

export interface ExchangeOptions {
  readonly ingress: Ingress;
  readonly listener: string;
  readonly connection: ExchangeConnection;
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  /** Whether the caller waits for `100 Continue` before it sends the body. */
  readonly isContinueExpected: boolean;
  readonly sendRefusal: (response: ServerResponse, refusal: Refusal) => void;
}

export interface OwnedExchange extends Exchange {
  /** Releases what the exchange holds. Called once its response was sent or its connection closed. */
  readonly end: () => void;
}

export function createExchange(options: ExchangeOptions): OwnedExchange {
  const { ingress, connection, request, response } = options;
  const { limits, timer, reading, work, queue } = ingress;
  const receivedMs = timer.nowMs();
  let reservedBytes = 0;
  let controller: AbortController | undefined;
  let hasEnded = false;
  let abandon: (() => void) | undefined;

  function left(): AbortSignal {
    controller ??= new AbortController();
    if (hasEnded && !response.writableFinished) controller.abort();
    return controller.signal;
  }

  function end(): void {
    if (hasEnded) return;
    hasEnded = true;
    work.release(reservedBytes);
    reservedBytes = 0;
    abandon?.();
    if (!response.writableFinished) controller?.abort();
  }

  function declaredBytes(): number {
    return Number(request.headers['content-length'] ?? 0);
  }

  function hasBody(): boolean {
    return request.headers['transfer-encoding'] !== undefined || declaredBytes() > 0;
  }

  function discardBody(): void {
    if (hasBody() && !request.complete) closeAfterResponse();
  }

  function closeAfterResponse(): void {
    if (connection.isClosing) return;
    connection.isClosing = true;
    if (!response.headersSent) response.setHeader('connection', 'close');
    response.once('finish', connection.startClosing);
    if (request.complete) return;
    const { socket } = request;
    let discardedBytes = 0;
    request.on('data', (chunk: Buffer) => {
      discardedBytes += chunk.length;
      ingress.garbage.add(chunk.length);
      if (discardedBytes > LINGER_BYTES) socket.destroy();
    });
    const mayLinger = declaredBytes() <= LINGER_BYTES && !connection.isPressed();
    const destroySoon = socket.destroySoon.bind(socket);
    // Node.js calls this once the response was sent. To close a connection with unread data resets
    // it, and the caller may then lose the response.
    socket.destroySoon = () => {
      if (request.complete || !mayLinger) {
        destroySoon();
        return;
      }
      request.once('end', destroySoon);
      request.resume();
      socket.resume();
      socket.end();
    };
  }

  function refuse(refusal: Refusal): void {
    const { status, reason } = refusal;
    ingress.metrics.increment(`ingress-refused/${options.listener}/${reason}`);
    ingress.log.warn('Request is refused.', {
      listener: options.listener,
      status,
      reason,
      path: request.url?.slice(0, MAX_LOGGED_CHARACTERS),
      remote: connection.address,
      declaredBytes: declaredBytes(),
      readingBytes: reading.heldBytes(),
      workBytes: work.reservedBytes(),
    });
    if (response.destroyed || response.headersSent) {
      request.socket.destroy();
      return;
    }
    // The unread rest of the body would be parsed as the next request on this connection.
    closeAfterResponse();
    if (status === 503) response.setHeader('retry-after', String(nextRetryAfterS()));
    options.sendRefusal(response, refusal);
    // A client that does not read the response must not keep the connection either. A response
    // without a socket waits for that of an earlier request.
    if (response.socket !== null) connection.startClosing();
  }

  function readDocument<T>(document: DocumentOptions<T>): Promise<T | undefined> {
    return new Promise((resolve) => {
      if (hasEnded) {
        resolve(undefined);
        return;
      }
      if (declaredBytes() > document.maxBytes) {
        refuse(Refusals.TOO_LARGE);
        resolve(undefined);
        return;
      }
      const collector = createBodyCollector(ingress.blocks);
      const nowMs = timer.nowMs();
      let leaveQueue: (() => void) | undefined;
      let chunks = 0;
      let chunkTurn: (() => void) | undefined;
      let isSettled = false;

      const reader: BodyReader = {
        address: connection.address,
        onEvicted: () => {
          refuseDocument(Refusals.READING_MEMORY);
        },
      };
      const body: BodyReading = {
        sinceMs: nowMs,
        untilMs: nowMs + Math.min(limits.bodyMs, document.withinMs),
        progressMs: nowMs,
        bytes: 0,
        refuse: refuseDocument,
      };

      function settle(value: T | undefined): void {
        isSettled = true;
        abandon = undefined;
        leaveQueue?.();
        reading.close(reader);
        collector.release();
        chunkTurn?.();
        request.off('data', onData);
        request.off('end', onEnd);
        if (connection.body === body) connection.body = undefined;
        resolve(value);
      }

      function refuseDocument(refusal: Refusal): void {
        if (isSettled) return;
        settle(undefined);
        refuse(refusal);
      }

      /** Refuses the request if the guard itself fails. */
      function failClosed(act: () => void): void {
        try {
          act();
        } catch (error) {
          ingress.metrics.increment(`ingress-failed/${options.listener}`);
          ingress.log.warn('Reading failed with an internal error.', {
            reason: describeError(error),
          });
          refuseDocument(Refusals.INTERNAL);
        }
      }

      function onData(chunk: Buffer): void {
        failClosed(() => {
          collector.add(chunk);
          body.bytes = collector.bytes();
          if (body.bytes > document.maxBytes) {
            refuseDocument(Refusals.TOO_LARGE);
            return;
          }
          body.progressMs = timer.nowMs();
          reading.hold(reader, collector.heldBytes(), body.progressMs);
          ingress.garbage.add(chunk.length);
          chunks += 1;
          // After this read: paused earlier, the request would keep the other chunks one by one.
          if (chunks % CHUNKS_PER_TURN === 0)
            setImmediate(() => {
              failClosed(waitForTurn);
            });
        });
      }

      /**
       * Lets the event loop turn between two reads with very many chunks, which take some 20 ms each.
       */
      function waitForTurn(): void {
        if (isSettled || chunkTurn !== undefined || request.complete) return;
        if (ingress.chunkTurns.size() >= MAX_CHUNK_TURNS) {
          refuseDocument(Refusals.CHUNKS);
          return;
        }
        request.pause();
        request.socket.pause();
        chunkTurn = ingress.chunkTurns.add(1, () => {
          chunkTurn = undefined;
          request.socket.resume();
          request.resume();
        });
      }

      function onEnd(): void {
        failClosed(() => {
          if (connection.body === body) connection.body = undefined;
          if (body.bytes < LARGE_BYTES) parseText(collector.text());
          else
            enqueue(() => {
              parseText(collector.text(), true);
            });
        });
      }

      function enqueue(act: () => void): void {
        leaveQueue = queue.add(body.bytes, () => {
          if (!isSettled) failClosed(act);
        });
        if (leaveQueue === undefined) refuseDocument(Refusals.QUEUE);
      }

      function parseText(text: string, isQueued = false): void {
        const shapeLimits = {
          elements: limits.elements ?? Math.ceil(document.maxBytes / MIN_ELEMENT_BYTES),
          depth: limits.depth,
          items: document.maxItems,
        };
        const { elements, items, fault } = measureDocument(
          text,
          shapeLimits,
          document.countedFields,
        );
        if (fault !== undefined) {
          refuseDocument({ status: 400, reason: fault });
          return;
        }
        const bytes = REQUEST_BYTES + text.length + ITEM_BYTES * items + ELEMENT_BYTES * elements;
        if (!isQueued && elements > MANY_ELEMENTS)
          enqueue(() => {
            parseMeasured(text, bytes);
          });
        else parseMeasured(text, bytes);
      }

      function parseMeasured(text: string, bytes: number): void {
        if (!work.reserve(bytes)) {
          refuseDocument(Refusals.WORK_MEMORY);
          return;
        }
        reservedBytes = bytes;
        const value = document.parse(text);
        const furtherBytes = document.estimateBytes?.(value) ?? 0;
        if (furtherBytes > 0) {
          work.release(reservedBytes);
          reservedBytes = 0;
          if (!work.reserve(bytes + furtherBytes)) {
            refuseDocument(Refusals.WORK_MEMORY);
            return;
          }
          reservedBytes = bytes + furtherBytes;
        }
        settle(value);
      }

      abandon = () => {
        if (!isSettled) settle(undefined);
      };
      reading.open(reader, nowMs);
      connection.body = body;
      request.on('data', onData);
      request.on('end', onEnd);
      if (options.isContinueExpected) response.writeContinue();
    });
  }

  return { request, response, receivedMs, left, readDocument, discardBody, refuse, end };
}
