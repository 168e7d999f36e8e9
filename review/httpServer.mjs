/** A small JSON server for the stand-ins. */
import { createServer } from 'node:http';
import { once } from 'node:events';
import { Buffer } from 'node:buffer';
import { URL } from 'node:url';

/**
 * Starts a server. `handle` receives the request and returns `{ status, body }`, or undefined to
 * leave the request without an answer.
 */
export async function startJsonServer(host, port, handle) {
  const sockets = new Set();
  const server = createServer((request, response) => {
    respond(request, response, handle).catch(() => response.destroy());
  });
  server.on('connection', (socket) => {
    sockets.add(socket);
    socket.once('close', () => sockets.delete(socket));
  });
  server.keepAliveTimeout = 60_000;
  server.listen(port, host);
  await once(server, 'listening');
  return {
    address: `${host}:${server.address().port}`,
    /** Closes the listener and resets all connections, as the end of a process does. */
    async crash() {
      const closed = once(server, 'close');
      server.close();
      for (const socket of sockets) socket.resetAndDestroy();
      await closed;
    },
  };
}

async function respond(request, response, handle) {
  const chunks = [];
  for await (const chunk of request) chunks.push(chunk);
  const text = Buffer.concat(chunks).toString('utf8');
  const url = new URL(request.url, 'http://standin');
  const reply = await handle({
    method: request.method,
    path: url.pathname,
    query: url.searchParams,
    headers: request.headers,
    body: text === '' ? {} : JSON.parse(text),
  });
  if (reply === undefined || response.destroyed) return;
  const body = reply.body === undefined ? '' : JSON.stringify(reply.body);
  response
    .writeHead(reply.status, {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(body),
    })
    .end(body);
}
