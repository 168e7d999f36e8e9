/** In-memory state of the platform stand-in: keys with revisions, leases and listed instances. */
export interface StoredEntry {
  readonly key: string;
  readonly value: string;
  readonly revision: number;
  readonly lease?: string | undefined;
}

export interface ListedInstance {
  readonly id: string;
  readonly [property: string]: unknown;
}

export interface PlatformStore {
  get(key: string): StoredEntry | undefined;
  /**
   * Writes a key if it has the expected revision (0 for a missing key) and returns the new entry.
   * Otherwise returns undefined.
   */
  swap(
    key: string,
    expectedRevision: number,
    value: string,
    lease?: string,
  ): StoredEntry | undefined;
  /** Returns the entries under a prefix that changed after a revision, ordered by revision. */
  changesAfter(prefix: string, revision: number): StoredEntry[];
  /** Returns the latest revision. */
  revision(): number;
  /** Returns the id of a new lease. */
  grantLease(ttlMs: number): string;
  /** Returns the lease's time to live, or undefined if no such lease exists. */
  renewLease(id: string): number | undefined;
  /** Expires all leases at once and deletes the keys attached to them. */
  lapseLeases(): void;
  putInstance(instance: ListedInstance): void;
  deleteInstance(id: string): void;
  /** Returns the list of instances as it was `lagMs` ago. */
  instances(lagMs: number): readonly ListedInstance[];
  /** Calls the subscriber after every write to a key; returns a function that unsubscribes it. */
  onChange(subscriber: () => void): () => void;
}

interface Lease {
  readonly ttlMs: number;
  expiresMs: number;
}

interface ListVersion {
  readonly atMs: number;
  readonly list: readonly ListedInstance[];
}

const LEASE_SWEEP_INTERVAL_MS = 50;
const MAX_LIST_VERSIONS = 1_000;

export function createPlatformStore(): PlatformStore & { close(): void } {
  const entries = new Map<string, StoredEntry>();
  const leases = new Map<string, Lease>();
  const subscribers = new Set<() => void>();
  let versions: ListVersion[] = [{ atMs: 0, list: [] }];
  let revision = 0;
  let nextLease = 1;

  function notify(): void {
    for (const subscriber of [...subscribers]) subscriber();
  }

  function removeExpiredLeases(): void {
    const nowMs = performance.now();
    for (const [id, lease] of leases) {
      if (lease.expiresMs < nowMs) removeLease(id);
    }
  }

  function removeLease(id: string): void {
    leases.delete(id);
    for (const [key, entry] of entries) {
      if (entry.lease === id) entries.delete(key);
    }
  }

  function updateInstances(change: (list: Map<string, ListedInstance>) => void): void {
    const list = new Map(latestInstances().map((instance) => [instance.id, instance]));
    change(list);
    versions.push({ atMs: performance.now(), list: [...list.values()] });
    versions = versions.slice(-MAX_LIST_VERSIONS);
  }

  function latestInstances(): readonly ListedInstance[] {
    return versions.at(-1)?.list ?? [];
  }

  const timer = setInterval(removeExpiredLeases, LEASE_SWEEP_INTERVAL_MS);

  return {
    get: (key) => entries.get(key),
    swap(key, expectedRevision, value, lease) {
      removeExpiredLeases();
      if ((entries.get(key)?.revision ?? 0) !== expectedRevision) return undefined;
      revision += 1;
      const entry = { key, value, revision, lease };
      entries.set(key, entry);
      notify();
      return entry;
    },
    changesAfter: (prefix, after) =>
      [...entries.values()]
        .filter((entry) => entry.key.startsWith(prefix) && entry.revision > after)
        .sort((a, b) => a.revision - b.revision),
    revision: () => revision,
    grantLease(ttlMs) {
      const id = String(nextLease);
      nextLease += 1;
      leases.set(id, { ttlMs, expiresMs: performance.now() + ttlMs });
      return id;
    },
    renewLease(id) {
      removeExpiredLeases();
      const lease = leases.get(id);
      if (lease === undefined) return undefined;
      lease.expiresMs = performance.now() + lease.ttlMs;
      return lease.ttlMs;
    },
    lapseLeases() {
      for (const id of [...leases.keys()]) removeLease(id);
    },
    putInstance(instance) {
      updateInstances((list) => list.set(instance.id, instance));
    },
    deleteInstance(id) {
      updateInstances((list) => list.delete(id));
    },
    instances(lagMs) {
      const atMs = performance.now() - lagMs;
      return versions.findLast((version) => version.atMs <= atMs)?.list ?? [];
    },
    onChange(subscriber) {
      subscribers.add(subscriber);
      return () => subscribers.delete(subscriber);
    },
    close() {
      clearInterval(timer);
    },
  };
}
