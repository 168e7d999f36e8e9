/** In-memory endpoints for the simulated load, on which tasks slow each other down. */
import { Result } from 'true-myth';
import {
  OrderAnswers,
  RunEnds,
  taskKey,
  type EndedTask,
  type EndpointNetwork,
  type RunningTask,
} from '@celerybarrow/endpoints';
import type { ManualTimer } from '@celerybarrow/timer';

/** How tasks on one endpoint slow each other down, and what is measured of it. */
export interface Noise {
  readonly isInterferenceEnabled: boolean;
  factor(team: string, neighbour: string): number;
  /** Called with the time that a task was slowed down by a neighbour, and when that ended. */
  onSlowed(ms: number, nowMs: number): void;
}

interface ActiveRun {
  readonly task: RunningTask;
  /** Run time without neighbours, and how much of it was done when the factor last changed. */
  readonly totalMs: number;
  doneMs: number;
  sinceMs: number;
  factor: number;
  cancelEnd: () => void;
}

/** Creates endpoints on which tasks slow each other down by `factorOf`. */
export function createNoisyNetwork(
  timer: ManualTimer,
  speedOf: (endpoint: string) => number,
  taskMsOf: (job: string, index: number) => number,
  factorOf: (job: string, neighbour: string) => number,
  onSlowed: (ms: number, nowMs: number) => void = () => undefined,
): EndpointNetwork {
  return {
    open(entry) {
      const running = new Map<string, ActiveRun>();
      const ended: EndedTask[] = [];
      let wake = (): void => undefined;
      const doneMs = (active: ActiveRun) =>
        active.doneMs + (timer.nowMs() - active.sinceMs) / active.factor;
      const setFactor = (key: string, active: ActiveRun, factor: number) => {
        if (active.factor > 1) onSlowed(timer.nowMs() - active.sinceMs, timer.nowMs());
        active.doneMs = doneMs(active);
        active.sinceMs = timer.nowMs();
        active.factor = factor;
        active.cancelEnd();
        active.cancelEnd = timer.onAfter((active.totalMs - active.doneMs) * factor, () => {
          if (running.get(key) === active) end(key, RunEnds.DONE);
        });
      };
      const updateFactors = () => {
        for (const [key, active] of running) {
          let factor = 1;
          for (const other of running.values()) {
            if (other !== active) factor *= factorOf(active.task.task.job, other.task.task.job);
          }
          if (factor !== active.factor) setFactor(key, active, factor);
        }
      };
      const end = (key: string, state: EndedTask['end']) => {
        const active = running.get(key);
        if (active === undefined) return;
        if (active.factor > 1) onSlowed(timer.nowMs() - active.sinceMs, timer.nowMs());
        running.delete(key);
        updateFactors();
        const { task, run } = active.task;
        ended.push({ number: ended.length + 1, task, run, end: state });
        wake();
      };
      return {
        async start({ task, run }) {
          await timer.sleep(1);
          const totalMs = taskMsOf(task.job, task.index) / speedOf(entry.id);
          const key = taskKey(task);
          const active: ActiveRun = {
            task: { task, run, percent: 0 },
            totalMs,
            doneMs: 0,
            sinceMs: timer.nowMs(),
            factor: 1,
            cancelEnd: () => undefined,
          };
          running.set(key, active);
          setFactor(key, active, 1);
          updateFactors();
          return Result.ok(OrderAnswers.ACCEPTED);
        },
        async stop({ task }) {
          await timer.sleep(1);
          end(taskKey(task), RunEnds.STOPPED);
          return Result.ok(OrderAnswers.ACCEPTED);
        },
        async renew({ endsSeen = 0, waitMs }) {
          await timer.sleep(1);
          if (ended.length <= endsSeen && waitMs > 0) {
            await new Promise<void>((resolve) => {
              const cancel = timer.onAfter(waitMs, resolve);
              wake = () => {
                cancel();
                resolve();
              };
            });
          }
          const report = {
            clockMs: timer.nowMs() + 1_000,
            bornMs: 1,
            running: [...running.values()].map((active) => ({
              ...active.task,
              percent: Math.floor((100 * doneMs(active)) / active.totalMs),
            })),
            ended: ended.slice(endsSeen),
          };
          return Result.ok({ answer: OrderAnswers.ACCEPTED, report });
        },
        close: () => undefined,
      };
    },
  };
}
