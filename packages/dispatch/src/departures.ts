/**
 * Finds the endpoints that the next dispatcher may not know and that may run tasks: those that leave,
 * and those that have just joined.
 *
 * Fault pattern: the entry of a live endpoint is missing, so it leaves the list while its runs go on,
 * and the dispatcher is lost. The next one would not ask it for runs. An endpoint that has just
 * joined may run tasks of any job.
 *
 * An endpoint that leaves gets no new tasks, so its jobs only become fewer. A list of departures that
 * is a little old therefore still names every job that may have runs on the endpoints that it has.
 */
import type { DepartingEndpoint, EndpointController } from '@celerybarrow/endpoints';
import type { LogContext } from '@celerybarrow/telemetry';
import type { EndpointPool } from './endpointPool.js';
import type { InheritedEndpoints } from './inheritedEndpoints.js';

/** Maximum number of endpoints named in a log line. */
const MAX_NAMED_ENDPOINTS = 5;

export function findDepartures(
  pool: EndpointPool,
  inherited: InheritedEndpoints,
): DepartingEndpoint[] {
  const departures = new Map(inherited.unresolved().map((row) => [row.entry.id, row]));
  for (const controller of pool.controllers()) {
    const entry = controller.entry();
    const earlier = departures.get(entry.id);
    if (entry.isLeaving) {
      const isUnknown = earlier !== undefined && controller.lastReportMs() === undefined;
      if (isUnknown || controller.isEmpty()) continue;
      departures.set(entry.id, { entry, jobs: mergeJobs(jobsOn(controller), earlier) });
    } else if (pool.hasJoined(entry.id)) departures.set(entry.id, { entry });
  }
  return [...departures.values()];
}

/** Returns the jobs that may have runs on an endpoint; undefined before its first report. */
function jobsOn(controller: EndpointController): string[] | undefined {
  if (controller.lastReportMs() === undefined) return undefined;
  const runs = [...controller.runs(), ...controller.orphanedRuns()];
  return runs.map(({ task }) => task.job);
}

function mergeJobs(
  jobs: readonly string[] | undefined,
  earlier: DepartingEndpoint | undefined,
): string[] | undefined {
  if (jobs === undefined || (earlier !== undefined && earlier.jobs === undefined)) return undefined;
  return [...new Set([...jobs, ...(earlier?.jobs ?? [])])].sort();
}

/** Whether a list of departures has every endpoint and every job of another one. */
export function coversDepartures(
  list: readonly DepartingEndpoint[],
  other: readonly DepartingEndpoint[],
): boolean {
  return other.every(({ entry, jobs }) => {
    const known = list.find((row) => isSameEndpoint(row.entry, entry));
    if (known === undefined) return false;
    return known.jobs === undefined || jobs?.every((job) => known.jobs?.includes(job)) === true;
  });
}

function isSameEndpoint(
  a: { readonly id: string; readonly address: string },
  b: { readonly id: string; readonly address: string },
): boolean {
  return a.id === b.id && a.address === b.address;
}

/** Returns the log context of a list of departures. */
export function describeDepartures(departures: readonly DepartingEndpoint[]): LogContext {
  const jobs = new Set(departures.flatMap((row) => row.jobs ?? []));
  return {
    endpoints: departures.length,
    jobs: jobs.size,
    names: departures
      .slice(0, MAX_NAMED_ENDPOINTS)
      .map(({ entry }) => entry.id)
      .join(' '),
  };
}
