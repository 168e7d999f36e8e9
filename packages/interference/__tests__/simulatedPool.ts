/**
 * Simulates endpoints whose tasks slow each other down, and reports of their progress. The slots are
 * refilled with tasks of random groups, so each run has changing neighbours.
 */
import { createRandom, type Random } from '@celerybarrow/shared';
import type { Interference, GroupedTask } from '../src/index.js';

const REPORT_INTERVAL_MS = 280;
const STEP_MS = 1;

export interface PoolOptions {
  readonly seed: number;
  readonly groups: number;
  readonly endpoints: number;
  readonly slots: number;
  /** Mean pause until a slot is used again. */
  readonly pauseMs: number;
  readonly meanMs: number;
  /** Returns the factor on the run time of a group beside another. */
  factor(target: number, neighbour: number, nowMs: number): number;
  slowness?(endpoint: number, nowMs: number): number;
  teamOf?(group: number, started: number): string;
  /** Spread of the rate between the quarters of a run, and delay before its progress begins. */
  readonly phaseSpread?: number;
  readonly startDelayMs?: number;
  /** Interval at which an endpoint restarts: its runs are lost and its clock begins again. */
  readonly restartMs?: number;
}

interface SimulatedRun {
  readonly key: string;
  readonly group: number;
  readonly lengthMs: number;
  readonly phases: readonly number[];
  doneMs: number;
}

export interface SimulatedPool {
  advance(interference: Interference, untilMs: number): void;
  /** Number of started runs by group. */
  readonly started: number[];
  nowMs(): number;
}

export function taskOf(team: string): GroupedTask {
  return { team, step: 0, cores: 14_000 };
}

function sampleNormal(random: Random): number {
  const radius = Math.sqrt(-2 * Math.log(1 - random.next()));
  return radius * Math.cos(2 * Math.PI * random.next());
}

/** Returns a length with log-normal spread 0.4, of which 3% are seven times as long. */
export function sampleLength(random: Random, meanMs: number): number {
  return meanMs * Math.exp(0.4 * sampleNormal(random)) * (random.next() < 0.03 ? 7 : 1);
}

export function createSimulatedPool(options: PoolOptions): SimulatedPool {
  const random = createRandom(options.seed);
  const started = Array.from({ length: options.groups }, () => 0);
  const { slowness = () => 1, teamOf = (group: number) => `team-${group}` } = options;
  const endpoints = Array.from({ length: options.endpoints }, (_, index) => ({
    index,
    id: `e${index}`,
    runs: [] as SimulatedRun[],
    idleUntilMs: Array.from({ length: options.slots }, () => random.next() * options.pauseMs * 2),
    reportedMs: 0,
    /** The endpoint's clock differs from the local clock. */
    clockAheadMs: 1_000 * (index + 1),
  }));
  let nowMs = 0;
  let count = 0;

  function step(interference: Interference): void {
    nowMs += STEP_MS;
    for (const endpoint of endpoints) {
      const { id, runs, index } = endpoint;
      if (nowMs % (options.restartMs ?? Infinity) === index) restart(interference, endpoint);
      for (const run of runs) {
        let factor = slowness(index, nowMs);
        for (const other of runs) {
          if (other !== run) factor *= options.factor(run.group, other.group, nowMs);
        }
        factor *= run.phases[Math.floor((4 * run.doneMs) / run.lengthMs)] ?? 1;
        run.doneMs += STEP_MS / factor;
      }
      const ended = runs.filter((run) => run.doneMs >= run.lengthMs);
      for (const run of ended) {
        runs.splice(runs.indexOf(run), 1);
        endpoint.idleUntilMs.push(nowMs - 2 * options.pauseMs * Math.log(1 - random.next()) * 0.5);
        interference.ended(id, run.key, true);
      }
      if (ended.length > 0 || nowMs - endpoint.reportedMs >= REPORT_INTERVAL_MS) {
        endpoint.reportedMs = nowMs;
        const running = runs.map(({ key, doneMs, lengthMs }) => {
          return {
            key,
            percent: Math.max(0, Math.floor((100 * doneMs) / lengthMs)),
            isStopping: false,
          };
        });
        const clockMs = nowMs + endpoint.clockAheadMs;
        const clocks = runs.length === 0 ? {} : { clockMs, writtenMs: nowMs };
        interference.reported({ endpoint: id, receivedMs: nowMs + 1, ...clocks, running });
      }
      const due = endpoint.idleUntilMs.filter((untilMs) => untilMs <= nowMs);
      endpoint.idleUntilMs = endpoint.idleUntilMs.filter((untilMs) => untilMs > nowMs);
      due.forEach(() => {
        start(interference, endpoint);
      });
    }
  }

  function restart(interference: Interference, endpoint: (typeof endpoints)[number]): void {
    for (const { key } of endpoint.runs.splice(0)) {
      interference.ended(endpoint.id, key, false);
      endpoint.idleUntilMs.push(nowMs + 100);
    }
    endpoint.clockAheadMs = -nowMs;
  }

  function start(interference: Interference, { id, runs }: { id: string; runs: SimulatedRun[] }) {
    const group = Math.floor(random.next() * options.groups);
    const lengthMs = sampleLength(random, options.meanMs);
    const spread = options.phaseSpread ?? 0;
    const phases = [1, 2, 3, 4].map(() => Math.exp(spread * sampleNormal(random)));
    const doneMs = -(options.startDelayMs ?? 0);
    const run = { key: `r${count}`, group, lengthMs, phases, doneMs };
    count += 1;
    started[group] = (started[group] ?? 0) + 1;
    runs.push(run);
    const task = taskOf(teamOf(group, count));
    interference.started({ endpoint: id, key: run.key, task, expectedMs: 200, sentMs: nowMs });
  }

  return {
    started,
    nowMs: () => nowMs,
    advance(interference, untilMs) {
      while (nowMs < untilMs) step(interference);
    },
  };
}
