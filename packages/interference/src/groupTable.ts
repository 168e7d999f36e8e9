/**
 * Assigns a bounded number of indexes to the groups that are seen most often.
 *
 * Load pattern: callers may submit tasks under any number of team names. A group gets an index on
 * its second task, and takes the index of another one only if it is seen clearly more often. Groups
 * without an index are treated as one unknown group.
 */

export const MAX_GROUPS = 48;
/** Maximum number of groups without an index whose tasks are counted. */
const MAX_CANDIDATES = 4 * MAX_GROUPS;
const MIN_TASKS = 2;
/** Half-life of the task count of a group. */
const COUNT_HALF_LIFE_MS = 60_000;
/** Factor by which a group must be seen more often to take the index of another one. */
const REPLACEMENT_FACTOR = 2;

export interface Group {
  readonly key: string;
  /** Undefined for a group that is not among the most frequent ones. */
  readonly index: number | undefined;
}

export interface GroupTable {
  /** Returns the group of a task that starts, and counts the task. */
  count(key: string, nowMs: number): Group;
  /** Returns a group with an index, and assigns one if any is free. */
  admit(key: string, nowMs: number): Group | undefined;
  /** Returns a group that has an index. */
  find(key: string): Group | undefined;
  at(index: number): Group | undefined;
  /** Number of groups that the table remembers. */
  size(): number;
}

interface CountedGroup extends Group {
  index: number | undefined;
  tasks: number;
  countedMs: number;
}

/** `onReplaced` is called when an index is about to be assigned to another group. */
export function createGroupTable(onReplaced: (index: number) => void): GroupTable {
  const groups = new Map<string, CountedGroup>();
  const candidates = new Map<string, CountedGroup>();
  const indexed: CountedGroup[] = [];

  function tasksOf(group: CountedGroup, nowMs: number): number {
    return group.tasks * 0.5 ** ((nowMs - group.countedMs) / COUNT_HALF_LIFE_MS);
  }

  function addTask(group: CountedGroup, nowMs: number): void {
    group.tasks = tasksOf(group, nowMs) + 1;
    group.countedMs = nowMs;
  }

  function candidateOf(key: string, nowMs: number): CountedGroup {
    const known = candidates.get(key);
    if (known !== undefined) return known;
    const created: CountedGroup = { key, index: undefined, tasks: 0, countedMs: nowMs };
    if (candidates.size >= MAX_CANDIDATES) {
      const [oldest] = candidates.keys();
      if (oldest !== undefined) candidates.delete(oldest);
    }
    candidates.set(key, created);
    return created;
  }

  function assign(group: CountedGroup, index: number): void {
    candidates.delete(group.key);
    group.index = index;
    indexed[index] = group;
    groups.set(group.key, group);
  }

  function promote(candidate: CountedGroup, nowMs: number): void {
    if (candidate.tasks < MIN_TASKS) return;
    let index = indexed.length;
    if (index >= MAX_GROUPS) {
      const rarest = indexed.reduce((a, b) => (tasksOf(b, nowMs) < tasksOf(a, nowMs) ? b : a));
      if (candidate.tasks < REPLACEMENT_FACTOR * tasksOf(rarest, nowMs)) return;
      index = rarest.index ?? 0;
      onReplaced(index);
      groups.delete(rarest.key);
      rarest.index = undefined;
    }
    assign(candidate, index);
  }

  return {
    count(key, nowMs) {
      const known = groups.get(key);
      if (known !== undefined) {
        addTask(known, nowMs);
        return known;
      }
      const candidate = candidateOf(key, nowMs);
      addTask(candidate, nowMs);
      promote(candidate, nowMs);
      return candidate;
    },
    admit(key, nowMs) {
      const known = groups.get(key);
      if (known !== undefined || indexed.length >= MAX_GROUPS) return known;
      const group = candidates.get(key) ?? { key, index: undefined, tasks: 0, countedMs: nowMs };
      assign(group, indexed.length);
      return group;
    },
    find: (key) => groups.get(key),
    at: (index) => indexed[index],
    size: () => groups.size + candidates.size,
  };
}
