/**
 * Bounds the garbage of received data. Handles hundreds of MB that arrive within seconds: Node.js
 * copies each chunk of a body into a buffer of its own, and V8 lets some 64 MB of such buffers
 * accumulate before it collects them, because their objects in the heap are small.
 */
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';

/** A collection of the young generation after this takes about 0.3 ms. */
const BYTES_PER_COLLECTION = 8 * 1_048_576;

export interface GarbageBound {
  /** Records received bytes that become garbage soon. */
  add(bytes: number): void;
}

export function createGarbageBound(
  collect: () => void,
  bytesPerCollection = BYTES_PER_COLLECTION,
): GarbageBound {
  let bytes = 0;
  return {
    add(received) {
      bytes += received;
      if (bytes < bytesPerCollection) return;
      bytes = 0;
      collect();
    },
  };
}

/** Returns a function that collects the young generation; one without effect if V8 has none. */
export function createYoungCollector(): () => void {
  try {
    setFlagsFromString('--expose-gc');
    const collect = runInNewContext('gc') as (options: { type: 'minor' }) => void;
    setFlagsFromString('--no-expose-gc');
    return () => {
      collect({ type: 'minor' });
    };
  } catch {
    return () => undefined;
  }
}
