/** The loads of a scenario: callers behind a load balancer that sends jobs to ready instances. */
import { setTimeout as delay } from 'node:timers/promises';
import type { Callers, JobAnswer } from './callers.js';
import { isReady } from './conditions.js';
import type { FleetInstance } from './fleet.js';

const MAX_SAMPLES = 3;
const MAX_SAMPLE_LENGTH = 200;

export interface LoadStep {
  readonly as: string;
  readonly home: string;
  readonly perSecond: number;
  readonly tasks: number;
  readonly workMs: number;
}

export interface Loads {
  start(step: LoadStep): void;
  /** Stops sending jobs and waits for the outstanding answers. */
  end(name: string): Promise<void>;
  /** Stops sending jobs in all loads that are still running. */
  stopAll(): void;
  ended(): Promise<void>;
  answers(name: string): readonly JobAnswer[];
  /** Throws when more than `allowed` answers were not complete. */
  expectComplete(name: string, allowed: number): void;
}

interface Load {
  isRunning: boolean;
  readonly answers: JobAnswer[];
  ended: Promise<void>;
}

export function createLoads(
  callers: Callers,
  listRunningInstances: () => readonly FleetInstance[],
): Loads {
  const loads = new Map<string, Load>();

  function start(step: LoadStep): void {
    const load: Load = { isRunning: true, answers: [], ended: Promise.resolve() };
    loads.set(step.as, load);
    load.ended = sendJobs(step, load);
  }

  async function sendJobs(step: LoadStep, load: Load): Promise<void> {
    const pendingAnswers: Promise<void>[] = [];
    for (let jobIndex = 0; load.isRunning; jobIndex += 1) {
      const ready = await findReadyInstances();
      const target = ready[jobIndex % Math.max(1, ready.length)];
      if (target !== undefined) {
        const created = callers.create({ ...step, kind: 'stamp' });
        pendingAnswers.push(
          callers.send(created, target.listen).then((answer) => void load.answers.push(answer)),
        );
      }
      await delay(1_000 / step.perSecond);
    }
    await Promise.all(pendingAnswers);
  }

  async function findReadyInstances(): Promise<FleetInstance[]> {
    const instances = listRunningInstances();
    const ready = await Promise.all(instances.map((instance) => isReady(instance.operate)));
    return instances.filter((_, index) => ready[index]);
  }

  function getLoad(name: string): Load {
    const found = loads.get(name);
    if (found === undefined) throw new Error(`load ${name} has not been started`);
    return found;
  }

  return {
    start,
    async end(name) {
      const load = getLoad(name);
      load.isRunning = false;
      await load.ended;
    },
    stopAll() {
      for (const load of loads.values()) load.isRunning = false;
    },
    async ended() {
      await Promise.all([...loads.values()].map((load) => load.ended));
    },
    answers: (name) => getLoad(name).answers,
    expectComplete(name, allowed) {
      const incomplete = getLoad(name).answers.filter((answer) => answer.outcome !== 'complete');
      if (incomplete.length <= allowed) return;
      const samples = incomplete
        .slice(0, MAX_SAMPLES)
        .map((answer) => `${answer.job.id}: ${answer.text.slice(0, MAX_SAMPLE_LENGTH)}`);
      throw new Error(
        `${incomplete.length} answers of ${name} were not complete: ${samples.join(' | ')}`,
      );
    },
  };
}
