/**
 * Queues the tasks that wait for a slot on one controller. Weighted fair queueing shares the slots
 * among teams: the team with the least work served relative to its weight comes first. Within a
 * team, tasks are ordered by rank.
 */
import TinyQueue from 'tinyqueue';
import type { TaskResult } from '@celerybarrow/protocol';

export interface QueuedTask {
  readonly job: string;
  readonly service: string;
  readonly team: string;
  /** Weight of the team in fair queueing. */
  readonly weight: number;
  readonly index: number;
  readonly name: string;
  readonly kind: string;
  readonly payload: string;
  /** Expected run time at speed 1, milliseconds. */
  readonly expectedMs: number;
  /** Wall-clock time after which the task must not start, milliseconds. */
  readonly startBefore: number;
  /** Within a team, tasks with a lower rank come first. */
  readonly rank: number;
  readonly report: (result: TaskResult) => void;
}

export interface TaskQueue {
  push(task: QueuedTask): void;
  /** Removes and returns the next task of a service, or of any service if undefined. */
  take(service: string | undefined): QueuedTask | undefined;
  /** Removes all waiting tasks of a job. The cost depends only on the number of these tasks. */
  removeJob(job: string): readonly QueuedTask[];
  /** Removes all waiting tasks of a service. */
  removeService(service: string): readonly QueuedTask[];
  /** Returns the number of waiting tasks of a service. */
  count(service: string): number;
  /** Returns the expected run time at speed 1 of a service's waiting tasks, in milliseconds. */
  queuedMs(service: string): number;
  /** Returns the services that have waiting tasks. */
  services(): readonly string[];
  size(): number;
}

interface QueueEntry {
  readonly task: QueuedTask;
  /** Whether the task was removed; a removed entry stays in its heap until it reaches the head. */
  isRemoved: boolean;
}

interface TeamQueue {
  /** Virtual time of the team: work served so far divided by the weight, in milliseconds. */
  virtualTimeMs: number;
  /** Heaps of waiting tasks, by service. */
  readonly places: Map<string, TinyQueue<QueueEntry>>;
}

interface ServiceCount {
  tasks: number;
  workMs: number;
}

export function createTaskQueue(): TaskQueue {
  const teamQueues = new Map<string, TeamQueue>();
  const entriesByJob = new Map<string, Set<QueueEntry>>();
  const counts = new Map<string, ServiceCount>();
  let size = 0;
  /** Highest virtual time at which a team was served. */
  let queueVirtualTimeMs = 0;

  function push(task: QueuedTask): void {
    const teamQueue = getTeamQueue(task.team);
    const heap = teamQueue.places.get(task.service) ?? new TinyQueue<QueueEntry>([], compareRank);
    teamQueue.places.set(task.service, heap);
    const entry = { task, isRemoved: false };
    heap.push(entry);
    const entries = entriesByJob.get(task.job) ?? new Set();
    entriesByJob.set(task.job, entries.add(entry));
    updateCounts(task, 1);
  }

  /**
   * Returns the queue of a team. A team without waiting tasks starts at the current virtual time,
   * so that it gets no credit for the time in which it was idle.
   */
  function getTeamQueue(team: string): TeamQueue {
    const teamQueue = teamQueues.get(team);
    if (teamQueue === undefined) {
      const created = {
        virtualTimeMs: queueVirtualTimeMs,
        places: new Map<string, TinyQueue<QueueEntry>>(),
      };
      teamQueues.set(team, created);
      return created;
    }
    if (teamQueue.places.size === 0)
      teamQueue.virtualTimeMs = Math.max(teamQueue.virtualTimeMs, queueVirtualTimeMs);
    return teamQueue;
  }

  function updateCounts(task: QueuedTask, delta: 1 | -1): void {
    const serviceCount = counts.get(task.service) ?? { tasks: 0, workMs: 0 };
    serviceCount.tasks += delta;
    serviceCount.workMs =
      serviceCount.tasks === 0 ? 0 : serviceCount.workMs + delta * task.expectedMs;
    counts.set(task.service, serviceCount);
    size += delta;
  }

  function take(service: string | undefined): QueuedTask | undefined {
    const found = findNextTeamQueue(service);
    if (found === undefined) return undefined;
    const [teamQueue, name] = found;
    const entry = teamQueue.places.get(name)?.pop();
    if (entry === undefined) return undefined;
    remove(entry);
    queueVirtualTimeMs = Math.max(queueVirtualTimeMs, teamQueue.virtualTimeMs);
    teamQueue.virtualTimeMs += entry.task.expectedMs / entry.task.weight;
    discardRemoved(teamQueue, name);
    return entry.task;
  }

  function findNextTeamQueue(service: string | undefined): [TeamQueue, string] | undefined {
    let best: [TeamQueue, string] | undefined;
    for (const teamQueue of teamQueues.values()) {
      if (best !== undefined && teamQueue.virtualTimeMs >= best[0].virtualTimeMs) continue;
      const name = service ?? teamQueue.places.keys().next().value;
      if (name !== undefined && discardRemoved(teamQueue, name)) best = [teamQueue, name];
    }
    return best;
  }

  /** Discards removed entries at the head of a heap. Returns whether the heap still has entries. */
  function discardRemoved(teamQueue: TeamQueue, service: string): boolean {
    const heap = teamQueue.places.get(service);
    if (heap === undefined) return false;
    while (heap.peek()?.isRemoved === true) heap.pop();
    if (heap.length > 0) return true;
    teamQueue.places.delete(service);
    return false;
  }

  function remove(entry: QueueEntry): void {
    entry.isRemoved = true;
    const entries = entriesByJob.get(entry.task.job);
    entries?.delete(entry);
    if (entries?.size === 0) entriesByJob.delete(entry.task.job);
    updateCounts(entry.task, -1);
  }

  function removeEntries(entries: Iterable<QueueEntry>): readonly QueuedTask[] {
    const removed = [...entries];
    for (const entry of removed) remove(entry);
    return removed.map((entry) => entry.task);
  }

  function* allEntries(): Generator<QueueEntry> {
    for (const entries of entriesByJob.values()) yield* entries;
  }

  return {
    push,
    take,
    removeJob: (job) => removeEntries(entriesByJob.get(job) ?? []),
    removeService: (service) =>
      removeEntries([...allEntries()].filter((entry) => entry.task.service === service)),
    count: (service) => counts.get(service)?.tasks ?? 0,
    queuedMs: (service) => counts.get(service)?.workMs ?? 0,
    services: () =>
      [...counts].filter(([, serviceCount]) => serviceCount.tasks > 0).map(([name]) => name),
    size: () => size,
  };
}

function compareRank(a: QueueEntry, b: QueueEntry): number {
  return a.task.rank - b.task.rank;
}
