/** The decisions as HTTP: what a client on a loopback connection sees, and what the handler sees. */
import { afterEach, describe, it } from 'node:test';
import { connect } from 'node:net';
import { once } from 'node:events';
import { setTimeout as delay } from 'node:timers/promises';
import { expect } from 'earl';
import { bindListener } from '@celerybarrow/shared';
import { createLogger, createMetrics } from '@celerybarrow/telemetry';
import {
  computeIngressLimits,
  createGuardedListener,
  createIngress,
  type Exchange,
  type IngressLimits,
} from '../src/index.js';

const closeables: (() => void)[] = [];

afterEach(() => {
  for (const close of closeables.splice(0)) close();
});

async function startListener(
  handle: (exchange: Exchange) => Promise<void> | void,
  changed: Partial<IngressLimits> = {},
) {
  const metrics = createMetrics();
  const ingress = createIngress({
    limits: { ...computeIngressLimits(), ...changed },
    logger: createLogger('test'),
    metrics,
  });
  const { server } = createGuardedListener({
    ingress,
    name: 'test',
    connectionLimit: () => ingress.limits.connections,
    handle,
    sendRefusal: (response, { status, reason }) => response.writeHead(status).end(reason),
    sendFailure: (response) => response.writeHead(502).end(),
  });
  const { port } = await bindListener(server, { host: '127.0.0.1', port: 0 });
  closeables.push(() => {
    server.close();
    server.closeAllConnections();
  });
  return { port, metrics, ingress };
}

function openClient(port: number) {
  const socket = connect(port, '127.0.0.1');
  let received = '';
  socket.on('data', (chunk) => (received += chunk.toString('latin1')));
  socket.on('error', () => undefined);
  closeables.push(() => socket.destroy());
  const statuses = () => [...received.matchAll(/HTTP\/1.1 (\d+)/g)].map(([, status]) => status);
  const waitFor = async (count: number) => {
    while (statuses().length < count && !socket.closed) await delay(5);
    return statuses();
  };
  return { socket, waitFor, received: () => received };
}

async function readAndAnswer({ response, readDocument }: Exchange): Promise<void> {
  const countedFields = [{ name: 'steps', depth: 1 }];
  const options = { maxBytes: 100_000, withinMs: 5_000, countedFields, maxItems: 10 };
  const length = await readDocument({ ...options, parse: (text) => text.length });
  if (length !== undefined) response.end(String(length));
}

const get = 'GET / HTTP/1.1\r\nhost: a\r\n\r\n';
const post = (body: string, declared = body.length) =>
  `POST / HTTP/1.1\r\nhost: a\r\ncontent-length: ${declared}\r\n\r\n${body}`;

describe('a guarded listener', () => {
  // Guards against limits that ordinary requests meet.
  it('answers ordinary requests, small and large, on one connection', async () => {
    const { port, ingress } = await startListener(readAndAnswer);
    const { socket, waitFor, received } = openClient(port);
    const bodies = ['x', 'y'.repeat(90_000), '{}'];
    for (const [index, body] of bodies.entries()) {
      socket.write(post(body));
      expect((await waitFor(index + 1)).at(-1)).toEqual('200');
    }
    expect(received().includes('90000')).toEqual(true);
    await delay(20);
    expect([ingress.reading.heldBytes(), ingress.work.reservedBytes()]).toEqual([0, 0]);
  });

  // Guards against a refused body that is read to its end, or taken for the next request.
  it('refuses a body over a limit and closes the connection', async () => {
    const { port } = await startListener(readAndAnswer);
    const refused = [
      [post('x', 100_001), '413'],
      [post(`{"steps":[${'{},'.repeat(10)}{}]}`), '400'],
      [`POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n`, '400'],
    ] as const;
    for (const [text, status] of refused) {
      const { socket, waitFor } = openClient(port);
      socket.write(text);
      expect(await waitFor(1)).toEqual([status]);
      if (!socket.closed) await once(socket, 'close');
    }
  });

  // Guards against a caller whose request ends with a write error in place of the response, because the
  // connection is closed while it still sends the body.
  it('lets a caller send the rest of a refused body and read the response', async () => {
    const { port } = await startListener(readAndAnswer);
    const { socket, waitFor } = openClient(port);
    const errors: string[] = [];
    socket.on('error', ({ message }) => errors.push(message));
    // A caller that is busy with sending does not read meanwhile.
    socket.pause();
    const part = 'x'.repeat(30_000);
    socket.write(post(part, 30 * part.length));
    for (let sent = 1; sent < 30; sent += 1) {
      await delay(5);
      socket.write(part);
    }
    socket.resume();
    expect(await waitFor(1)).toEqual(['413']);
    if (!socket.closed) await once(socket, 'close');
    expect(errors).toEqual([]);
  });

  // Guards against a full budget that keeps new callers out until the old bodies time out.
  it('refuses the body that stands still for one that arrives', async () => {
    const { port } = await startListener(readAndAnswer, { readingBytes: 60_000 });
    const slow = openClient(port);
    slow.socket.write(post('x'.repeat(50_000), 50_001));
    await delay(150);
    const next = openClient(port);
    next.socket.write(post('y'.repeat(50_000)));
    expect(await next.waitFor(1)).toEqual(['200']);
    expect(await slow.waitFor(1)).toEqual(['503']);
    expect(slow.received().includes('retry-after')).toEqual(true);
  });

  // Guards against jobs of a closed connection that are not withdrawn, because only the first open
  // response learns from Node.js that the connection has closed.
  it('tells all open requests of a connection when it closes', async () => {
    const signals: AbortSignal[] = [];
    const { port, metrics } = await startListener(({ left }) => {
      signals.push(left());
    });
    const { socket } = openClient(port);
    socket.write(get.repeat(1_000));
    await once(socket, 'close');
    while (signals.some(({ aborted }) => !aborted)) await delay(5);
    expect(signals.length).toEqual(computeIngressLimits().runningRequests);
    expect(Object.keys(metrics.counters()).some((key) => key.startsWith('ingress-closed'))).toEqual(
      true,
    );
  });

  // Guards against an exception in a handler that ends the process.
  it('answers when the handler fails, and serves the next request', async () => {
    let calls = 0;
    const { port } = await startListener(({ response }) => {
      calls += 1;
      if (calls === 1) throw new Error('a fault');
      response.end();
    });
    const { socket, waitFor } = openClient(port);
    socket.write(get);
    await waitFor(1);
    socket.write(get);
    expect(await waitFor(2)).toEqual(['502', '200']);
  });

  // Guards against silent connections that keep out the callers who send requests.
  it('closes idle connections for new ones at the connection limit', async () => {
    const { port } = await startListener(readAndAnswer, { connections: 3 });
    const clients = Array.from({ length: 9 }, () => openClient(port));
    await delay(100);
    const next = openClient(port);
    next.socket.write(post('x'));
    expect(await next.waitFor(1)).toEqual(['200']);
    expect(clients.filter(({ socket }) => !socket.closed).length <= 3).toEqual(true);
  });
});
