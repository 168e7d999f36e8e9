/**
 * The word of a gateway that it has a job with this dispatcher and has not handed it over elsewhere.
 *
 * Fault pattern: the token of this dispatcher changes, or a submission arrives long after it was sent.
 * In the meantime the gateway may have given the job to another dispatcher, or answered its caller. A
 * job that this applies to starts nothing until its gateway confirms it, under the present token and
 * with the same number of submissions without an answer. The word counts for one process of a gateway.
 */
import type { GatewayState } from '@celerybarrow/protocol';
import type { Logger, Metrics } from '@celerybarrow/telemetry';
import type { ElapsedClock } from '@celerybarrow/timer';
import type { GatewayMessage } from './gatewayLeases.js';
import type { GatewayProcess, JobRecord } from './jobRecord.js';
import { CONFIRMATION_TIMEOUT_MS, type Reconciliation } from './reconciliation.js';
import type { TokenChanges } from './tokenChanges.js';

/** The part of a submission that tells of its gateway. */
export interface GatewaySubmission extends GatewayProcess {
  readonly sender?: GatewayState | undefined;
  readonly resubmissions: number;
  readonly job: { readonly remainingMs: number };
}

export interface Confirmations {
  /**
   * Whether a submission proves by itself that its gateway has the job with this dispatcher: it was
   * sent a short time ago, under the present token.
   */
  isProved(submission: GatewaySubmission, isRecent: boolean): boolean;
  /** Lets a new job wait for its gateway, because its submission proves nothing. */
  await(record: JobRecord, submission: GatewaySubmission): void;
  /** Adds the jobs among these that wait for their gateways. */
  addAll(records: readonly JobRecord[]): void;
  /** Lets an open job run under the lease of a gateway whose submission proves that it has the job. */
  apply(record: JobRecord, submission: GatewaySubmission): void;
  /** Records a submission of an open job that proves nothing, until its gateway confirms it. */
  recordClaimant(record: JobRecord, submission: GatewaySubmission): void;
  /** Confirms the jobs that the sender of a heartbeat has handed over to no other dispatcher. */
  confirm(message: GatewayMessage): void;
  /** Forgets a job that has ended. */
  remove(record: JobRecord): void;
}

export interface ConfirmationsOptions {
  readonly reconciliation: Reconciliation;
  readonly tokens: TokenChanges;
  readonly clock: ElapsedClock;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

export function createConfirmations(options: ConfirmationsOptions): Confirmations {
  const { reconciliation, tokens, clock, logger, metrics } = options;
  /** Open jobs that wait for a gateway to confirm them. */
  const unconfirmed = new Set<JobRecord>();

  function awaitGateway(record: JobRecord, submission: GatewaySubmission): void {
    const { sender, gateway, resubmissions } = submission;
    const fence = tokens.fence();
    if (sender?.fence === fence) reconciliation.awaitConfirmation(record);
    else reconciliation.restart([record]);
    record.leasedSinceMs = undefined;
    unconfirmed.add(record);
    metrics.increment('unconfirmed-submissions');
    const heardMs = sender?.heardMs;
    logger.info('Job waits for its gateway to confirm it.', {
      job: record.job.id,
      gateway,
      resubmissions,
      sentUnder: sender?.fence,
      fence,
      heardAgoMs: heardMs === undefined ? undefined : Math.round(clock.nowMs() - heardMs),
    });
  }

  function confirm({ gateway, incarnation, sender }: GatewayMessage): void {
    // Without a time that it has heard, the message may be older than the token.
    if (unconfirmed.size === 0 || sender?.heardMs === undefined) return;
    if (sender.fence !== tokens.fence()) return;
    const isSender = (known: GatewayProcess & { unanswered?: number | undefined }) =>
      known.gateway === gateway &&
      known.incarnation === incarnation &&
      known.unanswered === sender.unanswered;
    for (const record of [...unconfirmed]) {
      const { claimant } = record;
      if (claimant !== undefined && isSender(claimant)) {
        transfer(record, claimant, claimant.unanswered);
        confirmJob(record);
      } else if (isSender(record)) confirmJob(record);
    }
  }

  function confirmJob(record: JobRecord): void {
    reconciliation.confirm(record);
    record.leasedSinceMs ??= clock.nowMs();
    if (record.claimant === undefined) unconfirmed.delete(record);
  }

  /** Lets a job run under the lease of the gateway that submitted it last. */
  function transfer(record: JobRecord, to: GatewayProcess, unanswered: number | undefined): void {
    record.gateway = to.gateway;
    record.incarnation = to.incarnation;
    record.unanswered = unanswered;
    record.leasedSinceMs = clock.nowMs();
    record.claimant = undefined;
  }

  function apply(record: JobRecord, submission: GatewaySubmission): void {
    const { gateway, sender, job } = submission;
    // The deadline may be that of a gateway that ends, and this caller waits for longer.
    const deadlineMs = clock.nowMs() + job.remainingMs;
    if (gateway !== record.gateway) record.deadlineMs = Math.max(record.deadlineMs, deadlineMs);
    // A message that was sent before a later submission of the same process tells nothing new.
    const earlier = isOfSameProcess(record, submission) ? record.unanswered : undefined;
    transfer(record, submission, latestOf(earlier, sender?.unanswered));
    confirmJob(record);
  }

  function recordClaimant(record: JobRecord, submission: GatewaySubmission): void {
    const { gateway, incarnation, sender } = submission;
    if (sender === undefined) return;
    const { unanswered } = sender;
    if (isOfSameProcess(record, submission)) {
      record.unanswered = latestOf(record.unanswered, unanswered);
      return;
    }
    const untilMs = clock.nowMs() + CONFIRMATION_TIMEOUT_MS;
    record.claimant = { gateway, incarnation, unanswered, untilMs };
    unconfirmed.add(record);
  }

  return {
    isProved: ({ sender }, isRecent) =>
      sender === undefined || (isRecent && sender.fence === tokens.fence()),
    await: awaitGateway,
    addAll(records) {
      for (const record of records)
        if (record.confirmUntilMs !== undefined) unconfirmed.add(record);
    },
    apply,
    recordClaimant,
    confirm,
    remove(record) {
      unconfirmed.delete(record);
    },
  };
}

/** Whether the gateway may have handed a job over elsewhere since it sent it here. */
export function hasLostAnswers(
  { unanswered }: JobRecord,
  sender: GatewayState | undefined,
): boolean {
  return unanswered !== undefined && sender !== undefined && unanswered !== sender.unanswered;
}

function isOfSameProcess(record: JobRecord, { gateway, incarnation }: GatewayProcess): boolean {
  return record.gateway === gateway && record.incarnation === incarnation;
}

/** Returns the larger of two counts of one process, of which one may not be known. */
function latestOf(earlier: number | undefined, later: number | undefined): number | undefined {
  return earlier === undefined || later === undefined
    ? (later ?? earlier)
    : Math.max(earlier, later);
}
