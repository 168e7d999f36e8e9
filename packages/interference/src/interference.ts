/**
 * Detects which groups of tasks slow each other down on one endpoint, and returns what a placement
 * would cost. See docs/design/interference.md.
 */
import { groupKey, type GroupedTask } from './groupKey.js';
import { createGroupTable, type Group } from './groupTable.js';
import { createPairModel, type PairChange } from './pairModel.js';
import { placementPenaltyMs, type Neighbour } from './placementPenalty.js';
import { runContrasts } from './runContrasts.js';
import { createRunObservation, type LiveRun, type ObservedReport } from './runObservation.js';
import type { SharedPair } from './sharedPair.js';

const REVIEW_INTERVAL_MS = 1_000;

export interface StartedRun {
  readonly endpoint: string;
  /** Unique among the runs on the endpoint. */
  readonly key: string;
  readonly task: GroupedTask;
  readonly expectedMs: number;
  readonly sentMs: number;
}

export interface RunReport extends ObservedReport {
  readonly endpoint: string;
}

export interface InterferenceEvents {
  /** A pair has entered or left force. Groups are given by name. */
  onPairChange(change: NamedPairChange): void;
}

export interface NamedPairChange extends Omit<PairChange, 'target' | 'neighbour'> {
  readonly target: string;
  readonly neighbour: string;
}

export interface Interference {
  started(run: StartedRun): void;
  ended(endpoint: string, key: string, isDone: boolean): void;
  /** Handles a report. The ends that it contains must have been passed before. */
  reported(report: RunReport): void;
  forgetEndpoint(endpoint: string): void;
  pairsInForce(): number;
  /** Returns the group of a task; undefined if it is not in any pair, because it is rarely seen. */
  groupOf(task: GroupedTask): Group | undefined;
  /**
   * Returns the expected loss if a task starts on an endpoint, beside its runs and `starting` ones.
   */
  penaltyMs(
    endpoint: string,
    group: Group,
    runMs: number,
    nowMs: number,
    starting?: readonly Neighbour<Group>[],
  ): number;
  /** Returns the pairs in force for another dispatcher; bounded. */
  exportPairs(nowMs: number): SharedPair[];
  /** Adds pairs of another dispatcher of which nothing is known here. */
  importPairs(pairs: readonly SharedPair[], nowMs: number): void;
  /** Memory of the model in bytes, and number of groups that are remembered. */
  size(): { readonly bytes: number; readonly groups: number };
}

export function createInterference(events: InterferenceEvents): Interference {
  const groups = createGroupTable((index) => {
    model.forget(index);
  });
  const model = createPairModel((change) => {
    const target = groups.at(change.target)?.key ?? '';
    const neighbour = groups.at(change.neighbour)?.key ?? '';
    events.onPairChange({ ...change, target, neighbour });
  });
  let nowMs = 0;
  let reviewedMs = -Infinity;
  const observation = createRunObservation(({ group }, segments, endpoint) => {
    if (group.index === undefined) return;
    model.learn(group.index, runContrasts(segments), endpoint, nowMs);
  });
  const factorOf = (target: Group, neighbour: Group): number =>
    target.index === undefined || neighbour.index === undefined
      ? 1
      : model.factor(target.index, neighbour.index);

  return {
    started({ endpoint, key, task, expectedMs, sentMs }) {
      const group = groups.count(groupKey(task), sentMs);
      observation.started(endpoint, { key, group, sentMs, expectedMs });
    },
    ended(endpoint, key, isDone) {
      observation.ended(endpoint, key, isDone);
    },
    reported(report) {
      nowMs = report.receivedMs;
      observation.reported(report.endpoint, report);
      if (nowMs - reviewedMs < REVIEW_INTERVAL_MS) return;
      reviewedMs = nowMs;
      model.review(nowMs);
    },
    forgetEndpoint(endpoint) {
      observation.forget(endpoint);
    },
    pairsInForce: model.pairsInForce,
    groupOf: (task) => groups.find(groupKey(task)),
    penaltyMs(endpoint, group, runMs, atMs, starting = []) {
      if (model.pairsInForce() === 0) return 0;
      const runs = observation.runsOn(endpoint);
      const remainingMsOf = (run: LiveRun) => observation.remainingMs(run, atMs);
      return (
        placementPenaltyMs(runs, group, runMs, factorOf, remainingMsOf) +
        placementPenaltyMs(starting, group, runMs, factorOf, ({ remainingMs }) => remainingMs)
      );
    },
    exportPairs: (atMs) => model.exportPairs(atMs, (index) => groups.at(index)?.key),
    importPairs(pairs, atMs) {
      for (const pair of pairs) {
        const target = groups.admit(pair.target, atMs);
        const neighbour = groups.admit(pair.neighbour, atMs);
        if (target?.index === undefined || neighbour?.index === undefined) continue;
        model.importPair(target.index, neighbour.index, pair, atMs);
      }
    },
    size: () => ({ bytes: model.bytes(), groups: groups.size() }),
  };
}
