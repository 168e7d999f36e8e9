/**
 * Log context of the first start of a job under each fencing token: what the dispatcher knew of the
 * job and of its gateway at admission and now. It tells a job that waited through a change of the token
 * from one that arrived late, and both from one whose gateway had handed it on.
 */
import type { LogContext } from '@celerybarrow/telemetry';
import type { LeaseAge } from './gatewayLeases.js';
import type { JobRecord } from './jobRecord.js';

export interface FirstStart {
  readonly fence: number;
  readonly lease: LeaseAge | undefined;
  readonly dispatcherAgeMs: number;
}

export function describeFirstStart(
  { job, gateway, admission }: JobRecord,
  { fence, lease, dispatcherAgeMs }: FirstStart,
): LogContext {
  return {
    gateway,
    fence,
    resubmissions: admission?.resubmissions,
    ageMs: Math.round(job.ageMs),
    leaseRenewedAgoMs: roundedOrNone(lease?.renewedAgoMs),
    leaseGrantedAgoMs: roundedOrNone(lease?.grantedAgoMs),
    dispatcherAgeMs: Math.round(dispatcherAgeMs),
    admittedFence: admission?.fence,
    admittedLeaseRenewedAgoMs: roundedOrNone(admission?.lease?.renewedAgoMs),
    admittedLeaseGrantedAgoMs: roundedOrNone(admission?.lease?.grantedAgoMs),
  };
}

function roundedOrNone(value: number | undefined): number | undefined {
  return value === undefined ? undefined : Math.round(value);
}
