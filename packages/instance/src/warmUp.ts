/**
 * Warms up the code of the dispatcher right after the instance starts, against private endpoints on
 * the loopback interface.
 *
 * Load pattern: an instance becomes the dispatcher under full load, because another one failed. Code
 * that has not run yet is several times slower in this runtime, so all jobs of the first seconds would
 * be delayed. The warm-up stops as soon as real work needs the processor.
 */
import { createDispatcher } from '@celerybarrow/dispatch';
import type { EndpointEntry, EndpointNetwork } from '@celerybarrow/endpoints';
import type { LeasedJob } from '@celerybarrow/protocol';
import type { Random } from '@celerybarrow/shared';
import { createMetrics, type Logger } from '@celerybarrow/telemetry';
import { createElapsedClock, type TimerService } from '@celerybarrow/timer';

/** Endpoints that exist only for the warm-up. */
export interface LoopbackEndpoints {
  readonly network: EndpointNetwork;
  readonly entries: readonly EndpointEntry[];
  close(): Promise<void>;
}

export interface WarmUpOptions {
  readonly openLoopback: () => Promise<LoopbackEndpoints>;
  readonly timer: TimerService;
  readonly random: Random;
  readonly logger: Logger;
  /** Whether real work needs the processor now. */
  readonly isBusy: () => boolean;
}

const JOBS = 80;
const TASKS_PER_JOB = 6;
/** Pause between jobs. The warm-up takes about two and a half seconds. */
const PAUSE_MS = 25;
const GATEWAY = 'warm-up';
/** Time for the dispatcher to reach the loopback endpoints before the first job. */
const CONNECT_WAIT_MS = 500;

export async function warmUp(options: WarmUpOptions): Promise<void> {
  const { timer, random } = options;
  const loopback = await options.openLoopback();
  const dispatcher = createDispatcher({
    network: loopback.network,
    timer,
    clock: createElapsedClock(timer),
    random,
    logger: createNoopLogger(),
    metrics: createMetrics(),
    fence: () => 1,
    onFenced: () => undefined,
  });
  dispatcher.setEndpoints(loopback.entries);
  await timer.sleep(CONNECT_WAIT_MS);
  let submitted = 0;
  for (; submitted < JOBS && !options.isBusy(); submitted += 1) {
    dispatcher.renewGatewayLease(GATEWAY);
    const job = createJob(submitted, loopback.entries[0]?.service ?? '');
    void dispatcher.submit({ job, gateway: GATEWAY, resubmissions: 0 });
    await timer.sleep(PAUSE_MS);
  }
  dispatcher.close();
  await loopback.close();
  options.logger.info('Warm-up finished.', { jobs: submitted });
}

function createJob(number: number, service: string): LeasedJob {
  const demand = { cores: 1_000, memoryMb: 1, accelerators: 0 };
  return {
    id: `warm-up-${number}`,
    team: GATEWAY,
    service,
    priority: 0,
    maxAttempts: 1,
    objectiveStretch: 2,
    objectiveAllowanceMs: 100,
    payload: '',
    steps: [{ tasks: TASKS_PER_JOB, demand, estimateMs: 10, after: [] }],
    ageMs: 0,
    remainingMs: 1_000,
  };
}

function createNoopLogger(): Logger {
  const ignore = () => undefined;
  return { debug: ignore, info: ignore, warn: ignore, error: ignore };
}
