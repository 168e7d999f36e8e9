/** In-memory store with faults that a test injects: unavailability, a lost answer, expired leases. */
import { Result } from 'true-myth';
import { ErrorCodes, type ErrorCode } from '@celerybarrow/shared';
import { StoreError, type Entry, type Lease, type Store } from '@celerybarrow/store';

export interface FakeStore extends Store {
  readonly entries: Map<string, Entry>;
  /** Whether every call fails as unreachable. */
  isUnavailable: boolean;
  /** Whether the next write takes effect but its answer is lost. */
  losesNextAnswer: boolean;
  /** Expires all leases and removes the entries bound to them. */
  lapseLeases(): void;
}

export function createFakeStore(): FakeStore {
  const entries = new Map<string, Entry>();
  const leases = new Map<string, Set<string>>();
  let revision = 0;

  function fail<T>(code: ErrorCode): Promise<Result<T, StoreError>> {
    return Promise.resolve(Result.err(new StoreError(code)));
  }

  function succeed<T>(value: T): Promise<Result<T, StoreError>> {
    return Promise.resolve(Result.ok(value));
  }

  function write(key: string, value: string, lease?: Lease): Entry {
    revision += 1;
    const entry = { key, value, revision };
    entries.set(key, entry);
    if (lease !== undefined) leases.get(lease.id)?.add(key);
    return entry;
  }

  const store: FakeStore = {
    entries,
    isUnavailable: false,
    losesNextAnswer: false,
    lapseLeases() {
      for (const keys of leases.values()) for (const key of keys) entries.delete(key);
      leases.clear();
    },
    get: (key) =>
      store.isUnavailable ? fail(ErrorCodes.PLATFORM_UNREACHABLE) : succeed(entries.get(key)),
    compareAndSwap(key, expected, value, lease) {
      if (store.isUnavailable) return fail(ErrorCodes.PLATFORM_UNREACHABLE);
      if ((entries.get(key)?.revision ?? 0) !== expected) return fail(ErrorCodes.PLATFORM_CONFLICT);
      const entry = write(key, value, lease);
      if (!store.losesNextAnswer) return succeed(entry);
      store.losesNextAnswer = false;
      return fail(ErrorCodes.PLATFORM_UNKNOWN_OUTCOME);
    },
    list: () => succeed({ revision, entries: [...entries.values()], removed: [] }),
    watch: () => succeed({ revision, entries: [], removed: [] }),
    grantLease(ttlMs) {
      if (store.isUnavailable) return fail(ErrorCodes.PLATFORM_UNREACHABLE);
      const id = `lease-${leases.size + 1}-${revision}`;
      leases.set(id, new Set());
      return succeed({ id, ttlMs });
    },
    renewLease(lease) {
      if (store.isUnavailable) return fail(ErrorCodes.PLATFORM_UNREACHABLE);
      return leases.has(lease.id) ? succeed(lease) : fail(ErrorCodes.PLATFORM_BAD_ANSWER);
    },
  };
  return store;
}
