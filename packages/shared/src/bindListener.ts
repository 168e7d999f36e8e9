import { once } from 'node:events';
import type { Server } from 'node:net';
import type { Address } from './address.js';

/** Binds a server to an address and resolves with the bound address. Port 0 picks a free port. */
export async function bindListener(server: Server, address: Address): Promise<Address> {
  server.listen(address.port, address.host);
  await once(server, 'listening');
  const bound = server.address();
  const port = typeof bound === 'object' && bound !== null ? bound.port : address.port;
  return { host: address.host, port };
}
