/** The HTTP interface for operators: health, readiness, status, traces and configuration. */
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';
import { once } from 'node:events';
import { bindListener, describeError, type Address } from '@celerybarrow/shared';
import type { ActiveConfiguration } from '@celerybarrow/configuration';
import type { Router } from '@celerybarrow/jobs';
import type { Logger } from '@celerybarrow/telemetry';

const MAX_DOCUMENT_BYTES = 1_100_000;
const TRACE_PATH = /^\/v1\/jobs\/([^/?]+)\/trace$/;

export interface OperateServer {
  listen(address: Address): Promise<Address>;
  close(): Promise<void>;
}

export interface OperateServerOptions {
  readonly isReady: () => boolean;
  /** Returns the status document. */
  readonly status: () => unknown;
  readonly router: Router;
  readonly configuration: ActiveConfiguration;
  readonly logger: Logger;
}

export function createOperateServer(options: OperateServerOptions): OperateServer {
  const server = createServer((request, response) => {
    route(request, response).catch((error: unknown) => {
      options.logger.error('Operator request failed with an internal error.', {
        reason: describeError(error),
      });
      reply(response, 500, { detail: 'see the log' });
    });
  });

  async function route(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const path = new URL(request.url ?? '/', 'http://operate').pathname;
    const method = request.method ?? 'GET';
    if (method === 'PUT' && path === '/v1/configuration') {
      await putConfiguration(request, response);
      return;
    }
    if (method !== 'GET') {
      reply(response, 405, { detail: 'only GET is allowed here' });
      return;
    }
    await answerGet(path, response);
  }

  async function answerGet(path: string, response: ServerResponse): Promise<void> {
    const traceId = TRACE_PATH.exec(path)?.[1];
    if (traceId !== undefined) {
      const events = await options.router.trace(decodeURIComponent(traceId));
      reply(response, events.length > 0 ? 200 : 404, { id: decodeURIComponent(traceId), events });
    } else if (path === '/healthz') {
      reply(response, 200, { healthy: true });
    } else if (path === '/readyz') {
      const isReady = options.isReady();
      reply(response, isReady ? 200 : 503, { ready: isReady });
    } else if (path === '/v1/status') {
      reply(response, 200, options.status());
    } else if (path === '/v1/configuration') {
      reply(response, 200, options.configuration.current());
    } else {
      reply(response, 404, { detail: `there is nothing at ${path}` });
    }
  }

  /**
   * Accepts a published configuration document from an operator, so that instances that cannot reach
   * the platform receive it too.
   */
  async function putConfiguration(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    let text = '';
    for await (const chunk of request as AsyncIterable<Buffer>) {
      text += chunk.toString('utf8');
      if (text.length > MAX_DOCUMENT_BYTES) {
        reply(response, 413, { detail: 'the document is too large' });
        return;
      }
    }
    const isActive = options.configuration.update(text, 'operator');
    reply(response, isActive ? 200 : 409, { version: options.configuration.current().version });
  }

  return {
    listen: (address) => bindListener(server, address),
    async close() {
      const closed = once(server, 'close');
      server.close();
      server.closeAllConnections();
      await closed;
    },
  };
}

function reply(response: ServerResponse, status: number, body: unknown): void {
  if (response.headersSent) return;
  const text = JSON.stringify(body);
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
  });
  response.end(text);
}
