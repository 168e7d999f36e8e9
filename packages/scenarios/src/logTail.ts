/** Keeps the last log lines that a process writes to standard error. */
import type { Readable } from 'node:stream';
import { createInterface } from 'node:readline';

const MAX_LINES = 500;

export interface LogTail {
  /** Reads lines from a stream until it ends. A restarted process has a new stream to follow. */
  follow(stream: Readable): void;
  lines(): readonly string[];
}

export function createLogTail(): LogTail {
  let buffered: string[] = [];

  return {
    follow(stream) {
      createInterface({ input: stream }).on('line', (line) => {
        buffered.push(line);
        if (buffered.length >= MAX_LINES * 2) buffered = buffered.slice(-MAX_LINES);
      });
    },
    lines: () => buffered.slice(-MAX_LINES),
  };
}
