/** Small HTTP helpers for the stand-ins and the clients of the review cases. */
import process from 'node:process';
import { Buffer } from 'node:buffer';
import { clearTimeout, setTimeout } from 'node:timers';
import { URL } from 'node:url';
import { createServer, request as httpRequest } from 'node:http';

/**
 * Starts an HTTP server with JSON bodies. `handle` resolves to `{ status, body }`, or to `undefined`
 * for a call that gets no answer: its connection is then left open without a response.
 */
export function startJsonServer(host, handle) {
  const sockets = new Set();
  const server = createServer((request, response) => {
    const chunks = [];
    request.on('data', (chunk) => chunks.push(chunk));
    request.on('end', () => {
      const url = new URL(request.url, 'http://stand-in');
      const text = Buffer.concat(chunks).toString('utf8');
      const call = {
        method: request.method,
        path: url.pathname,
        query: url.searchParams,
        headers: request.headers,
        body: text === '' ? {} : JSON.parse(text),
        isGone: () => response.destroyed,
        socket: request.socket,
      };
      Promise.resolve(handle(call)).then(
        (reply) => {
          if (reply === undefined || response.destroyed) return;
          const body = JSON.stringify(reply.body ?? {});
          response.writeHead(reply.status, {
            'content-type': 'application/json',
            'content-length': Buffer.byteLength(body),
            ...reply.headers,
          });
          response.end(body);
        },
        (error) => {
          process.stderr.write(`stand-in failed: ${error.stack}\n`);
          response.destroy();
        },
      );
    });
  });
  server.keepAliveTimeout = 120_000;
  server.on('connection', (socket) => {
    sockets.add(socket);
    socket.setNoDelay(true);
    socket.on('close', () => sockets.delete(socket));
    socket.on('error', () => undefined);
  });
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(0, host, () => {
      resolve({
        address: `${host}:${server.address().port}`,
        dropConnections() {
          for (const socket of sockets) socket.destroy();
        },
        close() {
          server.close();
          for (const socket of sockets) socket.destroy();
        },
      });
    });
  });
}

/**
 * Sends one request on a connection of its own. Resolves to `{ status, body }`, or to
 * `{ status: 0, body: reason }` if the connection broke or no answer came within `timeoutMs`.
 */
export function send(address, { method, path, headers = {}, body, timeoutMs = 10_000 }) {
  const [host, port] = address.split(':');
  return new Promise((resolve) => {
    const text = body === undefined ? undefined : JSON.stringify(body);
    const outgoing = httpRequest(
      {
        host,
        port: Number(port),
        method,
        path,
        agent: false,
        headers: {
          ...headers,
          ...(text === undefined
            ? {}
            : { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) }),
        },
      },
      (response) => {
        const chunks = [];
        response.on('data', (chunk) => chunks.push(chunk));
        response.on('end', () => {
          clearTimeout(timer);
          resolve({ status: response.statusCode, body: Buffer.concat(chunks).toString('utf8') });
        });
        response.on('error', (error) => {
          clearTimeout(timer);
          resolve({ status: 0, body: error.message });
        });
      },
    );
    const timer = setTimeout(() => {
      outgoing.destroy(new Error(`no answer within ${timeoutMs} ms`));
    }, timeoutMs);
    outgoing.on('error', (error) => {
      clearTimeout(timer);
      resolve({ status: 0, body: error.message });
    });
    if (text !== undefined) outgoing.write(text);
    outgoing.end();
  });
}
