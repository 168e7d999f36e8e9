/**
 * Simulates a dispatcher whose orders to its endpoints share one link of limited rate, in virtual
 * time. Orders wait for the link in the order in which they were sent. One that is not answered in
 * time still uses the link and still arrives.
 */
import { createDispatcher } from '@celerybarrow/dispatch';
import {
  EndpointError,
  type EndpointNetwork,
  type LeasedEndpoint,
  type StartOrder,
} from '@celerybarrow/endpoints';
import { JobStates, type LeasedJob } from '@celerybarrow/protocol';
import { createRandom, ErrorCodes } from '@celerybarrow/shared';
import { createMetrics, type Logger } from '@celerybarrow/telemetry';
import { createElapsedClock, createManualTimer } from '@celerybarrow/timer';
import { Result } from 'true-myth';
import { createSimulatedEndpoints } from './simulatedEndpoints.js';

const ENDPOINTS = 12;
const ORDER_TIMEOUT_MS = 150;
const RENEWAL_GRACE_MS = 130;
const OVERHEAD_BYTES = 400;
const PAYLOAD = 'x'.repeat(2_400);
const TASKS_PER_JOB = 8;
const GATEWAY = 'g';
const DEADLINE_MS = 1_530;

const ignore = () => undefined;
const logger: Logger = { debug: ignore, info: ignore, warn: ignore, error: ignore };

/** Jobs per second whose orders fill a link of this rate. */
export function fillingRate(bytesPerMs: number): number {
  return (bytesPerMs * 1_000) / (TASKS_PER_JOB * (PAYLOAD.length + OVERHEAD_BYTES));
}

export interface UplinkResult {
  readonly submitted: number;
  readonly outcomes: Readonly<Record<string, number>>;
  /** Time from the submission to the refusal of each refused job, in milliseconds. */
  readonly refusedAfterMs: readonly number[];
  readonly overlaps: readonly string[];
}

export function startUplink(bytesPerMs: number) {
  const timer = createManualTimer();
  const random = createRandom(1);
  const traits = { rejectsByOrderLease: true, maxTaskMs: 100, failureProbability: 0 };
  const endpoints = createSimulatedEndpoints(ENDPOINTS, timer, random, traits, ignore);
  let linkFreeMs = 0;

  function send<T>(
    bytes: number,
    timeoutMs: number,
    call: () => Promise<Result<T, EndpointError>>,
  ): Promise<Result<T, EndpointError>> {
    linkFreeMs = Math.max(timer.nowMs(), linkFreeMs) + bytes / bytesPerMs;
    return new Promise((resolve) => {
      timer.onAfter(timeoutMs, () => {
        resolve(Result.err(new EndpointError(ErrorCodes.ENDPOINT_SILENT)));
      });
      timer.onAfter(linkFreeMs - timer.nowMs(), () => {
        void call().then(resolve);
      });
    });
  }

  const network: EndpointNetwork = {
    open(entry): LeasedEndpoint {
      const endpoint = endpoints.network.open(entry);
      const startBytes = (order: StartOrder) => order.payload.length + OVERHEAD_BYTES;
      return {
        start: (order) => send(startBytes(order), ORDER_TIMEOUT_MS, () => endpoint.start(order)),
        stop: (order) => send(OVERHEAD_BYTES, ORDER_TIMEOUT_MS, () => endpoint.stop(order)),
        renew: (order) =>
          send(OVERHEAD_BYTES, order.waitMs + RENEWAL_GRACE_MS, () => endpoint.renew(order)),
        close: ignore,
      };
    },
  };
  const dispatcher = createDispatcher({
    network,
    timer,
    clock: createElapsedClock(timer),
    random,
    logger,
    metrics: createMetrics(),
    fence: () => 1,
    onFenced: ignore,
  });
  dispatcher.setEndpoints(endpoints.all.map(({ entry }) => entry));
  timer.onEvery(150, () => {
    dispatcher.renewGatewayLease(GATEWAY);
  });
  let nextJob = 0;

  function createJob(): LeasedJob {
    const demand = { cores: 1_000, memoryMb: 1, accelerators: 0 };
    nextJob += 1;
    return {
      id: `j${nextJob}`,
      team: 't',
      service: 's',
      priority: 0,
      maxAttempts: 2,
      objectiveStretch: 1.6,
      objectiveAllowanceMs: 60,
      payload: PAYLOAD,
      steps: [{ tasks: TASKS_PER_JOB, demand, estimateMs: 60, after: [] }],
      ageMs: 0,
      remainingMs: DEADLINE_MS,
    };
  }

  /** Submits jobs at a constant rate and waits until all have ended. */
  async function offer(jobsPerS: number, forMs: number): Promise<UplinkResult> {
    const outcomes: Record<string, number> = {};
    const refusedAfterMs: number[] = [];
    const submitted = Math.floor((jobsPerS * forMs) / 1_000);
    for (let index = 0; index < submitted; index += 1) {
      timer.onAfter((index * 1_000) / jobsPerS, () => {
        const sinceMs = timer.nowMs();
        const submission = { job: createJob(), gateway: GATEWAY, resubmissions: 0 };
        void dispatcher.submit(submission).then(({ state }) => {
          outcomes[state] = (outcomes[state] ?? 0) + 1;
          if (state === JobStates.REFUSED) refusedAfterMs.push(timer.nowMs() - sinceMs);
        });
      });
    }
    await timer.advance(forMs);
    return { submitted, outcomes, refusedAfterMs, overlaps: endpoints.overlaps() };
  }

  return {
    offer,
    async start() {
      await timer.advance(500);
    },
    async finish() {
      await timer.advance(DEADLINE_MS + 200);
      dispatcher.close();
    },
  };
}
