/**
 * Bounds the memory for requests that were accepted and are being carried out. Handles many valid
 * requests that need far more memory than their text, such as jobs of 10,000 tasks in 100 bytes.
 * Large requests have a budget of their own, so that neither kind keeps out the other.
 */

const LARGE_BYTES = 1_048_576;
const SHARE_FOR_LARGE = 0.5;

export interface WorkBudget {
  /** Whether there is room. There always is for a single large request. */
  reserve(bytes: number): boolean;
  /** Releases what one call has reserved. */
  release(bytes: number): void;
  reservedBytes(): number;
}

export function createWorkBudget(limitBytes: number): WorkBudget {
  const small = { limitBytes, reservedBytes: 0 };
  const large = { limitBytes: limitBytes * SHARE_FOR_LARGE, reservedBytes: 0 };
  const poolOf = (bytes: number) => (bytes < LARGE_BYTES ? small : large);

  return {
    reserve(bytes) {
      const pool = poolOf(bytes);
      if (pool.reservedBytes > 0 && pool.reservedBytes + bytes > pool.limitBytes) return false;
      pool.reservedBytes += bytes;
      return true;
    },
    release(bytes) {
      poolOf(bytes).reservedBytes -= bytes;
    },
    reservedBytes: () => small.reservedBytes + large.reservedBytes,
  };
}
