/**
 * Decides whether a job is admitted, before it is claimed. A refusal means that no task of the job
 * ran. The limits of the fleet are divided evenly among the instances, so that admitting a job
 * needs no message.
 */
import { Result } from 'true-myth';
import { spreadDelay, type Random } from '@celerybarrow/shared';
import type { TimerService } from '@celerybarrow/timer';
import type { ConfigurationKeeper, ServiceFile } from '@celerybarrow/configuration';
import { createRateLimit, type RateLimit } from './rateLimit.js';

const BURST_MS = 2_000;
const RETRY_DELAY_MS = 1_000;
/**
 * Maximum share of a job's slack that it may spend waiting. In overload, a queue that used up the
 * slack would let most jobs start and then miss their deadline, and the work done for them would be
 * wasted.
 */
const MAX_WAIT_SHARE = 0.6;

export const RefusalReasons = {
  TEAM_RATE: 'team-rate',
  SERVICE_RATE: 'service-rate',
  QUEUE_FULL: 'queue-full',
  DEADLINE: 'deadline',
  NO_ENDPOINT: 'no-endpoint',
} as const;
export type RefusalReason = (typeof RefusalReasons)[keyof typeof RefusalReasons];

export interface Refusal {
  readonly reason: RefusalReason;
  /** Delay before a retry, randomized so that callers do not all retry at the same time. */
  readonly retryAfterMs: number;
}

export interface Admission {
  admit(request: AdmissionRequest): Result<undefined, Refusal>;
  /** Returns the number of refusals by `TEAM/REASON`. */
  refusals(): Record<string, number>;
}

export interface AdmissionRequest {
  readonly service: ServiceFile;
  readonly tasks: number;
  /** Number of waiting tasks of the service on this instance. */
  readonly waitingTasks: number;
  /** Minimum time that the job waits for slots, milliseconds. */
  readonly waitMs: number;
  /** Minimum time that the job then runs, milliseconds. */
  readonly runMs: number;
  /** Time left to the job's deadline, milliseconds. */
  readonly remainingMs: number;
  readonly hasEndpoints: boolean;
}

export interface AdmissionOptions {
  readonly configuration: ConfigurationKeeper;
  readonly timer: TimerService;
  readonly random: Random;
  /** Returns the number of instances that share the limits. */
  readonly countInstances: () => number;
}

export function createAdmission(options: AdmissionOptions): Admission {
  const { configuration, timer, random } = options;
  const rateLimits = new Map<string, RateLimit>();
  const refusals = new Map<string, number>();

  function getRateLimit(key: string, ratePerSecond: number): RateLimit {
    const rate = ratePerSecond / Math.max(1, options.countInstances());
    const burst = Math.max(1, (rate * BURST_MS) / 1_000);
    const existing = rateLimits.get(key);
    if (existing === undefined) {
      const created = createRateLimit(rate, burst);
      rateLimits.set(key, created);
      return created;
    }
    existing.setRate(rate, burst);
    return existing;
  }

  function admit(request: AdmissionRequest): Result<undefined, Refusal> {
    const refusal = findRefusal(request);
    if (refusal === undefined) return Result.ok(undefined);
    const key = `${request.service.team}/${refusal.reason}`;
    refusals.set(key, (refusals.get(key) ?? 0) + 1);
    return Result.err({ ...refusal, retryAfterMs: spreadDelay(refusal.retryAfterMs, random) });
  }

  function findRefusal(request: AdmissionRequest): Refusal | undefined {
    if (!request.hasEndpoints) return createRefusal(RefusalReasons.NO_ENDPOINT, RETRY_DELAY_MS);
    if (request.waitingTasks >= request.service.limits.queue) {
      return createRefusal(RefusalReasons.QUEUE_FULL, RETRY_DELAY_MS);
    }
    const slackMs = request.remainingMs - request.runMs;
    if (slackMs < 0 || request.waitMs > slackMs * MAX_WAIT_SHARE) {
      return createRefusal(RefusalReasons.DEADLINE, request.waitMs);
    }
    return findRateRefusal(request);
  }

  function findRateRefusal({ service, tasks }: AdmissionRequest): Refusal | undefined {
    const nowMs = timer.nowMs();
    const serviceLimit = getRateLimit(`service/${service.service}`, service.limits.ratePerSecond);
    const quota = configuration.findQuota(service.team);
    const teamLimit = quota && getRateLimit(`team/${service.team}`, quota.ratePerSecond);
    const teamWaitMs = teamLimit?.waitMs(nowMs) ?? 0;
    if (teamWaitMs > 0) return createRefusal(RefusalReasons.TEAM_RATE, teamWaitMs);
    const serviceWaitMs = serviceLimit.waitMs(nowMs);
    if (serviceWaitMs > 0) return createRefusal(RefusalReasons.SERVICE_RATE, serviceWaitMs);
    teamLimit?.take(tasks);
    serviceLimit.take(tasks);
    return undefined;
  }

  return { admit, refusals: () => Object.fromEntries(refusals) };
}

function createRefusal(reason: RefusalReason, retryAfterMs: number): Refusal {
  return { reason, retryAfterMs };
}
