/** What all listeners of a process share: the budgets, the queue of large documents and the log. */
import type { Logger, Metrics } from '@celerybarrow/telemetry';
import { createTimerService, type TimerService } from '@celerybarrow/timer';
import { createBoundedLog, type BoundedLog } from './boundedLog.js';
import type { IngressLimits } from './ingressLimits.js';
import { createReadingBudget, type ReadingBudget } from './readingBudget.js';
import { createTurnQueue, type TurnQueue } from './turnQueue.js';
import { createWorkBudget, type WorkBudget } from './workBudget.js';

export interface Ingress {
  readonly limits: IngressLimits;
  readonly timer: TimerService;
  readonly log: BoundedLog;
  readonly metrics: Metrics;
  readonly reading: ReadingBudget;
  readonly work: WorkBudget;
  readonly queue: TurnQueue;
}

export interface IngressOptions {
  readonly limits: IngressLimits;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly timer?: TimerService;
}

export function createIngress({ limits, logger, metrics, ...options }: IngressOptions): Ingress {
  const timer = options.timer ?? createTimerService();
  const log = createBoundedLog(logger, timer);
  return {
    limits,
    timer,
    log,
    metrics,
    reading: createReadingBudget({
      limitBytes: limits.readingBytes,
      addressLimitBytes: limits.readingBytesPerAddress,
    }),
    work: createWorkBudget(limits.workBytes),
    queue: createTurnQueue({
      maxWaitMs: limits.queueMs,
      clock: timer,
      defer: (work) => setImmediate(work),
      onError: (error) => {
        metrics.increment('ingress-failed/queue');
        log.warn('Parsing failed with an internal error.', { reason: String(error) });
      },
    }),
  };
}
