/** Ids of submissions. A UUIDv7 (RFC 9562) contains its creation time in its first 48 bits. */
import { randomBytes } from 'node:crypto';

const UUID_V7 = /^[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/i;
const TIMESTAMP_HEX_DIGITS = 12;

/** Creates a UUIDv7 for a time in milliseconds since the Unix epoch. */
export function createUuidV7(nowMs: number): string {
  const bytes = randomBytes(16);
  bytes.writeUIntBE(nowMs, 0, 6);
  bytes[6] = ((bytes[6] ?? 0) & 0x0f) | 0x70;
  bytes[8] = ((bytes[8] ?? 0) & 0x3f) | 0x80;
  const hex = bytes.toString('hex');
  return [
    hex.slice(0, 8),
    hex.slice(8, 12),
    hex.slice(12, 16),
    hex.slice(16, 20),
    hex.slice(20),
  ].join('-');
}

/** Returns the creation time of a UUIDv7 in milliseconds, or undefined for any other id. */
export function readCreationTime(id: string): number | undefined {
  if (!UUID_V7.test(id)) return undefined;
  return Number.parseInt(id.replaceAll('-', '').slice(0, TIMESTAMP_HEX_DIGITS), 16);
}
