/**
 * The endpoints on which an earlier dispatcher may have left runs although they have left its list.
 *
 * Such an endpoint is asked for its runs like every listed one, but only the jobs that may have runs
 * there wait for its answer. If it does not answer, they wait until all leases have expired that the
 * earlier dispatcher can have granted.
 */
import type { DepartingEndpoint } from '@celerybarrow/endpoints';
import type { MonotonicClock } from '@celerybarrow/timer';
import type { EndpointPool } from './endpointPool.js';

/** Without renewal by their dispatcher, all orphaned runs have terminated after this time. */
export const ORPHANED_RUN_LIFETIME_MS = 1_700;

export interface InheritedEndpoints {
  /** Asks the departing endpoints of an earlier dispatcher for their runs. */
  take(departures: readonly DepartingEndpoint[]): void;
  /** Records that a job may have runs on an endpoint of which nothing but the id is known. */
  takeUnknown(endpoint: string, job: string): void;
  /** Whether an earlier dispatcher named the job among those that may have runs on an endpoint. */
  isNamed(job: string): boolean;
  /** Whether an endpoint is only inherited: the current list does not have it. */
  isBesideList(endpoint: string): boolean;
  /** Returns the inherited endpoints that may have runs of the job, and that have not reported since. */
  unreported(job: string, sinceMs: number): readonly string[];
  /** Returns when no run is left on any of these endpoints, on the monotonic clock. */
  expiryMs(endpoints: readonly string[]): number;
  /** Returns the endpoints that may still have runs, for the next dispatcher. */
  unresolved(): readonly DepartingEndpoint[];
  /** Drops the endpoints on which no run is left. */
  review(): void;
}

interface InheritedEndpoint {
  /** Undefined if only the id is known. */
  readonly entry: DepartingEndpoint['entry'] | undefined;
  /** Undefined if any job may have runs there. */
  readonly jobs: ReadonlySet<string> | undefined;
  readonly expiryMs: number;
}

export function createInheritedEndpoints(
  pool: EndpointPool,
  clock: MonotonicClock,
): InheritedEndpoints {
  const endpoints = new Map<string, InheritedEndpoint>();

  function take(departures: readonly DepartingEndpoint[]): void {
    const expiryMs = clock.nowMs() + ORPHANED_RUN_LIFETIME_MS;
    for (const { entry, jobs } of departures) {
      const known = endpoints.get(entry.id)?.jobs;
      const merged = jobs === undefined ? undefined : new Set([...jobs, ...(known ?? [])]);
      endpoints.set(entry.id, { entry, jobs: merged, expiryMs });
      pool.keep(entry);
    }
  }

  function takeUnknown(endpoint: string, job: string): void {
    const known = endpoints.get(endpoint);
    if (known !== undefined && known.jobs === undefined) return;
    const jobs = new Set([...(known?.jobs ?? []), job]);
    const expiryMs = known?.expiryMs ?? clock.nowMs() + ORPHANED_RUN_LIFETIME_MS;
    endpoints.set(endpoint, { entry: known?.entry, jobs, expiryMs });
  }

  /** Returns when the endpoint was last asked and answered; undefined if it was not. */
  function lastReportMs(id: string, { entry }: InheritedEndpoint): number | undefined {
    const controller = pool.find(id);
    // A controller of another address asks the next incarnation of the endpoint.
    if (controller === undefined || controller.entry().address !== entry?.address) return undefined;
    return controller.lastReportMs();
  }

  return {
    take,
    takeUnknown,
    isNamed: (job) => [...endpoints.values()].some(({ jobs }) => jobs?.has(job) === true),
    isBesideList: (endpoint) => endpoints.has(endpoint) && !pool.isListed(endpoint),
    unreported: (job, sinceMs) =>
      [...endpoints]
        .filter(([, { jobs }]) => jobs === undefined || jobs.has(job))
        .filter(([id, inherited]) => {
          const reportMs = lastReportMs(id, inherited);
          return reportMs === undefined || reportMs < sinceMs;
        })
        .map(([id]) => id),
    expiryMs: (ids) => Math.max(...ids.map((id) => endpoints.get(id)?.expiryMs ?? -Infinity)),
    unresolved: () =>
      [...endpoints.values()].flatMap(({ entry, jobs }) =>
        entry === undefined ? [] : [{ entry, jobs: jobs && [...jobs] }],
      ),
    review() {
      for (const [id, inherited] of endpoints) {
        // An endpoint that has reported ignores the earlier dispatcher, so nothing starts there.
        const isEmpty =
          lastReportMs(id, inherited) !== undefined && pool.find(id)?.isEmpty() === true;
        if (isEmpty || clock.nowMs() >= inherited.expiryMs) endpoints.delete(id);
      }
    },
  };
}
