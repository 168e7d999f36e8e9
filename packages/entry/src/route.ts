/** How an entry reaches the dispatchers of the shards. */
import type { JobOutcome, LeasedJob, Withdrawal } from '@celerybarrow/protocol';
import type { Leadership } from '@celerybarrow/leadership';

/** The part of a dispatcher that the entry of the same instance uses. */
export interface LocalDispatcher {
  submit(submission: {
    job: LeasedJob;
    gateway: string;
    resubmissions: number;
    heldOn?: readonly string[];
    lostHandoverAgoMs?: number;
    departuresVersion?: number;
    isCancelled?: boolean;
  }): Promise<JobOutcome>;
  withdraw(job: string, gateway?: string): Withdrawal;
  limitJobs(gateway: string, remainingMs: number): void;
  isKnown(job: string): boolean;
}

/** How this instance reaches the dispatcher of one shard. */
export interface Route {
  readonly leadership: Leadership;
  /** The dispatcher of the shard, if this instance dispatches it. */
  readonly local: LocalDispatcher | undefined;
  /** Version of the departing endpoints of the shard that this instance knows, if any. */
  readonly departuresVersion?: number | undefined;
}
