import { createServer, connect } from 'node:net';
import { once } from 'node:events';
import { describe, it } from 'node:test';
import { expect } from 'earl';
import { createTimerService } from '../src/index.js';

function block(forMs: number): void {
  const untilMs = performance.now() + forMs;
  while (performance.now() < untilMs);
}

describe('a time-out in a process that was busy itself', () => {
  it('lets an answer that has arrived go first', async () => {
    const server = createServer((socket) =>
      socket.on('data', (chunk) => {
        socket.write(chunk);
        // The answer is on its way while this process is held up beyond the time-out.
        block(60);
      }),
    );
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    const address = server.address();
    if (address === null || typeof address === 'string') throw new Error('no port');
    const socket = connect(address.port, '127.0.0.1');
    await once(socket, 'connect');
    const order: string[] = [];
    socket.on('data', () => order.push('answer'));
    const timedOut = new Promise<void>((resolve) => {
      createTimerService().onTimeout(20, () => {
        order.push('timeout');
        resolve();
      });
    });
    socket.write('ask');
    await timedOut;
    expect(order).toEqual(['answer', 'timeout']);
    socket.destroy();
    server.close();
  });

  it('is not told when it was cancelled in between', async () => {
    const timer = createTimerService();
    let isTold = false;
    const cancel = timer.onTimeout(5, () => {
      isTold = true;
    });
    setTimeout(cancel, 5);
    block(10);
    await timer.sleep(30);
    expect(isTold).toEqual(false);
  });
});
