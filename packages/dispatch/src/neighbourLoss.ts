/**
 * Connects the dispatcher to `packages/interference`: passes it the runs and reports, and returns
 * what a task and its neighbours would lose on an endpoint.
 */
import { RunStates, type EndpointController, type Run } from '@celerybarrow/endpoints';
import {
  createInterference,
  type Group,
  type ListedRun,
  type NamedPairChange,
  type Neighbour,
  type SharedPair,
} from '@celerybarrow/interference';
import type { LeasedJob } from '@celerybarrow/protocol';
import type { Logger, Metrics } from '@celerybarrow/telemetry';
import type { ElapsedClock } from '@celerybarrow/timer';
import type { JobRecord, TaskRecord } from './jobRecord.js';

/** Maximum number of log lines about pairs per interval. */
const MAX_LOG_LINES = 20;
const LOG_INTERVAL_MS = 10_000;

/** The loss of the tasks of one step. */
export interface TaskLoss {
  /** Returns the expected loss on an endpoint, for the new task and for those beside it. */
  readonly extraMs: (endpoint: string, runMs: number) => number;
  /** Adds a task that starts in this planning pass. */
  readonly addStart: (endpoint: string, runMs: number) => void;
}

/** Returns the loss of the tasks of a job's step; undefined if no pair concerns them. */
export type PassLosses = (job: LeasedJob) => (step: number) => TaskLoss | undefined;

export interface NeighbourLoss {
  started(record: JobRecord, task: TaskRecord, run: Run, expectedMs: number): void;
  ended(endpoint: string, run: Run, isDone: boolean): void;
  reported(controller: EndpointController | undefined): void;
  forgetEndpoint(endpoint: string): void;
  /** Begins a planning pass; returns undefined while no pair is in force. */
  beginPass(nowMs: number): PassLosses | undefined;
  exportPairs(): SharedPair[];
  importPairs(pairs: readonly SharedPair[]): void;
  close(): void;
}

export interface NeighbourLossOptions {
  readonly clock: ElapsedClock;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

export function createNeighbourLoss(options: NeighbourLossOptions): NeighbourLoss {
  const { clock, logger, metrics } = options;
  let linesSinceMs = -Infinity;
  let lines = 0;
  const interference = createInterference({
    onPairChange(change) {
      metrics.increment('interference.pairs', change.isInForce ? 1 : -1);
      metrics.increment(change.isInForce ? 'interference.learned' : 'interference.dropped');
      logChange(change);
    },
  });

  function logChange(change: NamedPairChange): void {
    const nowMs = clock.nowMs();
    if (nowMs - linesSinceMs >= LOG_INTERVAL_MS) {
      linesSinceMs = nowMs;
      lines = 0;
    }
    lines += 1;
    if (lines > MAX_LOG_LINES) return;
    const { isInForce, target, neighbour, factor, lowerBound, runs, ageMs } = change;
    logger.info(isInForce ? 'Noisy neighbour is learned.' : 'Noisy neighbour is dropped.', {
      target,
      neighbour,
      factor: Number(factor.toFixed(2)),
      lowerBound: Number(lowerBound.toFixed(2)),
      runs,
      ageMs: Math.round(ageMs),
    });
  }

  function keyOf(run: Run): string {
    return `${run.key}#${run.number}`;
  }

  function lossOf(
    group: Group,
    nowMs: number,
    starting: Map<string, Neighbour<Group>[]>,
  ): TaskLoss {
    return {
      extraMs: (endpoint, runMs) =>
        interference.penaltyMs(endpoint, group, runMs, nowMs, starting.get(endpoint)),
      addStart(endpoint, runMs) {
        const neighbour = { group, remainingMs: runMs };
        const known = starting.get(endpoint);
        if (known === undefined) starting.set(endpoint, [neighbour]);
        else known.push(neighbour);
      },
    };
  }

  return {
    started({ job }, task, run, expectedMs) {
      const { step } = task.ref;
      interference.started({
        endpoint: task.endpoint ?? '',
        key: keyOf(run),
        task: { team: job.team, step, cores: run.demand.cores },
        expectedMs,
        sentMs: run.sentMs,
      });
    },
    ended(endpoint, run, isDone) {
      interference.ended(endpoint, keyOf(run), isDone);
    },
    reported(controller) {
      if (controller === undefined) return;
      const listed: { run: Run; clockMs: number; writtenMs: number; percent: number }[] = [];
      let newest: { clockMs: number; writtenMs: number } | undefined;
      for (const run of controller.runs()) {
        if (run.newestListing === undefined) continue;
        listed.push({ run, ...run.newestListing });
        if (newest === undefined || run.newestListing.clockMs > newest.clockMs) {
          newest = run.newestListing;
        }
      }
      const running: ListedRun[] = [];
      for (const { run, clockMs, percent } of listed) {
        if (clockMs !== newest?.clockMs) continue;
        const isStopping = run.state === RunStates.STOPPING;
        running.push({ key: keyOf(run), percent, isStopping });
      }
      interference.reported({
        endpoint: controller.id,
        receivedMs: clock.nowMs(),
        clockMs: newest?.clockMs,
        writtenMs: newest?.writtenMs,
        running,
      });
    },
    forgetEndpoint: interference.forgetEndpoint,
    beginPass(nowMs) {
      if (interference.pairsInForce() === 0) return undefined;
      const starting = new Map<string, Neighbour<Group>[]>();
      return (job) => {
        const losses = new Map<number, TaskLoss | undefined>();
        return (step) => {
          if (losses.has(step)) return losses.get(step);
          const cores = job.steps[step]?.demand.cores ?? 0;
          const group = interference.groupOf({ team: job.team, step, cores });
          const loss = group === undefined ? undefined : lossOf(group, nowMs, starting);
          losses.set(step, loss);
          return loss;
        };
      };
    },
    exportPairs: () => interference.exportPairs(clock.nowMs()),
    importPairs(pairs) {
      interference.importPairs(pairs, clock.nowMs());
    },
    close() {
      metrics.increment('interference.pairs', -interference.pairsInForce());
    },
  };
}
