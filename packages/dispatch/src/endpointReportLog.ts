/** Logs changes of the endpoint list, and when all endpoints have sent their first report. */
import type { EndpointEntry } from '@celerybarrow/endpoints';
import type { Logger } from '@celerybarrow/telemetry';
import type { ElapsedClock } from '@celerybarrow/timer';
import { RECONCILIATION_TIMEOUT_MS } from './reconciliation.js';
import type { EndpointPool } from './endpointPool.js';

/** Stops watching for first reports after this time, when no job waits for them any more. */
const WATCH_PERIOD_MS = 5_000;
/** Maximum number of endpoints named in a log line. */
const MAX_NAMED_ENDPOINTS = 5;

export interface EndpointReportLog {
  /** Logs the difference to the previous list. Call it before the pool gets the new list. */
  logListChange(entries: readonly EndpointEntry[]): void;
  /** Logs once when all endpoints have reported, and once which of them did not report in time. */
  logReports(): void;
}

export interface EndpointReportLogOptions {
  readonly pool: EndpointPool;
  readonly clock: ElapsedClock;
  readonly logger: Logger;
}

export function createEndpointReportLog({
  pool,
  clock,
  logger,
}: EndpointReportLogOptions): EndpointReportLog {
  const createdMs = clock.nowMs();
  let listed: ReadonlySet<string> = new Set();
  let isFinished = false;
  let isTimeoutLogged = false;

  function logListChange(entries: readonly EndpointEntry[]): void {
    const next = new Set(entries.map((entry) => entry.id));
    const added = [...next].filter((id) => !listed.has(id));
    const gone = [...listed].filter((id) => !next.has(id));
    listed = next;
    if (added.length + gone.length === 0) return;
    logger.info('List of endpoints has changed.', {
      listed: next.size,
      added: added.length,
      gone: gone.length,
      addedNames: namesOf(added),
      goneNames: namesOf(gone),
      dispatcherAgeMs: Math.round(clock.nowMs() - createdMs),
    });
  }

  function logReports(): void {
    if (isFinished || pool.size() === 0) return;
    const controllers = [...pool.controllers()];
    const silent = controllers
      .filter((controller) => controller.lastReportMs() === undefined)
      .map((controller) => controller.id);
    const foreign = controllers.reduce(
      (sum, controller) => sum + [...controller.orphanedRuns()].length,
      0,
    );
    const dispatcherAgeMs = Math.round(clock.nowMs() - createdMs);
    const poolContext = { listed: controllers.length, foreign, dispatcherAgeMs };
    if (silent.length === 0) {
      isFinished = true;
      logger.info('All endpoints have reported.', poolContext);
    } else if (!isTimeoutLogged && dispatcherAgeMs > RECONCILIATION_TIMEOUT_MS) {
      isTimeoutLogged = true;
      const names = namesOf(silent);
      logger.warn('Endpoints have not reported.', { ...poolContext, silent: silent.length, names });
    } else if (dispatcherAgeMs > WATCH_PERIOD_MS) isFinished = true;
  }

  return { logListChange, logReports };
}

function namesOf(ids: readonly string[]): string | undefined {
  return ids.length === 0 ? undefined : ids.slice(0, MAX_NAMED_ENDPOINTS).join(' ');
}
