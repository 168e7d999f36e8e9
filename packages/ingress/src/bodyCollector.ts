/**
 * Collects the chunks of a body in blocks. Handles bodies in very many small chunks: each chunk has
 * a backing store of its own, which costs some hundred bytes even for a single byte.
 */
const FIRST_BLOCK_BYTES = 4_096;
const MAX_BLOCK_BYTES = 65_536;

export interface BodyCollector {
  add(chunk: Buffer): void;
  /** Bytes of the body so far. */
  bytes(): number;
  /** Bytes of memory that are kept for the body. */
  heldBytes(): number;
  /** Returns the body and releases the blocks. */
  take(): Buffer;
}

export function createBodyCollector(): BodyCollector {
  const parts: Buffer[] = [];
  let block: Buffer | undefined;
  let used = 0;
  let bytes = 0;
  let heldBytes = 0;

  function seal(): void {
    if (block !== undefined && used > 0) parts.push(block.subarray(0, used));
    block = undefined;
    used = 0;
  }

  function openBlock(): Buffer {
    const size = Math.min(MAX_BLOCK_BYTES, Math.max(FIRST_BLOCK_BYTES, heldBytes));
    heldBytes += size;
    // Not from the shared pool, of which a small part would keep the whole.
    return Buffer.allocUnsafeSlow(size);
  }

  return {
    add(chunk) {
      bytes += chunk.length;
      // Most bodies are one chunk, which needs no copy.
      if (heldBytes === 0) {
        parts.push(chunk);
        heldBytes += chunk.length;
        return;
      }
      for (let copied = 0; copied < chunk.length;) {
        block ??= openBlock();
        const length = Math.min(block.length - used, chunk.length - copied);
        chunk.copy(block, used, copied, copied + length);
        copied += length;
        used += length;
        if (used === block.length) seal();
      }
    },
    bytes: () => bytes,
    heldBytes: () => heldBytes,
    take() {
      seal();
      const [first, ...rest] = parts;
      const body = first !== undefined && rest.length === 0 ? first : Buffer.concat(parts, bytes);
      parts.length = 0;
      heldBytes = 0;
      return body;
    },
  };
}
