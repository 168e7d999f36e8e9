/**
 * Compares the parts of one run between which its neighbours changed.
 *
 * Load pattern: run times of one group are spread by 0.4, 3% of the jobs take seven times as long,
 * and endpoints differ in speed. All of that applies to a whole run, so it cancels out in the
 * differences between the parts of the run, and none of it has to be estimated.
 */
import type { Group } from './groupTable.js';
import type { Contrast } from './pairModel.js';

/** Spread of the rate within a run for reasons other than its neighbours. */
const RATE_SPREAD = 0.04;
/** Uncertainty of when a neighbour or the run itself started or ended: reports are batched for 4 ms. */
const TIME_ERROR_MS = 4;
/** Variance of the difference of two percentages that are rounded down. */
const ROUNDING_VARIANCE = 1 / 6;
/** Scale of the delays at the start and at the end of a run. */
const DELAY_MS = 20;

/** Part of a run with its average neighbours. */
export interface RunSegment {
  readonly percent: number;
  readonly ms: number;
  /** Time that runs of each group ran beside it, summed over these runs. */
  readonly besideMs: ReadonlyMap<Group, number>;
  readonly isStart: boolean;
  readonly isEnd: boolean;
}

interface Part {
  readonly value: number;
  readonly weight: number;
  readonly common: readonly number[];
  readonly groups: ReadonlyMap<number, number>;
}

/** Returns the difference of each segment from the mean of those before it. They are independent. */
export function runContrasts(segments: readonly RunSegment[]): Contrast[] {
  const contrasts: Contrast[] = [];
  const earlier: Part[] = [];
  let weight = 0;
  for (const segment of segments) {
    const part = toPart(segment);
    if (earlier.length > 0) contrasts.push(contrastOf(part, earlier, weight));
    earlier.push(part);
    weight += part.weight;
  }
  return contrasts;
}

function toPart({ percent, ms, besideMs, isStart, isEnd }: RunSegment): Part {
  const variance = RATE_SPREAD ** 2 + (TIME_ERROR_MS / ms) ** 2 + ROUNDING_VARIANCE / percent ** 2;
  const groups = new Map<number, number>();
  let neighbours = 0;
  for (const [{ index }, groupMs] of besideMs) {
    neighbours += groupMs / ms;
    if (index !== undefined) groups.set(index, groupMs / ms);
  }
  const delay = Math.min(1, DELAY_MS / ms);
  const common = [neighbours, isStart ? delay : 0, isEnd ? delay : 0];
  return { value: Math.log(ms / percent), weight: 1 / variance, common, groups };
}

function contrastOf(part: Part, earlier: readonly Part[], weight: number): Contrast {
  const groups = new Map(part.groups);
  const common: [number, number, number] = [
    part.common[0] ?? 0,
    part.common[1] ?? 0,
    part.common[2] ?? 0,
  ];
  let value = part.value;
  for (const one of earlier) {
    const share = one.weight / weight;
    value -= share * one.value;
    one.common.forEach((amount, feature) => {
      common[feature] = (common[feature] ?? 0) - share * amount;
    });
    for (const [group, amount] of one.groups) {
      groups.set(group, (groups.get(group) ?? 0) - share * amount);
    }
  }
  return { value, variance: 1 / part.weight + 1 / weight, common, groups };
}
