/** Structured logs: short sentences, each with the fixed prefix of the part that writes it. */
import { ROARR, Roarr, type Logger as RoarrLogger } from 'roarr';

export interface Logger {
  debug(sentence: string, context?: LogContext): void;
  info(sentence: string, context?: LogContext): void;
  warn(sentence: string, context?: LogContext): void;
  error(sentence: string, context?: LogContext): void;
}

export type LogContext = Readonly<Record<string, string | number | boolean | undefined>>;

/** Creates the logger of one part, for example `[roster]`. */
export function createLogger(part: string): Logger {
  const roarr: RoarrLogger = Roarr.child({ part });
  const prefix = `[${part}]`;
  return {
    debug: (sentence, context) => {
      roarr.debug({ ...context }, `${prefix} ${sentence}`);
    },
    info: (sentence, context) => {
      roarr.info({ ...context }, `${prefix} ${sentence}`);
    },
    warn: (sentence, context) => {
      roarr.warn({ ...context }, `${prefix} ${sentence}`);
    },
    error: (sentence, context) => {
      roarr.error({ ...context }, `${prefix} ${sentence}`);
    },
  };
}

/** A logger whose lines all carry a context as well. */
export function withContext(logger: Logger, shared: LogContext): Logger {
  return {
    debug: (sentence, context) => {
      logger.debug(sentence, { ...shared, ...context });
    },
    info: (sentence, context) => {
      logger.info(sentence, { ...shared, ...context });
    },
    warn: (sentence, context) => {
      logger.warn(sentence, { ...shared, ...context });
    },
    error: (sentence, context) => {
      logger.error(sentence, { ...shared, ...context });
    },
  };
}

/**
 * Sends log lines, one JSON object each, to a sink such as standard error. The log library writes
 * only when the environment variable ROARR_LOG is true while it is imported.
 */
export function routeLogs(write: (line: string) => void, instance: string): void {
  ROARR.write = (line) => {
    write(`${addInstance(line, instance)}\n`);
  };
}

function addInstance(line: string, instance: string): string {
  return `${line.slice(0, -1)},"instance":${JSON.stringify(instance)}}`;
}

/** Lines are written together at this interval, which costs one system call for all of them. */
const FLUSH_INTERVAL_MS = 100;
/** Lines that wait beyond this are dropped, and counted. */
const MAX_BUFFERED_LINES = 2_000;

export interface LogBuffer {
  write(line: string): void;
  flush(): void;
}

/**
 * Gathers log lines and writes them together. When more come than can be written, the newest are
 * dropped and a line tells how many.
 */
export function createLogBuffer(
  write: (text: string) => void,
  onEvery: (everyMs: number, subscriber: () => void) => unknown,
): LogBuffer {
  let lines: string[] = [];
  let dropped = 0;

  function flush(): void {
    if (lines.length === 0) return;
    if (dropped > 0) lines.push(`{"message":"[log] Lines were dropped.","dropped":${dropped}}\n`);
    write(lines.join(''));
    lines = [];
    dropped = 0;
  }

  onEvery(FLUSH_INTERVAL_MS, flush);
  return {
    write(line) {
      if (lines.length < MAX_BUFFERED_LINES) lines.push(line);
      else dropped += 1;
    },
    flush,
  };
}
