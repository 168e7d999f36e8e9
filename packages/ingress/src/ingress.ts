/** What all listeners of a process share: the budgets, the queue of large documents and the log. */
import { describeError } from '@celerybarrow/shared';
import type { Logger, Metrics } from '@celerybarrow/telemetry';
import { createTimerService, type TimerService } from '@celerybarrow/timer';
import { createBoundedLog, type BoundedLog } from './boundedLog.js';
import { createBlockPool, type BlockPool } from './blockPool.js';
import { createGarbageBound, createYoungCollector, type GarbageBound } from './garbageBound.js';
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
  /** Turns of bodies in very many small chunks. */
  readonly chunkTurns: TurnQueue;
  readonly blocks: BlockPool;
  readonly garbage: GarbageBound;
}

/** Unused blocks are kept up to this share of the memory for reading. */
const FREE_BLOCK_SHARE = 0.25;

export interface IngressOptions {
  readonly limits: IngressLimits;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly timer?: TimerService;
}

export function createIngress({ limits, logger, metrics, ...options }: IngressOptions): Ingress {
  const timer = options.timer ?? createTimerService();
  const log = createBoundedLog(logger, timer);
  const turns = {
    clock: timer,
    defer: (work: () => void) => setImmediate(work),
    onError: (error: unknown) => {
      metrics.increment('ingress-failed/queue');
      log.warn('Queued work failed with an internal error.', { reason: describeError(error) });
    },
  };
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
    queue: createTurnQueue({ ...turns, maxWaitMs: limits.queueMs }),
    chunkTurns: createTurnQueue({ ...turns, maxWaitMs: Infinity }),
    blocks: createBlockPool(limits.readingBytes * FREE_BLOCK_SHARE),
    garbage: createGarbageBound(createYoungCollector()),
  };
}
