/**
 * A planned stop. The instance first becomes unready, so that the load balancer sends callers to
 * other instances. Then it stops registering claims, hands over its ids to the other members and
 * answers open requests. Finally it hands over the answers of jobs that ended meanwhile and leaves
 * the roster.
 */
import type { TimerService } from '@celerybarrow/timer';
import { handOverAndLeave, type Handover } from '@celerybarrow/claims';
import type { Gateway } from '@celerybarrow/gateway';
import type { JobService } from '@celerybarrow/jobs';
import type { Membership } from '@celerybarrow/membership';
import type { Placement } from '@celerybarrow/placement';
import type { Logger } from '@celerybarrow/telemetry';

const RUNNING_JOBS_POLL_MS = 20;
/**
 * Time limit of a handover. It exceeds the time in which members remove a failed member, because
 * the failed member cannot accept its part of the handover and blocks it until it is removed.
 */
const HANDOVER_TIMEOUT_MS = 8_000;

export interface StopOptions {
  readonly gateway: Gateway;
  readonly handover: Handover;
  readonly jobs: JobService;
  readonly placement: Placement;
  readonly membership: Membership;
  readonly timer: TimerService;
  readonly logger: Logger;
  readonly drainGraceMs: number;
}

export async function stopGracefully(options: StopOptions): Promise<void> {
  const { gateway, handover, jobs, placement, membership, timer, logger } = options;
  logger.info('Stopping.', { openRequests: gateway.openRequests(), runningJobs: jobs.running() });
  gateway.startDraining();
  await timer.sleep(options.drainGraceMs);
  await handover.cede(HANDOVER_TIMEOUT_MS);
  await gateway.close();
  while (jobs.running() > 0) await timer.sleep(RUNNING_JOBS_POLL_MS);
  await placement.drain();
  const isHandedOver = await handOverAndLeave({
    handover,
    withinMs: HANDOVER_TIMEOUT_MS,
    leave: (handedOverEpoch) => membership.leave(handedOverEpoch),
  });
  logger.info('Stopped.', { handedOver: isHandedOver });
}
