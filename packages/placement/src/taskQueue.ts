/**
 * Tasks that wait for a slot at one steward. Teams share the slots by weight: the team that has
 * been served least for its weight comes first, and within a team the tasks go by their rank.
 */
import TinyQueue from 'tinyqueue';
import type { TaskResult } from '@celerybarrow/protocol';

export interface QueuedTask {
  readonly job: string;
  readonly service: string;
  readonly team: string;
  /** Weight of the team when teams compete for slots. */
  readonly weight: number;
  readonly index: number;
  readonly name: string;
  readonly kind: string;
  readonly payload: string;
  /** Expected run time at speed 1, milliseconds. */
  readonly expectedMs: number;
  /** Wall-clock time after which the task must not start, milliseconds. */
  readonly startBefore: number;
  /** Tasks of a lower rank go first within a team. */
  readonly rank: number;
  readonly report: (result: TaskResult) => void;
}

export interface TaskQueue {
  push(task: QueuedTask): void;
  /** Takes the next task for an endpoint of a service, or of any service when undefined. */
  take(service: string | undefined): QueuedTask | undefined;
  /** Removes all waiting tasks of a job, at a cost that depends only on their number. */
  removeJob(job: string): readonly QueuedTask[];
  removeService(service: string): readonly QueuedTask[];
  /** Waiting tasks of a service. */
  count(service: string): number;
  /** Expected work that waits for a service, in milliseconds at speed 1. */
  queuedMs(service: string): number;
  services(): readonly string[];
  size(): number;
}

interface Place {
  readonly task: QueuedTask;
  isRemoved: boolean;
}

interface TeamLine {
  /** Work served so far divided by the weight, in milliseconds. */
  servedMs: number;
  readonly places: Map<string, TinyQueue<Place>>;
}

interface ServiceCount {
  tasks: number;
  workMs: number;
}

export function createTaskQueue(): TaskQueue {
  const lines = new Map<string, TeamLine>();
  const jobs = new Map<string, Set<Place>>();
  const counts = new Map<string, ServiceCount>();
  let size = 0;
  let servedFloorMs = 0;

  function push(task: QueuedTask): void {
    const line = lineOf(task.team);
    const heap = line.places.get(task.service) ?? new TinyQueue<Place>([], compareRank);
    line.places.set(task.service, heap);
    const place = { task, isRemoved: false };
    heap.push(place);
    const places = jobs.get(task.job) ?? new Set();
    jobs.set(task.job, places.add(place));
    count(task, 1);
  }

  /** A team that was idle starts level with the others instead of claiming its unused past. */
  function lineOf(team: string): TeamLine {
    const line = lines.get(team);
    if (line === undefined) {
      const created = { servedMs: servedFloorMs, places: new Map<string, TinyQueue<Place>>() };
      lines.set(team, created);
      return created;
    }
    if (line.places.size === 0) line.servedMs = Math.max(line.servedMs, servedFloorMs);
    return line;
  }

  function count(task: QueuedTask, by: 1 | -1): void {
    const known = counts.get(task.service) ?? { tasks: 0, workMs: 0 };
    known.tasks += by;
    known.workMs = known.tasks === 0 ? 0 : known.workMs + by * task.expectedMs;
    counts.set(task.service, known);
    size += by;
  }

  function take(service: string | undefined): QueuedTask | undefined {
    const found = findLine(service);
    if (found === undefined) return undefined;
    const [line, name] = found;
    const place = line.places.get(name)?.pop();
    if (place === undefined) return undefined;
    remove(place);
    servedFloorMs = Math.max(servedFloorMs, line.servedMs);
    line.servedMs += place.task.expectedMs / place.task.weight;
    trim(line, name);
    return place.task;
  }

  function findLine(service: string | undefined): [TeamLine, string] | undefined {
    let best: [TeamLine, string] | undefined;
    for (const line of lines.values()) {
      if (best !== undefined && line.servedMs >= best[0].servedMs) continue;
      const name = service ?? line.places.keys().next().value;
      if (name !== undefined && trim(line, name)) best = [line, name];
    }
    return best;
  }

  /** Drops removed tasks from the head of a line; false when nothing is left in it. */
  function trim(line: TeamLine, service: string): boolean {
    const heap = line.places.get(service);
    if (heap === undefined) return false;
    while (heap.peek()?.isRemoved === true) heap.pop();
    if (heap.length > 0) return true;
    line.places.delete(service);
    return false;
  }

  function remove(place: Place): void {
    place.isRemoved = true;
    const places = jobs.get(place.task.job);
    places?.delete(place);
    if (places?.size === 0) jobs.delete(place.task.job);
    count(place.task, -1);
  }

  function removeWhere(places: Iterable<Place>): readonly QueuedTask[] {
    const removed = [...places];
    for (const place of removed) remove(place);
    return removed.map((place) => place.task);
  }

  function* allPlaces(): Generator<Place> {
    for (const places of jobs.values()) yield* places;
  }

  return {
    push,
    take,
    removeJob: (job) => removeWhere(jobs.get(job) ?? []),
    removeService: (service) =>
      removeWhere([...allPlaces()].filter((place) => place.task.service === service)),
    count: (service) => counts.get(service)?.tasks ?? 0,
    queuedMs: (service) => counts.get(service)?.workMs ?? 0,
    services: () => [...counts].filter(([, one]) => one.tasks > 0).map(([name]) => name),
    size: () => size,
  };
}

function compareRank(a: Place, b: Place): number {
  return a.task.rank - b.task.rank;
}
