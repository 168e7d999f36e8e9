/** The last log lines of a process, taken from its standard error as it is written. */
import type { Readable } from 'node:stream';
import { createInterface } from 'node:readline';

const LINES_KEPT = 500;

export interface LogTail {
  /** Keeps what a stream brings until it ends; a process that is started again brings a new one. */
  follow(stream: Readable): void;
  lines(): readonly string[];
}

export function createLogTail(): LogTail {
  let kept: string[] = [];

  return {
    follow(stream) {
      createInterface({ input: stream }).on('line', (line) => {
        kept.push(line);
        if (kept.length >= LINES_KEPT * 2) kept = kept.slice(-LINES_KEPT);
      });
    },
    lines: () => kept.slice(-LINES_KEPT),
  };
}
