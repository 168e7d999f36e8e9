/** Network addresses in the form `IP:PORT`. */
import { isIP } from 'node:net';

const PORT = /^\d{1,5}$/;
const MAX_PORT = 65_535;

export interface Address {
  readonly host: string;
  readonly port: number;
}

/** Parses `IP:PORT` or `[IPv6]:PORT`; returns undefined for any other text. */
export function parseAddress(text: string): Address | undefined {
  const split = text.lastIndexOf(':');
  if (split <= 0) return undefined;
  const host = text.slice(0, split).replace(/^\[|\]$/g, '');
  const digits = text.slice(split + 1);
  const port = Number(digits);
  if (isIP(host) === 0 || !PORT.test(digits) || port > MAX_PORT) return undefined;
  return { host, port };
}

/**
 * Whether a text is an address that a client can connect to. Port 0 is valid only for listeners.
 */
export function isDialable(text: string): boolean {
  const address = parseAddress(text);
  return address !== undefined && address.port > 0 && formatAddress(address) === text;
}

export function formatAddress(address: Address): string {
  return address.host.includes(':')
    ? `[${address.host}]:${address.port}`
    : `${address.host}:${address.port}`;
}
