/**
 * Bounds the memory for requests that were accepted and are being carried out. Handles many valid
 * requests whose parsed form is far larger than their text.
 */
export interface WorkBudget {
  /** Whether there is room. Without other work, there always is. */
  reserve(bytes: number): boolean;
  release(bytes: number): void;
  reservedBytes(): number;
}

export function createWorkBudget(limitBytes: number): WorkBudget {
  let reservedBytes = 0;
  return {
    reserve(bytes) {
      if (reservedBytes > 0 && reservedBytes + bytes > limitBytes) return false;
      reservedBytes += bytes;
      return true;
    },
    release(bytes) {
      reservedBytes -= bytes;
    },
    reservedBytes: () => reservedBytes,
  };
}
