/** Bounds the memory used by kept answers: the oldest answers are evicted first. */
import type { Answer } from '@celerybarrow/protocol';

export interface AnswerCache {
  /**
   * Adds a kept answer and returns the ids whose answers must be evicted to stay within the limit.
   */
  add(id: string, answer: Answer): readonly string[];
  bytes(): number;
}

export function createAnswerCache(limitBytes: number): AnswerCache {
  const sizes = new Map<string, number>();
  let total = 0;

  return {
    add(id, answer) {
      const size = sizeOf(answer);
      total += size - (sizes.get(id) ?? 0);
      sizes.delete(id);
      sizes.set(id, size);
      const evicted: string[] = [];
      for (const [oldest, oldestSize] of sizes) {
        if (total <= limitBytes) break;
        sizes.delete(oldest);
        total -= oldestSize;
        evicted.push(oldest);
      }
      return evicted;
    },
    bytes: () => total,
  };
}

const ANSWER_OVERHEAD_BYTES = 200;

function sizeOf(answer: Answer): number {
  if ('problem' in answer) return ANSWER_OVERHEAD_BYTES;
  return answer.answers.reduce(
    (total, one) => total + one.body.length + one.name.length,
    ANSWER_OVERHEAD_BYTES,
  );
}
