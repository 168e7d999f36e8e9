/** Binds a server to an address. */
import { once } from 'node:events';
import type { Server } from 'node:net';
import type { Address } from './address.js';

/** Resolves with the bound address, whose port differs from the asked one when that is 0. */
export async function bindListener(server: Server, address: Address): Promise<Address> {
  server.listen(address.port, address.host);
  await once(server, 'listening');
  const bound = server.address();
  const port = typeof bound === 'object' && bound !== null ? bound.port : address.port;
  return { host: address.host, port };
}
