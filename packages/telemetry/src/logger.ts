/**
 * Structured logging. Messages are short sentences with the name of the logging part as a prefix.
 */
import { ROARR, Roarr, type Logger as RoarrLogger } from 'roarr';

export interface Logger {
  debug(message: string, context?: LogContext): void;
  info(message: string, context?: LogContext): void;
  warn(message: string, context?: LogContext): void;
  error(message: string, context?: LogContext): void;
}

export type LogContext = Readonly<Record<string, string | number | boolean | undefined>>;

/** Creates the logger of one part; its messages have a prefix such as `[roster]`. */
export function createLogger(part: string): Logger {
  const roarr: RoarrLogger = Roarr.child({ part });
  const prefix = `[${part}]`;
  return {
    debug: (message, context) => {
      roarr.debug({ ...context }, `${prefix} ${message}`);
    },
    info: (message, context) => {
      roarr.info({ ...context }, `${prefix} ${message}`);
    },
    warn: (message, context) => {
      roarr.warn({ ...context }, `${prefix} ${message}`);
    },
    error: (message, context) => {
      roarr.error({ ...context }, `${prefix} ${message}`);
    },
  };
}

/** Returns a logger that adds a context to every line. A line's own context takes precedence. */
export function withContext(logger: Logger, shared: LogContext): Logger {
  return {
    debug: (message, context) => {
      logger.debug(message, { ...shared, ...context });
    },
    info: (message, context) => {
      logger.info(message, { ...shared, ...context });
    },
    warn: (message, context) => {
      logger.warn(message, { ...shared, ...context });
    },
    error: (message, context) => {
      logger.error(message, { ...shared, ...context });
    },
  };
}

/**
 * Writes log lines, one JSON object each, to a sink such as standard error. The log library writes
 * only if the environment variable ROARR_LOG is true at the time of its import.
 */
export function routeLogs(write: (line: string) => void, instance: string): void {
  ROARR.write = (line) => {
    write(`${addInstance(line, instance)}\n`);
  };
}

function addInstance(line: string, instance: string): string {
  return `${line.slice(0, -1)},"instance":${JSON.stringify(instance)}}`;
}

/** Delay of a write after the first line. Each write is one system call for all lines of the delay. */
const FLUSH_DELAY_MS = 100;
/** Maximum number of buffered lines; further lines are dropped and counted. */
const MAX_BUFFERED_LINES = 2_000;

export interface LogBuffer {
  write(line: string): void;
  flush(): void;
}

/**
 * Buffers log lines and writes them in batches. When the buffer is full, new lines are dropped, and
 * the next batch ends with a line that says how many.
 */
export function createLogBuffer(
  write: (text: string) => void,
  onAfter: (delayMs: number, subscriber: () => void) => unknown,
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

  return {
    write(line) {
      if (lines.length === 0) onAfter(FLUSH_DELAY_MS, flush);
      if (lines.length < MAX_BUFFERED_LINES) lines.push(line);
      else dropped += 1;
    },
    flush,
  };
}
