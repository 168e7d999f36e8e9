/** Finds free addresses on the loopback interface. */
import { createServer } from 'node:net';
import { once } from 'node:events';
import type { Address } from '@celerybarrow/shared';

/** Returns an address whose port was free when checked; another process may bind it later. */
export async function findFreeAddress(host = '127.0.0.1'): Promise<Address> {
  const server = createServer();
  server.listen(0, host);
  await once(server, 'listening');
  const bound = server.address();
  const port = typeof bound === 'object' && bound !== null ? bound.port : 0;
  server.close();
  await once(server, 'close');
  return { host, port };
}
