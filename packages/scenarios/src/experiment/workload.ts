/** Generates open-loop job arrivals from a seed, so that every policy gets the same workload. */
import { createRandom, type Random } from '@celerybarrow/shared';
import type { Experiment } from './experimentSchema.js';

const BURST_PERIOD_MS = 2_000;
const BURST_SHARE = 0.25;

export interface PlannedTask {
  readonly kind: string;
  /** Run time at speed 1, in milliseconds. */
  readonly workMs: number;
}

export interface PlannedJob {
  readonly atMs: number;
  readonly home: string;
  readonly team: string;
  readonly tasks: readonly PlannedTask[];
}

export function getDataCentreNames(experiment: Experiment): string[] {
  return Array.from({ length: experiment.dataCentres }, (_, index) => `dc${index + 1}`);
}

export function getEndpointSpeed(experiment: Experiment, endpoint: number): number {
  return experiment.speeds[endpoint % experiment.speeds.length] ?? 1;
}

export function planWorkload(experiment: Experiment): PlannedJob[] {
  const random = createRandom(experiment.seed);
  const jobs: PlannedJob[] = [];
  const meanGapMs = computeMeanJobMs(experiment) / (computeCapacity(experiment) * experiment.load);
  const names = getDataCentreNames(experiment);
  for (let atMs = 0; ;) {
    atMs += -Math.log(1 - random.next()) * (meanGapMs / getArrivalIntensity(experiment, atMs));
    if (atMs > experiment.durationMs) return jobs;
    jobs.push({
      atMs,
      home: names[Math.floor(random.next() * names.length)] ?? 'dc1',
      team: `team${Math.floor(random.next() * experiment.teams) + 1}`,
      tasks: drawTasks(experiment, random),
    });
  }
}

/** Returns the sum of the speeds of all slots on endpoints that do not fail every task. */
function computeCapacity(experiment: Experiment): number {
  let capacity = 0;
  for (let index = 0; index < experiment.endpointsEach - experiment.failingEach; index += 1) {
    capacity += experiment.slots * getEndpointSpeed(experiment, index);
  }
  return capacity * experiment.dataCentres;
}

function computeMeanJobMs(experiment: Experiment): number {
  const kinds = Object.values(experiment.kinds);
  const totalShare = kinds.reduce((sum, kind) => sum + kind.share, 0);
  const meanTaskMs = kinds.reduce(
    (sum, kind) => sum + (kind.share / totalShare) * kind.medianMs * Math.exp(kind.sigma ** 2 / 2),
    0,
  );
  return meanTaskMs * computeMeanTaskCount(experiment);
}

function computeMeanTaskCount({ tasksPerJob }: Experiment): number {
  const { mean, most } = tasksPerJob;
  return mean * (1 - Math.exp(-most / mean));
}

function getArrivalIntensity(experiment: Experiment, atMs: number): number {
  if (experiment.arrivals === 'dawn') return 0.4 + (1.2 * atMs) / experiment.durationMs;
  if (experiment.arrivals === 'steady') return 1;
  const isBurst = atMs % BURST_PERIOD_MS < BURST_PERIOD_MS * BURST_SHARE;
  return isBurst ? 2.2 : 0.6;
}

function drawTasks(experiment: Experiment, random: Random): PlannedTask[] {
  const { mean, most } = experiment.tasksPerJob;
  const count = Math.min(most, Math.max(1, Math.ceil(-Math.log(1 - random.next()) * mean)));
  return Array.from({ length: count }, () => drawTask(experiment, random));
}

function drawTask(experiment: Experiment, random: Random): PlannedTask {
  const kinds = Object.entries(experiment.kinds);
  const totalShare = kinds.reduce((sum, [, kind]) => sum + kind.share, 0);
  let remainingShare = random.next() * totalShare;
  for (const [name, kind] of kinds) {
    remainingShare -= kind.share;
    if (remainingShare > 0) continue;
    const normal =
      Math.sqrt(-2 * Math.log(1 - random.next())) * Math.cos(2 * Math.PI * random.next());
    return {
      kind: name,
      workMs: Math.max(1, Math.round(kind.medianMs * Math.exp(kind.sigma * normal))),
    };
  }
  return { kind: kinds[0]?.[0] ?? 'stamp', workMs: 1 };
}
