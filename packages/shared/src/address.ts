/** Network addresses in the form `IP:PORT`. */
import { isIP } from 'node:net';

export interface Address {
  readonly host: string;
  readonly port: number;
}

/** Reads `IP:PORT` (or `[IPv6]:PORT`); undefined when the text is not such an address. */
export function parseAddress(text: string): Address | undefined {
  const split = text.lastIndexOf(':');
  if (split <= 0) return undefined;
  const host = text.slice(0, split).replace(/^\[|\]$/g, '');
  const port = Number(text.slice(split + 1));
  if (isIP(host) === 0 || !Number.isInteger(port) || port < 0 || port > 65_535) return undefined;
  return { host, port };
}

export function formatAddress(address: Address): string {
  return address.host.includes(':')
    ? `[${address.host}]:${address.port}`
    : `${address.host}:${address.port}`;
}
