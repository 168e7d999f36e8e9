/**
 * The platform's key-value service and list of instances, as the product uses them.
 * Every call is counted by the platform, a waiting watch as one.
 */
import type { Result } from 'true-myth';
import type { StoreError } from './storeError.js';

export interface Entry {
  readonly key: string;
  readonly value: string;
  /** Revision of the store at which this value was written; rises with every write. */
  readonly revision: number;
}

export interface Change {
  /** Revision up to which the watcher is now informed. */
  readonly revision: number;
  readonly entries: readonly Entry[];
  /** Keys that no longer exist. */
  readonly removed: readonly string[];
}

export interface ListOptions {
  /** Whether an answer that may be seconds old will do; such reads cost the platform less. */
  readonly isStaleAllowed: boolean;
}

export interface WatchOptions {
  /** How long the answer may wait for a change; 0 asks for what has changed so far. */
  readonly waitMs: number;
  readonly signal: AbortSignal;
}

export const InstanceRoles = { ENTRY: 'entry', ENDPOINT: 'endpoint' } as const;
export type InstanceRole = (typeof InstanceRoles)[keyof typeof InstanceRoles];

export const InstanceStates = { LIVE: 'live', LEAVING: 'leaving' } as const;
export type InstanceState = (typeof InstanceStates)[keyof typeof InstanceStates];

export interface Instance {
  readonly id: string;
  readonly role: InstanceRole;
  readonly service?: string | undefined;
  readonly dataCentre: string;
  readonly rack: string;
  /** `IP:PORT`. */
  readonly address: string;
  readonly state: InstanceState;
  readonly slots?: number | undefined;
}

export interface Lease {
  readonly id: string;
  readonly ttlMs: number;
}

export interface Store {
  /** The entry under a key; undefined when there is none. */
  get(key: string): Promise<Result<Entry | undefined, StoreError>>;
  /**
   * Writes a value if the key's revision is still the expected one, 0 meaning that there is none.
   * Fails with PLATFORM_CONFLICT when it is not, and with PLATFORM_UNKNOWN_OUTCOME when no answer
   * came; a value bound to a lease is removed when the lease lapses.
   */
  compareAndSwap(
    key: string,
    expectedRevision: number,
    value: string,
    lease?: Lease,
  ): Promise<Result<Entry, StoreError>>;
  /** All entries under a prefix, and the revision as of which they were read. */
  list(prefix: string, read: ListOptions): Promise<Result<Change, StoreError>>;
  /**
   * Waits for changes under a prefix past a revision; none when the wait ends without one. Fails
   * with PLATFORM_HISTORY_LOST when changes since that revision are no longer known.
   */
  watch(
    prefix: string,
    afterRevision: number,
    watch: WatchOptions,
  ): Promise<Result<Change, StoreError>>;
  grantLease(ttlMs: number): Promise<Result<Lease, StoreError>>;
  renewLease(lease: Lease): Promise<Result<Lease, StoreError>>;
}

export interface InstanceList {
  instances(): Promise<Result<readonly Instance[], StoreError>>;
}
