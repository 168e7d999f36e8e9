/** Minimal JSON-over-HTTP server shared by the stand-ins. */
import {
  createServer,
  type IncomingHttpHeaders,
  type IncomingMessage,
  type ServerResponse,
} from 'node:http';
import { once } from 'node:events';
import { bindListener, formatAddress, type Address } from '@celerybarrow/shared';

export interface JsonRequest {
  readonly method: string;
  readonly path: string;
  readonly query: URLSearchParams;
  readonly body: unknown;
  readonly headers: IncomingHttpHeaders;
  readonly response: ServerResponse;
}

export interface JsonReply {
  readonly status: number;
  readonly body?: unknown;
  readonly headers?: Record<string, string>;
}

/** Handles one request. If it returns undefined, the connection is closed without a response. */
export type JsonHandler = (request: JsonRequest) => Promise<JsonReply | undefined>;

export interface JsonServer {
  readonly address: Address;
  readonly url: string;
  close(): Promise<void>;
}

export async function startJsonServer(listen: Address, handler: JsonHandler): Promise<JsonServer> {
  const server = createServer((request, response) => {
    handleRequest(request, response, handler).catch(() => {
      response.destroy();
    });
  });
  // Clients reuse idle connections. With a short keep-alive timeout, the server could close a
  // connection just as a client sends a request on it.
  server.keepAliveTimeout = 60_000;
  const address = await bindListener(server, listen);
  return {
    address,
    url: `http://${formatAddress(address)}`,
    async close() {
      const closed = once(server, 'close');
      server.close();
      server.closeAllConnections();
      await closed;
    },
  };
}

async function handleRequest(
  request: IncomingMessage,
  response: ServerResponse,
  handler: JsonHandler,
): Promise<void> {
  const url = new URL(request.url ?? '/', 'http://standin');
  const chunks: Buffer[] = [];
  for await (const chunk of request as AsyncIterable<Buffer>) chunks.push(chunk);
  const text = Buffer.concat(chunks).toString('utf8');
  const reply = await handler({
    method: request.method ?? 'GET',
    path: decodeURIComponent(url.pathname),
    query: url.searchParams,
    headers: request.headers,
    body: text === '' ? undefined : (JSON.parse(text) as unknown),
    response,
  });
  if (reply === undefined) {
    response.destroy();
    return;
  }
  const body = reply.status === 304 ? '' : JSON.stringify(reply.body ?? {});
  response.writeHead(reply.status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(body),
    ...reply.headers,
  });
  response.end(body);
}
