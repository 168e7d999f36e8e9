/**
 * Selects which waiting tasks of a job start, and on which endpoints.
 *
 * A task that waits for a busy endpoint although another candidate is free reserves its slot in the
 * forecast. Later tasks, of this or other jobs, then do not wait for the same capacity. A task that
 * no free candidate could serve makes no reservation: with many waiting jobs, reservations would
 * take most of the processor time of a planning pass.
 */
import type { EndpointController } from '@celerybarrow/endpoints';
import type { Resources } from '@celerybarrow/protocol';
import {
  chooseEndpoint,
  expectedRunMs,
  hasCapacityFor,
  type Candidate,
  type PlacementRequest,
} from './chooseEndpoint.js';
import { isStepReady, stepOf, type JobRecord, type TaskRecord } from './jobRecord.js';
import type { CapacityForecast } from './capacityForecast.js';
import type { TaskLoss } from './neighbourLoss.js';
import { quieterEndpoint, type Relocation } from './quieterEndpoint.js';

export interface PlannedStart {
  readonly task: TaskRecord;
  readonly controller: EndpointController;
  /** Set if the task starts on another endpoint than it would without regard to its neighbours. */
  readonly relocation?: Relocation | undefined;
}

/** An endpoint that may get tasks in this planning pass. */
export interface OpenCandidate extends Candidate {
  /** Free capacity, less what the pass has assigned. */
  room: Resources;
  /** How many more tasks may start there. */
  taskLimit: number;
  readonly controller: EndpointController;
}

/** State of a planning pass. Every start updates it. */
export interface PlacementState {
  /** The endpoints with enough free capacity for at least the smallest demand. */
  readonly places: OpenCandidate[];
  /** The least capacity that any waiting task needs. */
  readonly minDemand: Resources;
  readonly minSlowness: number;
  readonly forecast: CapacityForecast;
}

export interface PlacementTerms {
  readonly nowMs: number;
  /** Whether to accept any endpoint on which a task is expected to end before its deadline. */
  readonly isUrgent: boolean;
  /** The latency objective of the job, with its known length. */
  readonly objectiveMs: number;
  /** Returns the expected run time of the tasks of a step on an endpoint of usual speed. */
  readonly baseMs: (step: number) => number;
  /** Returns what the tasks of a step lose beside others; undefined if that is nothing. */
  readonly lossOf?: ((step: number) => TaskLoss | undefined) | undefined;
  readonly otherRackFactor?: number | undefined;
}

/** Plans the starts of ready tasks while there are candidates, and deducts their capacity. */
export function placeTasks(
  record: JobRecord,
  { places: candidates, minDemand, minSlowness, forecast }: PlacementState,
  { nowMs, isUrgent, objectiveMs, baseMs, lossOf, otherRackFactor }: PlacementTerms,
): PlannedStart[] {
  const starts: PlannedStart[] = [];
  /** Steps whose tasks no candidate could serve. */
  const unplaceable = new Set<number>();
  const patienceMs = record.deadlineMs - nowMs;
  for (const task of record.tasks) {
    if (candidates.length === 0) break;
    if (task.isDone || task.run !== undefined || unplaceable.has(task.ref.step)) continue;
    if (!isStepReady(record, task.ref.step)) continue;
    const step = stepOf(record, task);
    let isWaiting = false;
    const request: PlacementRequest = {
      service: record.job.service,
      step,
      baseMs: baseMs(task.ref.step),
      objectiveInMs: objectiveMs - nowMs,
      patienceMs,
      minSlowness,
      otherRackFactor,
      avoided: task.avoided,
      awaitedEndMs: () => {
        isWaiting = true;
        return forecast.earliestEndMs(request);
      },
      tasksOn: (endpoint: string) => countTasksOn(record, task, endpoint, starts),
    };
    const usual =
      candidateFor(task, candidates, request) ??
      (isUrgent
        ? candidateFor(task, candidates, { ...request, objectiveInMs: patienceMs, isUrgent })
        : undefined);
    if (usual === undefined) {
      if (isWaiting) forecast.reserve(request);
      else if (task.avoided.size === 0) unplaceable.add(task.ref.step);
      continue;
    }
    const loss = lossOf?.(task.ref.step);
    const relocation = loss && quieterEndpoint(candidates, request, usual, loss.extraMs);
    const candidate = relocation?.candidate ?? usual;
    starts.push({ task, controller: candidate.controller, relocation });
    loss?.addStart(candidate.entry.id, expectedRunMs(candidate, request));
    forecast.addStart(candidate, request);
    occupy(candidates, candidate, step.demand, minDemand);
  }
  return starts;
}

/** Returns a candidate for a task. It is an avoided endpoint only if no other one is available. */
function candidateFor(
  { avoided }: TaskRecord,
  candidates: readonly OpenCandidate[],
  request: PlacementRequest,
): OpenCandidate | undefined {
  const candidate = chooseEndpoint(candidates, request);
  if (candidate !== undefined || avoided.size === 0) return candidate;
  const open = candidates.filter(({ entry }) => entry.service === request.service);
  if (!open.every(({ entry }) => avoided.has(entry.id))) return undefined;
  return chooseEndpoint(open, { ...request, avoided: new Set() });
}

function countTasksOn(
  record: JobRecord,
  task: TaskRecord,
  endpoint: string,
  starts: readonly PlannedStart[],
): number {
  const isSameStep = (one: TaskRecord) => one.ref.step === task.ref.step;
  const running = record.tasks.filter(
    (other) => isSameStep(other) && other.run !== undefined && other.endpoint === endpoint,
  ).length;
  return (
    running +
    starts.filter((start) => isSameStep(start.task) && start.controller.id === endpoint).length
  );
}

function occupy(
  candidates: OpenCandidate[],
  candidate: OpenCandidate,
  demand: Resources,
  minDemand: Resources,
): void {
  candidate.room = {
    cores: candidate.room.cores - demand.cores,
    memoryMb: candidate.room.memoryMb - demand.memoryMb,
    accelerators: candidate.room.accelerators - demand.accelerators,
  };
  candidate.taskLimit -= 1;
  if (candidate.taskLimit > 0 && hasCapacityFor(candidate.room, minDemand)) return;
  candidates.splice(candidates.indexOf(candidate), 1);
}
