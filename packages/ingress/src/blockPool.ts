/**
 * Reuses the blocks that keep bodies. Handles many bodies that are begun and refused: their blocks
 * would stay in memory until the next full garbage collection.
 */
export interface BlockPool {
  /** Returns a block of at least `bytes`, up to the largest size. */
  take(bytes: number): Buffer;
  /** Takes a block back. Its content must not be used any more. */
  give(block: Buffer): void;
  freeBytes(): number;
}

const MIN_BLOCK_BYTES = 4_096;
export const MAX_BLOCK_BYTES = 65_536;

export function createBlockPool(maxFreeBytes: number): BlockPool {
  const freeBySize = new Map<number, Buffer[]>();
  let freeBytes = 0;

  return {
    take(bytes) {
      let size = MIN_BLOCK_BYTES;
      while (size < bytes && size < MAX_BLOCK_BYTES) size *= 2;
      const free = freeBySize.get(size)?.pop();
      if (free === undefined) return Buffer.allocUnsafeSlow(size);
      freeBytes -= size;
      return free;
    },
    give(block) {
      if (freeBytes + block.length > maxFreeBytes) return;
      const blocks = freeBySize.get(block.length);
      if (blocks === undefined) freeBySize.set(block.length, [block]);
      else blocks.push(block);
      freeBytes += block.length;
    },
    freeBytes: () => freeBytes,
  };
}
