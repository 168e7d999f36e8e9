/**
 * The platform's key-value service and list of instances, as the product uses them.
 * Every call is counted by the platform, a waiting watch as one.
 */
import type { Result } from 'true-myth';
import type { PlatformError } from './platformError.js';

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

export interface Platform {
  /** The entry under a key; undefined when there is none. */
  get(key: string): Promise<Result<Entry | undefined, PlatformError>>;
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
  ): Promise<Result<Entry, PlatformError>>;
  /** Waits for changes under a prefix past a revision; no entries when the wait ends without one. */
  watch(
    prefix: string,
    afterRevision: number,
    signal: AbortSignal,
  ): Promise<Result<Change, PlatformError>>;
  grantLease(ttlMs: number): Promise<Result<Lease, PlatformError>>;
  renewLease(lease: Lease): Promise<Result<Lease, PlatformError>>;
  instances(): Promise<Result<readonly Instance[], PlatformError>>;
}
