import { once } from 'node:events';
import { createServer, type AddressInfo } from 'node:net';
import { describe, it } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';
import { expect } from 'earl';
import { createTraffic, PROTOCOL_VERSION } from '@celerybarrow/protocol';
import { createRandom } from '@celerybarrow/shared';
import { createTimerService } from '@celerybarrow/timer';
import { createPatience } from '../src/patience.js';
import { createPeerLinks } from '../src/peerLinks.js';

describe('the connections of a closed instance', () => {
  // A poll that ended after the close opened a new connection, and the process never exited.
  it('are not opened again', async () => {
    let greetings = 0;
    const server = createServer((socket) => {
      socket.on('data', () => (greetings += 1));
    });
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    const { port } = server.address() as AddressInfo;
    const instance = { instance: 'a', incarnation: 'a-1', dataCentre: 'd' };
    const timer = createTimerService();
    const links = createPeerLinks({
      greeting: { ...instance, version: PROTOCOL_VERSION },
      localHost: '127.0.0.1',
      timer,
      random: createRandom(1),
      traffic: createTraffic(),
      patience: createPatience(timer),
    });
    links.close();
    const member = { instance: 'b', incarnation: 'b-1', dataCentre: 'd', weight: 1 };
    const link = links.to({ ...member, peer: `127.0.0.1:${port}` });
    await delay(300);
    link.close();
    server.close();
    expect(greetings).toEqual(0);
  });
});
