/** Bounds the log lines about abusive clients, of which each request could cause one. */
import type { LogContext, Logger } from '@celerybarrow/telemetry';
import type { MonotonicClock } from '@celerybarrow/timer';

const WINDOW_MS = 1_000;

export interface BoundedLog {
  info(message: string, context: LogContext): void;
  warn(message: string, context: LogContext): void;
}

/** Lets a few lines a second pass. The next line after omitted ones has their number. */
export function createBoundedLog(
  logger: Pick<Logger, 'info' | 'warn'>,
  clock: MonotonicClock,
  linesPerS = 5,
): BoundedLog {
  let windowStartMs = -Infinity;
  let lines = 0;
  let omitted = 0;

  function write(level: 'info' | 'warn', message: string, context: LogContext): void {
    const nowMs = clock.nowMs();
    if (nowMs - windowStartMs >= WINDOW_MS) {
      windowStartMs = nowMs;
      lines = 0;
    }
    if (lines >= linesPerS) {
      omitted += 1;
      return;
    }
    lines += 1;
    logger[level](message, omitted === 0 ? context : { ...context, omittedLines: omitted });
    omitted = 0;
  }

  return {
    info: (message, context) => {
      write('info', message, context);
    },
    warn: (message, context) => {
      write('warn', message, context);
    },
  };
}
