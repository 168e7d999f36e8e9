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
