/**
 * Computes the ideal response times of a workload. They are those of one first-in-first-out queue
 * per data centre that knows the state of every slot, takes the fastest free one and needs no
 * messages. Also computes the lower bound for any scheduler: the run time of the job's longest task
 * on the fastest endpoint.
 */
import type { Experiment } from './experimentSchema.js';
import { getDataCentreNames, getEndpointSpeed, type PlannedJob } from './workload.js';

export interface IdealTime {
  readonly responseMs: number;
  readonly boundMs: number;
}

interface Slot {
  readonly speed: number;
  freeAtMs: number;
}

/** Returns the ideal times in the order of the jobs. */
export function computeIdealTimes(
  experiment: Experiment,
  jobs: readonly PlannedJob[],
): IdealTime[] {
  const slotsByDataCentre = new Map(
    getDataCentreNames(experiment).map((name) => [name, createSlots(experiment)]),
  );
  const maxSpeed = Math.max(...experiment.speeds);
  return jobs.map((job) => {
    const slots = slotsByDataCentre.get(job.home) ?? [];
    let endMs = job.atMs;
    let longestMs = 0;
    for (const task of job.tasks) {
      endMs = Math.max(endMs, runOnBestSlot(slots, job.atMs, task.workMs));
      longestMs = Math.max(longestMs, task.workMs);
    }
    return { responseMs: endMs - job.atMs, boundMs: longestMs / maxSpeed };
  });
}

function createSlots(experiment: Experiment): Slot[] {
  const healthyEndpoints = experiment.endpointsEach - experiment.failingEach;
  return Array.from({ length: healthyEndpoints }, (_, index) =>
    Array.from({ length: experiment.slots }, () => ({
      speed: getEndpointSpeed(experiment, index),
      freeAtMs: 0,
    })),
  ).flat();
}

/** Runs a task on the slot that can start it first (the fastest of these); returns its end time. */
function runOnBestSlot(slots: Slot[], arrivalMs: number, workMs: number): number {
  let best: Slot | undefined;
  for (const slot of slots) {
    if (best === undefined || isBetter(slot, best, arrivalMs)) best = slot;
  }
  if (best === undefined) return Number.POSITIVE_INFINITY;
  best.freeAtMs = Math.max(best.freeAtMs, arrivalMs) + workMs / best.speed;
  return best.freeAtMs;
}

function isBetter(slot: Slot, best: Slot, arrivalMs: number): boolean {
  const startMs = Math.max(slot.freeAtMs, arrivalMs);
  const bestStartMs = Math.max(best.freeAtMs, arrivalMs);
  return startMs < bestStartMs || (startMs === bestStartMs && slot.speed > best.speed);
}
