/**
 * Outlier detection of endpoints. It judges an endpoint by the outcomes of its runs, not by the
 * health that it reports.
 *
 * Fault patterns:
 * - An endpoint that fails every run ends them quickly and therefore gets more load.
 * - An endpoint that fails some of its runs reports itself healthy.
 * - A job that always fails does so on every endpoint and must not get healthy ones ejected. A
 *   failure counts in full only if the job has not failed on another endpoint.
 *
 * After its ejection time an endpoint is half-open: it runs one task at a time, and successes
 * restore it. At most a third of the endpoints are ejected, so that the remaining ones are not
 * overloaded.
 */

/** Weight of a new outcome in the moving average of failures. */
const FAILURE_WEIGHT = 0.25;
/** Share of failures at which an endpoint is ejected, and below which it is restored. */
const EJECT_THRESHOLD = 0.42;
const RESTORE_THRESHOLD = 0.2;
const BASE_EJECTION_MS = 1_000;
const MAX_EJECTION_MS = 4_000;
const MAX_EJECTED_SHARE = 1 / 3;

export interface EndpointHealth {
  recordSuccess(endpoint: string): void;
  /**
   * Records a failed, stalled or refused run. `weight` is below 1 if the job itself may be the
   * cause. Returns whether this ejects the endpoint.
   */
  recordFailure(endpoint: string, weight: number, nowMs: number): boolean;
  /**
   * Returns how many tasks may run: none while ejected, one as a probe while half-open, and any
   * number otherwise.
   */
  taskLimit(endpoint: string, nowMs: number): number;
  isEjected(endpoint: string): boolean;
  forget(endpoint: string): void;
}

interface HealthRecord {
  failureShare: number;
  ejectedUntilMs: number | undefined;
  ejectionMs: number;
}

export function createEndpointHealth(endpointCount: () => number): EndpointHealth {
  const records = new Map<string, HealthRecord>();

  function find(endpoint: string): HealthRecord {
    const known = records.get(endpoint);
    if (known !== undefined) return known;
    const created = { failureShare: 0, ejectedUntilMs: undefined, ejectionMs: BASE_EJECTION_MS };
    records.set(endpoint, created);
    return created;
  }

  function canEject(): boolean {
    const ejected = [...records.values()].filter(
      (record) => record.ejectedUntilMs !== undefined,
    ).length;
    return ejected + 1 <= endpointCount() * MAX_EJECTED_SHARE;
  }

  return {
    recordSuccess(endpoint) {
      const record = find(endpoint);
      record.failureShare *= 1 - FAILURE_WEIGHT;
      if (record.ejectedUntilMs === undefined || record.failureShare > RESTORE_THRESHOLD) return;
      record.ejectedUntilMs = undefined;
      record.ejectionMs = BASE_EJECTION_MS;
    },
    recordFailure(endpoint, weight, nowMs) {
      const record = find(endpoint);
      record.failureShare += FAILURE_WEIGHT * weight * (1 - record.failureShare);
      if (record.failureShare < EJECT_THRESHOLD) return false;
      if (record.ejectedUntilMs === undefined && !canEject()) return false;
      const isNew = record.ejectedUntilMs === undefined;
      record.ejectedUntilMs = nowMs + record.ejectionMs;
      record.ejectionMs = Math.min(MAX_EJECTION_MS, record.ejectionMs * 2);
      return isNew;
    },
    taskLimit(endpoint, nowMs) {
      const ejectedUntilMs = records.get(endpoint)?.ejectedUntilMs;
      if (ejectedUntilMs === undefined) return Infinity;
      return nowMs >= ejectedUntilMs ? 1 : 0;
    },
    isEjected: (endpoint) => records.get(endpoint)?.ejectedUntilMs !== undefined,
    forget(endpoint) {
      records.delete(endpoint);
    },
  };
}
