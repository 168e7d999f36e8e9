/**
 * The listener for peers. Each connection has one async loop, which reads requests and passes each
 * to the handler of its type. An invalid frame or envelope closes only the connection that it
 * arrived on.
 */
import { createServer, type Socket } from 'node:net';
import { once } from 'node:events';
import { bindListener, describeError, ErrorCodes, type Address } from '@celerybarrow/shared';
import type { TimerService } from '@celerybarrow/timer';
import { checkGreeting } from './greeting.js';
import { decodeFrames, encodeFrame } from './frames.js';
import {
  greetingSchema,
  requestEnvelopeSchema,
  requestSchemas,
  type RequestBody,
  type Greeting,
  type Reply,
  type RequestType,
} from './messages.js';
import { writeCorked } from './peerLink.js';
import { ProtocolError } from './protocolError.js';
import { replyPayloadBytes, type Traffic } from './traffic.js';

const GREETING_TIMEOUT_MS = 5_000;
const MAX_CONNECTIONS = 1_024;

export type RequestHandler<T extends RequestType> = (
  body: RequestBody<T>,
  peer: Greeting,
) => Promise<Reply<T>> | Reply<T>;

export interface PeerServerOptions {
  readonly self: Greeting;
  readonly timer: TimerService;
  readonly traffic: Traffic;
  /** Called when an invalid greeting, frame or envelope closes a connection. */
  readonly onProtocolError?: (error: ProtocolError, remote: string) => void;
}

export interface PeerServer {
  onRequest<T extends RequestType>(type: T, handler: RequestHandler<T>): void;
  /** Binds the listener and returns the bound address. */
  listen(address: Address): Promise<Address>;
  close(): Promise<void>;
}

type UntypedHandler = (body: unknown, peer: Greeting) => Promise<unknown>;

export function createPeerServer(options: PeerServerOptions): PeerServer {
  const { self, timer, traffic } = options;
  const handlers = new Map<string, UntypedHandler>();
  const sockets = new Set<Socket>();
  const server = createServer({ noDelay: true }, (socket) => {
    void serveConnection(socket);
  });
  server.maxConnections = MAX_CONNECTIONS;

  async function serveConnection(socket: Socket): Promise<void> {
    sockets.add(socket);
    socket.on('error', () => undefined);
    const remote = `${socket.remoteAddress ?? '?'}:${socket.remotePort ?? 0}`;
    const cancelGreetingTimeout = timer.onAfter(GREETING_TIMEOUT_MS, () => socket.destroy());
    try {
      const frames = decodeFrames(socket);
      const first = await frames.next();
      if (first.done === true) return;
      const peer = checkGreeting(greetingSchema.safeParse(first.value));
      cancelGreetingTimeout();
      socket.write(encodeFrame(self));
      for await (const frame of frames) void handleFrame(socket, frame, peer);
    } catch (error) {
      if (error instanceof ProtocolError) options.onProtocolError?.(error, remote);
    } finally {
      cancelGreetingTimeout();
      sockets.delete(socket);
      socket.destroy();
    }
  }

  async function handleFrame(socket: Socket, frame: unknown, peer: Greeting): Promise<void> {
    const envelope = requestEnvelopeSchema.safeParse(frame);
    if (!envelope.success) {
      options.onProtocolError?.(new ProtocolError(ErrorCodes.MESSAGE_INVALID), peer.instance);
      socket.destroy();
      return;
    }
    const { request, type, body } = envelope.data;
    const reply = await callHandler(type, body, peer);
    if (socket.destroyed) return;
    const encoded = encodeReply(request, reply);
    traffic.countSent(`${type}.reply`, encoded.length, replyPayloadBytes(reply.body ?? {}));
    writeCorked(socket, encoded);
  }

  async function callHandler(type: string, body: unknown, peer: Greeting): Promise<HandlerResult> {
    const handler = handlers.get(type);
    if (handler === undefined) return { fault: `no handler for ${type}` };
    try {
      return { body: await handler(body, peer) };
    } catch (error) {
      return { fault: describeError(error) };
    }
  }

  handlers.set('alive', () => Promise.resolve({}));

  return {
    onRequest(type, handler) {
      handlers.set(type, async (body, peer) => {
        const parsed = requestSchemas[type].ask.safeParse(body);
        if (!parsed.success) throw new ProtocolError(ErrorCodes.MESSAGE_INVALID, type);
        return handler(parsed.data as RequestBody<typeof type>, peer);
      });
    },
    listen: (address) => bindListener(server, address),
    async close() {
      const closed = once(server, 'close');
      server.close();
      for (const socket of sockets) socket.destroy();
      await closed;
    },
  };
}

interface HandlerResult {
  readonly body?: unknown;
  readonly fault?: string;
}

function encodeReply(request: number, result: HandlerResult): Buffer {
  if (result.fault !== undefined) return encodeFrame({ reply: request, fault: result.fault });
  try {
    return encodeFrame({ reply: request, body: result.body });
  } catch (error) {
    return encodeFrame({ reply: request, fault: describeError(error) });
  }
}
