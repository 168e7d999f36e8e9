/**
 * Decides which connection gives way when a listener has as many as it may. Handles thousands of
 * silent or slow connections, which would use up the descriptors for workers and ordinary callers.
 */

/** A connection that has received data within this time is not replaced by a new one. */
const MIN_STALL_MS = 500;
/** Time for which no search is repeated that found no connection to close. */
const SEARCH_INTERVAL_MS = 100;

export interface LimitedConnection {
  readonly address: string;
  /** When the body that is being read last grew; undefined while none is read. */
  readonly progressMs: number | undefined;
}

export interface ConnectionLimits<C extends LimitedConnection> {
  add(connection: C): void;
  remove(connection: C): void;
  /** Records that a connection has no open request. */
  markIdle(connection: C): void;
  markBusy(connection: C): void;
  size(): number;
  connections(): Iterable<C>;
  /**
   * Returns the connections to close: those without an open request first, the longest idle of them
   * first; then one whose body does not grow; at last the newest itself, if there is one.
   */
  findExcess(limit: number, nowMs: number, newest?: C): readonly C[];
  isPressed(limit: number): boolean;
}

const PRESSURE_SHARE = 0.8;

export function createConnectionLimits<C extends LimitedConnection>(
  addressLimit?: number,
): ConnectionLimits<C> {
  const all = new Set<C>();
  /** In the order in which they became idle. */
  const idle = new Set<C>();
  const countByAddress = new Map<string, number>();
  let fruitlessSearchMs = -Infinity;

  function count(address: string, by: number): void {
    if (addressLimit === undefined) return;
    const total = (countByAddress.get(address) ?? 0) + by;
    if (total > 0) countByAddress.set(address, total);
    else countByAddress.delete(address);
  }

  function findStalled(nowMs: number): C | undefined {
    if (nowMs - fruitlessSearchMs < SEARCH_INTERVAL_MS) return undefined;
    let stalled: C | undefined;
    let oldestMs = nowMs - MIN_STALL_MS;
    for (const connection of all) {
      const { progressMs } = connection;
      if (progressMs === undefined || progressMs > oldestMs) continue;
      stalled = connection;
      oldestMs = progressMs;
    }
    if (stalled === undefined) fruitlessSearchMs = nowMs;
    return stalled;
  }

  function findExcess(limit: number, nowMs: number, newest?: C): readonly C[] {
    if (newest !== undefined && isOverAddressLimit(newest)) return [newest];
    const excess: C[] = [];
    for (const connection of idle) {
      if (all.size - excess.length <= limit) return excess;
      if (connection !== newest) excess.push(connection);
    }
    if (all.size - excess.length <= limit) return excess;
    const stalled = findStalled(nowMs);
    if (stalled !== undefined) excess.push(stalled);
    else if (newest !== undefined) excess.push(newest);
    return excess;
  }

  function isOverAddressLimit({ address }: C): boolean {
    return addressLimit !== undefined && (countByAddress.get(address) ?? 0) > addressLimit;
  }

  return {
    add(connection) {
      all.add(connection);
      idle.add(connection);
      count(connection.address, 1);
    },
    remove(connection) {
      if (!all.delete(connection)) return;
      idle.delete(connection);
      count(connection.address, -1);
    },
    markIdle(connection) {
      if (all.has(connection)) idle.add(connection);
    },
    markBusy(connection) {
      idle.delete(connection);
    },
    size: () => all.size,
    connections: () => all,
    findExcess,
    isPressed: (limit) => all.size > limit * PRESSURE_SHARE,
  };
}
