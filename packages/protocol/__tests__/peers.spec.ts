import { connect, createServer, Socket } from 'node:net';
import { once } from 'node:events';
import { afterEach, describe, it } from 'node:test';
import { expect } from 'earl';
import {
  bindListener,
  createRandom,
  formatAddress,
  ErrorCodes,
  type Address,
} from '@celerybarrow/shared';
import { createTimerService } from '@celerybarrow/timer';
import {
  createPeerLink,
  createPeerServer,
  createTraffic,
  encodeFrame,
  PROTOCOL_VERSION,
  type Greeting,
  type PeerLink,
  type PeerServer,
} from '../src/index.js';

const ANY_PORT: Address = { host: '127.0.0.1', port: 0 };
const timer = createTimerService();
const createGreeting = (instance: string): Greeting => ({
  version: PROTOCOL_VERSION,
  instance,
  incarnation: `${instance}.1`,
  dataCentre: 'dub1',
});

const closeables: { close(): unknown }[] = [];

afterEach(async () => {
  for (const closeable of closeables.splice(0).reverse()) await closeable.close();
});

async function startServer(): Promise<[PeerServer, Address, string[]]> {
  const faults: string[] = [];
  const server = createPeerServer({
    self: createGreeting('b'),
    timer,
    traffic: createTraffic(),
    onProtocolError: (fault) => faults.push(fault.message),
  });
  closeables.push(server);
  return [server, await server.listen(ANY_PORT), faults];
}

function openLink(address: Address, expectedIncarnation = 'b.1'): PeerLink {
  const link = createPeerLink({
    address: formatAddress(address),
    self: createGreeting('a'),
    expectedIncarnation,
    timer,
    random: createRandom(1),
    traffic: createTraffic(),
  });
  closeables.push(link);
  return link;
}

const REQUEST_OPTIONS = { timeoutMs: 1_000, connectWaitMs: 1_000 };

describe('peer links', () => {
  // Each instance of a large fleet has a connection to most of the others.
  it('need no timer while they are idle', async () => {
    const [, address] = await startServer();
    let intervals = 0;
    const onEvery = (everyMs: number, subscriber: () => void) => {
      intervals += 1;
      const stop = timer.onEvery(everyMs, subscriber);
      return () => {
        intervals -= 1;
        stop();
      };
    };
    const link = createPeerLink({
      address: formatAddress(address),
      self: createGreeting('a'),
      timer: { ...timer, onEvery },
      random: createRandom(1),
      traffic: createTraffic(),
      keepAliveTimeoutMs: () => 60,
    });
    closeables.push(link);
    await link.request('alive', {}, { ...REQUEST_OPTIONS, connectWaitMs: 500 });
    await timer.sleep(80);
    expect(link.isConnected()).toEqual(true);
    expect(intervals).toEqual(0);
  });

  it('connect again after an attempt that nobody answered', async () => {
    const [, address] = await startServer();
    const attempts: Socket[] = [];
    const link = createPeerLink({
      address: formatAddress(address),
      self: createGreeting('a'),
      timer,
      random: createRandom(1),
      traffic: createTraffic(),
      connectTimeoutMs: () => 50,
      openSocket: ({ host, port }) => {
        // A network partition drops the SYN packet, so the attempt is neither accepted nor refused.
        const socket = attempts.length === 0 ? new Socket() : connect(port, host);
        attempts.push(socket);
        return socket;
      },
    });
    closeables.push(link);

    const reply = await link.request('alive', {}, REQUEST_OPTIONS);
    expect(attempts.length).toEqual(2);
    expect(reply.isOk).toEqual(true);
  });

  it('match replies to their requests when they arrive out of order or late', async () => {
    const [server, address] = await startServer();
    server.onRequest('lookup', async ({ id }) => {
      await timer.sleep(Number(id));
      return { state: 'unknown', tasks: Number(id) };
    });
    const link = openLink(address);
    const delays = [60, 5, 30, 1, 200];
    const replies = await Promise.all(
      delays.map((ms) =>
        link.request('lookup', { id: String(ms) }, { ...REQUEST_OPTIONS, timeoutMs: 120 }),
      ),
    );
    expect(replies.map((reply) => (reply.isOk ? reply.value.tasks : reply.error.code))).toEqual([
      60,
      5,
      30,
      1,
      ErrorCodes.PEER_SILENT,
    ]);
    await timer.sleep(150);
    const later = await link.request('lookup', { id: '2' }, REQUEST_OPTIONS);
    expect(later.isOk && later.value.tasks).toEqual(2);
  });

  it('distinguish an unsent request from one that may have been received', async () => {
    const [server, address] = await startServer();
    server.onRequest('cancel', () => new Promise(() => undefined));
    const link = openLink(address);
    const unanswered = await link.request(
      'cancel',
      { id: 'x' },
      { ...REQUEST_OPTIONS, timeoutMs: 50 },
    );
    expect(unanswered.isErr && unanswered.error.isUnsent).toEqual(false);
    await server.close();
    closeables.splice(closeables.indexOf(server), 1);
    await timer.sleep(50);
    const unsent = await link.request('cancel', { id: 'x' }, { timeoutMs: 50 });
    expect(unsent.isErr && unsent.error.isUnsent).toEqual(true);
  });

  // Callers were told that their job may have run, although nothing was sent.
  const failedHandshakes: [string, Buffer][] = [
    ['another protocol version', encodeFrame({ ...createGreeting('b'), version: 999 })],
    ['a malformed greeting', encodeFrame({ version: 'x' })],
    ['bytes that are no frame', Buffer.from([255, 255, 255, 255, 0])],
  ];
  for (const [name, greeting] of failedHandshakes) {
    it(`report a request as unsent after a handshake with ${name}`, async () => {
      const server = createServer((socket) => {
        socket.on('error', () => undefined);
        socket.write(greeting);
      });
      const address = await bindListener(server, ANY_PORT);
      closeables.push({ close: () => server.close() });
      const link = openLink(address);
      const reply = await link.request('alive', {}, { timeoutMs: 200, connectWaitMs: 200 });
      expect(reply.isErr && reply.error.isUnsent).toEqual(true);
    });
  }

  it('reject another incarnation and report that the expected one has ended', async () => {
    const [, address] = await startServer();
    const link = openLink(address, 'b.0');
    const reply = await link.request('alive', {}, { timeoutMs: 100, connectWaitMs: 300 });
    expect(reply.isErr && reply.error.code).toEqual(ErrorCodes.PEER_REPLACED);
    expect(link.isGone()).toEqual(true);
  });

  it('return the error of a failed handler without closing the connection', async () => {
    const [server, address] = await startServer();
    server.onRequest('drop', () => {
      throw new Error('no such job');
    });
    const link = openLink(address);
    const failed = await link.request('drop', { job: 'x' }, REQUEST_OPTIONS);
    expect(failed.isErr && failed.error.message).toEqual(
      'peer did not answer; the request may have been received: no such job',
    );
    expect((await link.request('alive', {}, REQUEST_OPTIONS)).isOk).toEqual(true);
  });
});

interface InvalidInputCase {
  readonly fault: string;
  readonly bytes: Buffer;
}

const hugeFrame = Buffer.from([0xff, 0xff, 0xff, 0xff, 0]);
const invalidInputCases: InvalidInputCase[] = [
  { fault: 'an HTTP request', bytes: Buffer.from('GET / HTTP/1.1\r\n\r\n') },
  { fault: 'an oversized frame', bytes: hugeFrame },
  {
    fault: 'another protocol version',
    bytes: encodeFrame({ ...createGreeting('a'), version: 99 }),
  },
  { fault: 'an incomplete greeting', bytes: encodeFrame({ version: PROTOCOL_VERSION }) },
  {
    fault: 'an invalid message after the greeting',
    bytes: Buffer.concat([encodeFrame(createGreeting('a')), encodeFrame({ nonsense: true })]),
  },
  {
    fault: 'an oversized frame after the greeting',
    bytes: Buffer.concat([encodeFrame(createGreeting('a')), hugeFrame]),
  },
];

describe('the peer server', () => {
  for (const { fault, bytes } of invalidInputCases) {
    it(`closes a connection that sends ${fault} and keeps serving the others`, async () => {
      const [, address, faults] = await startServer();
      const link = openLink(address);
      const socket: Socket = connect(address.port, address.host);
      socket.on('error', () => undefined);
      socket.resume();
      socket.write(bytes);
      await once(socket, 'close');
      expect(faults.length).toEqual(1);
      expect((await link.request('alive', {}, REQUEST_OPTIONS)).isOk).toEqual(true);
    });
  }

  it('replies with a fault to a request that does not match its schema', async () => {
    const [server, address] = await startServer();
    server.onRequest('lookup', () => ({ state: 'unknown' }));
    const link = openLink(address);
    const reply = await link.request('lookup', { id: 7 as unknown as string }, REQUEST_OPTIONS);
    expect(reply.isErr).toEqual(true);
  });
});
