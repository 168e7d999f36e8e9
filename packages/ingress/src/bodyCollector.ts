/**
 * Collects the chunks of a body in blocks. Handles bodies in very many small chunks: each chunk has
 * a backing store of its own, which costs some hundred bytes even for a single byte.
 */
import { MAX_BLOCK_BYTES, type BlockPool } from './blockPool.js';

export interface BodyCollector {
  add(chunk: Buffer): void;
  /** Bytes of the body so far. */
  bytes(): number;
  /** Bytes of memory that are kept for the body. */
  heldBytes(): number;
  text(): string;
  /** Gives the memory back. */
  release(): void;
}

export function createBodyCollector(pool: BlockPool): BodyCollector {
  /** Most bodies are one chunk, which needs no copy. */
  let onlyChunk: Buffer | undefined;
  let blocks: Buffer[] = [];
  let free = 0;
  let bytes = 0;
  let heldBytes = 0;

  function append(chunk: Buffer): void {
    for (let copied = 0; copied < chunk.length;) {
      let block = blocks.at(-1);
      if (block === undefined || free === 0) {
        block = pool.take(Math.max(heldBytes, Math.min(chunk.length - copied, MAX_BLOCK_BYTES)));
        blocks.push(block);
        free = block.length;
        heldBytes += block.length;
      }
      const length = Math.min(free, chunk.length - copied);
      chunk.copy(block, block.length - free, copied, copied + length);
      copied += length;
      free -= length;
    }
  }

  return {
    add(chunk) {
      bytes += chunk.length;
      if (bytes === chunk.length) {
        onlyChunk = chunk;
        heldBytes = chunk.length;
        return;
      }
      if (onlyChunk !== undefined) {
        heldBytes = 0;
        append(onlyChunk);
        onlyChunk = undefined;
      }
      append(chunk);
    },
    bytes: () => bytes,
    heldBytes: () => heldBytes,
    text() {
      if (onlyChunk !== undefined) return onlyChunk.toString('utf8');
      const [first] = blocks;
      if (first !== undefined && blocks.length === 1) return first.toString('utf8', 0, bytes);
      return Buffer.concat(blocks, bytes).toString('utf8');
    },
    release() {
      for (const block of blocks) pool.give(block);
      blocks = [];
      free = 0;
      onlyChunk = undefined;
      heldBytes = 0;
    },
  };
}
