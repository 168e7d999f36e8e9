/**
 * Estimates for each ordered pair of groups by which factor a neighbour of one group lengthens the
 * runs of the other.
 *
 * Load pattern: a task runs slower while certain tasks run on the same machine. Run times differ far
 * more for other reasons, so the model gets only differences within one run (see `runSegments.ts`).
 *
 * Each target group has a Bayesian linear regression of the log time per percent of progress on what
 * ran beside it, updated recursively (a Kalman filter). The coefficients have a prior around zero,
 * to which they return without evidence. So a pair that is no longer true, or that is no longer
 * seen, is forgotten.
 */
import { MAX_GROUPS } from './groupTable.js';
import type { SharedPair } from './sharedPair.js';

/** Coefficients that are common to all neighbours, before those of the neighbour groups. */
export const Features = {
  /** Number of neighbours of any group: the slowdown that a full machine causes anyway. */
  NEIGHBOURS: 0,
  /** The delay at the start of a run, and at its end. */
  START: 1,
  END: 2,
} as const;
const FIRST_GROUP = 3;
const SIZE = FIRST_GROUP + MAX_GROUPS;

/** Standard deviations of the prior of the log factors. */
const NEIGHBOURS_PRIOR = 0.1;
const DELAY_PRIOR = 0.3;
const GROUP_PRIOR = 0.25;
/**
 * Time constant with which a coefficient returns to its prior. A pair that is kept apart gives no
 * evidence; it leaves force after about 80 s and is examined again.
 */
const RETURN_MS = 150_000;
const RETURN_STEP_MS = 500;
/** Innovations above this many standard deviations count less. */
const MAX_DEVIATIONS = 2.5;
/**
 * A difference within a run above the first factor may be a change of the endpoint's speed, and
 * counts less the larger it is. One above the second factor is such a change: endpoints that turn
 * slow do so by 4 to 8 times.
 */
const USUAL_LOG_CHANGE = Math.log(1.8);
const MAX_LOG_CHANGE = Math.log(3.5);
/**
 * Variance of the differences for reasons other than measurement and neighbours, for example phases
 * of a task. It starts high, so that nothing is concluded before it is known.
 */
const INITIAL_NOISE = 0.2 ** 2;
const MIN_NOISE = 0.03 ** 2;
const MAX_NOISE = 0.8 ** 2;
/** Relative change of that variance for each difference. */
const NOISE_STEP = 0.06;
/** Median of the square of a standard normal variable. */
const MEDIAN_SQUARE = 0.455;
/** A pair enters force when the lower confidence bound of its factor is over this threshold. */
const MIN_FACTOR = 1.15;
const ENTRY_DEVIATIONS = 2.5;
/** It leaves force when the factor, less one standard deviation, is below this. */
const LEAVE_FACTOR = 1.05;
const LEAVE_DEVIATIONS = 1;
/** Evidence that a pair needs, so that one slow endpoint or one odd job is not enough. */
const MIN_RUNS = 4;
const MIN_ENDPOINTS = 3;
/** Exposure to a neighbour from which a difference counts as evidence of the pair. */
const MIN_EXPOSURE = 0.3;
const MAX_SHARED_PAIRS = 32;
/** Factor on the variance of estimates from another dispatcher, which may be out of date. */
const SHARED_VARIANCE_FACTOR = 1.5;
/** Imported estimates apply only to pairs of which less than this share of the prior is known. */
const UNKNOWN_SHARE = 0.8;

/** Difference between two parts of a run. Exposures are by index of `Features` or of the group. */
export interface Contrast {
  /** Difference of the log time per percent, and its variance from the measurement. */
  readonly value: number;
  readonly variance: number;
  readonly common: readonly [neighbours: number, start: number, end: number];
  /** Differences of the average number of neighbours, by index of their group. */
  readonly groups: ReadonlyMap<number, number>;
}

export interface PairChange {
  readonly isInForce: boolean;
  readonly target: number;
  readonly neighbour: number;
  readonly factor: number;
  readonly lowerBound: number;
  readonly runs: number;
  /** Time since the last evidence. */
  readonly ageMs: number;
}

export interface PairModel {
  /** Adds evidence from one run of the target group. */
  learn(target: number, contrasts: readonly Contrast[], endpoint: string, nowMs: number): void;
  /** Lets estimates return to the prior and updates which pairs are in force. */
  review(nowMs: number): void;
  /** Returns the factor on the run time of the target per neighbour; 1 if the pair is not in force. */
  factor(target: number, neighbour: number): number;
  pairsInForce(): number;
  exportPairs(nowMs: number, nameOf: (index: number) => string | undefined): SharedPair[];
  importPair(target: number, neighbour: number, pair: SharedPair, nowMs: number): void;
  /** Forgets everything about the group, because its index gets a new meaning. */
  forget(index: number): void;
  /** Memory of the estimates in bytes. */
  bytes(): number;
}

interface TargetState {
  readonly mean: Float64Array;
  readonly covariance: Float64Array;
  /** Distinct runs that gave evidence, and the endpoints of these runs as a set of 32 hash bits. */
  readonly runs: Uint32Array;
  readonly endpoints: Uint32Array;
  readonly learnedMs: Float64Array;
  noise: number;
  atMs: number;
}

export function createPairModel(onChange: (change: PairChange) => void): PairModel {
  const targets: (TargetState | undefined)[] = Array.from({ length: MAX_GROUPS }, () => undefined);
  /** Factors of the pairs in force, by target and neighbour. */
  const factors = new Float64Array(MAX_GROUPS * MAX_GROUPS).fill(1);
  const product = new Float64Array(SIZE);
  const correlated: number[] = [];
  const exposures: { feature: number; amount: number }[] = [];
  let inForce = 0;

  function stateOf(target: number, nowMs: number): TargetState {
    const known = targets[target];
    if (known !== undefined) return known;
    const created = createTargetState(nowMs);
    targets[target] = created;
    return created;
  }

  function update(state: TargetState, value: number, variance: number, isRobust: boolean): boolean {
    const { mean, covariance } = state;
    let predicted = 0;
    product.fill(0);
    for (const { feature, amount } of exposures) {
      predicted += amount * (mean[feature] ?? 0);
      const row = feature * SIZE;
      for (let column = 0; column < SIZE; column += 1) {
        product[column] = (product[column] ?? 0) + amount * (covariance[row + column] ?? 0);
      }
    }
    const innovation = value - predicted;
    if (isRobust && Math.abs(innovation) > MAX_LOG_CHANGE) return false;
    let explained = 0;
    for (const { feature, amount } of exposures) explained += amount * (product[feature] ?? 0);
    let noise = variance;
    if (isRobust) {
      noise += state.noise;
      // Tracks the median, on which the few differences that neighbours cause have little effect.
      const isAboveMedian = innovation ** 2 > MEDIAN_SQUARE * noise;
      state.noise *= isAboveMedian ? 1 + NOISE_STEP : 1 / (1 + NOISE_STEP);
      state.noise = Math.min(MAX_NOISE, Math.max(MIN_NOISE, state.noise));
      const ratio = innovation ** 2 / (explained + noise);
      noise += (explained + noise) * Math.max(0, ratio / MAX_DEVIATIONS ** 2 - 1);
      noise += Math.max(0, Math.abs(innovation) - USUAL_LOG_CHANGE) ** 2;
    }
    const total = explained + noise;
    // Groups that never ran beside these have no covariance with them.
    correlated.length = 0;
    for (let feature = 0; feature < SIZE; feature += 1) {
      if (product[feature] !== 0) correlated.push(feature);
    }
    for (const row of correlated) {
      const gain = (product[row] ?? 0) / total;
      mean[row] = (mean[row] ?? 0) + gain * innovation;
      const offset = row * SIZE;
      for (const column of correlated) {
        covariance[offset + column] =
          (covariance[offset + column] ?? 0) - gain * (product[column] ?? 0);
      }
    }
    return true;
  }

  function evaluate(
    target: number,
    state: TargetState,
    neighbour: number,
    nowMs: number,
    isInForceElsewhere = false,
  ): void {
    const feature = FIRST_GROUP + neighbour;
    const mean = state.mean[feature] ?? 0;
    const deviation = Math.sqrt(Math.max(0, state.covariance[feature * SIZE + feature] ?? 0));
    const runs = state.runs[feature] ?? 0;
    const place = target * MAX_GROUPS + neighbour;
    const wasInForce = (factors[place] ?? 1) > 1;
    const lowerBound = Math.exp(mean - ENTRY_DEVIATIONS * deviation);
    const hasEvidence =
      runs >= MIN_RUNS && countBits(state.endpoints[feature] ?? 0) >= MIN_ENDPOINTS;
    const isInForce =
      wasInForce || isInForceElsewhere
        ? mean - LEAVE_DEVIATIONS * deviation >= Math.log(LEAVE_FACTOR)
        : hasEvidence && lowerBound > MIN_FACTOR;
    factors[place] = isInForce ? Math.exp(mean) : 1;
    if (isInForce === wasInForce) return;
    inForce += isInForce ? 1 : -1;
    // Evidence is counted again after a pair has left force.
    if (!isInForce) {
      state.runs[feature] = 0;
      state.endpoints[feature] = 0;
    }
    const ageMs = nowMs - (state.learnedMs[feature] ?? nowMs);
    onChange({ isInForce, target, neighbour, factor: Math.exp(mean), lowerBound, runs, ageMs });
  }

  function drop(target: number, neighbour: number): void {
    const place = target * MAX_GROUPS + neighbour;
    const factor = factors[place] ?? 1;
    if (factor === 1) return;
    factors[place] = 1;
    inForce -= 1;
    onChange({ isInForce: false, target, neighbour, factor, lowerBound: 1, runs: 0, ageMs: 0 });
  }

  function setExposures({ common, groups }: Contrast): void {
    exposures.length = 0;
    common.forEach((amount, feature) => {
      if (amount !== 0) exposures.push({ feature, amount });
    });
    for (const [group, amount] of groups) {
      if (amount !== 0) exposures.push({ feature: FIRST_GROUP + group, amount });
    }
  }

  return {
    learn(target, contrasts, endpoint, nowMs) {
      const state = stateOf(target, nowMs);
      returnToPrior(state, nowMs);
      const seen = new Set<number>();
      for (const contrast of contrasts) {
        setExposures(contrast);
        if (!update(state, contrast.value, contrast.variance, true)) continue;
        for (const [group, amount] of contrast.groups) {
          if (Math.abs(amount) >= MIN_EXPOSURE) seen.add(group);
        }
      }
      const endpointBit = 1 << (hash(endpoint) & 31);
      for (const group of seen) {
        const feature = FIRST_GROUP + group;
        state.runs[feature] = (state.runs[feature] ?? 0) + 1;
        state.endpoints[feature] = (state.endpoints[feature] ?? 0) | endpointBit;
        state.learnedMs[feature] = nowMs;
        evaluate(target, state, group, nowMs);
      }
    },
    review(nowMs) {
      targets.forEach((state, target) => {
        if (state === undefined) return;
        returnToPrior(state, nowMs);
        for (let neighbour = 0; neighbour < MAX_GROUPS; neighbour += 1) {
          if ((factors[target * MAX_GROUPS + neighbour] ?? 1) > 1)
            evaluate(target, state, neighbour, nowMs);
        }
      });
    },
    factor: (target, neighbour) => factors[target * MAX_GROUPS + neighbour] ?? 1,
    pairsInForce: () => inForce,
    exportPairs(nowMs, nameOf) {
      const pairs: SharedPair[] = [];
      factors.forEach((factor, place) => {
        if (factor === 1) return;
        const feature = FIRST_GROUP + (place % MAX_GROUPS);
        const state = targets[Math.floor(place / MAX_GROUPS)];
        const target = nameOf(Math.floor(place / MAX_GROUPS));
        const neighbour = nameOf(place % MAX_GROUPS);
        if (state === undefined || target === undefined || neighbour === undefined) return;
        const variance = state.covariance[feature * SIZE + feature] ?? GROUP_PRIOR ** 2;
        const ageMs = Math.round(nowMs - (state.learnedMs[feature] ?? nowMs));
        pairs.push({
          target,
          neighbour,
          factor: Number(factor.toFixed(2)),
          weight: Math.round(1 / Math.max(variance, 1e-6)),
          ageMs,
        });
      });
      return pairs.sort((a, b) => b.factor - a.factor).slice(0, MAX_SHARED_PAIRS);
    },
    importPair(target, neighbour, pair, nowMs) {
      const state = stateOf(target, nowMs);
      returnToPrior(state, nowMs);
      const feature = FIRST_GROUP + neighbour;
      const variance = state.covariance[feature * SIZE + feature] ?? 0;
      // Own evidence takes precedence. It may already be part of the imported estimate.
      if (variance < UNKNOWN_SHARE * GROUP_PRIOR ** 2) return;
      exposures.length = 0;
      exposures.push({ feature, amount: 1 });
      // The estimate has returned to the prior for as long as there was no evidence.
      const kept = Math.exp(-pair.ageMs / RETURN_MS);
      const sharedVariance =
        (kept ** 2 * SHARED_VARIANCE_FACTOR) / pair.weight + (1 - kept ** 2) * GROUP_PRIOR ** 2;
      update(state, kept * Math.log(pair.factor), sharedVariance, false);
      state.runs[feature] = MIN_RUNS;
      state.endpoints[feature] = 2 ** MIN_ENDPOINTS - 1;
      state.learnedMs[feature] = nowMs - pair.ageMs;
      evaluate(target, state, neighbour, nowMs, true);
    },
    forget(index) {
      targets[index] = undefined;
      for (let other = 0; other < MAX_GROUPS; other += 1) {
        drop(index, other);
        drop(other, index);
        const state = targets[other];
        if (state !== undefined) resetFeature(state, FIRST_GROUP + index);
      }
    },
    bytes: () => {
      const perTarget = 8 * (SIZE * SIZE + 2 * SIZE) + 4 * 2 * SIZE;
      return factors.byteLength + perTarget * targets.filter((state) => state !== undefined).length;
    },
  };
}

function priorVariance(feature: number): number {
  if (feature === Features.NEIGHBOURS) return NEIGHBOURS_PRIOR ** 2;
  return feature < FIRST_GROUP ? DELAY_PRIOR ** 2 : GROUP_PRIOR ** 2;
}

function createTargetState(nowMs: number): TargetState {
  const covariance = new Float64Array(SIZE * SIZE);
  for (let feature = 0; feature < SIZE; feature += 1) {
    covariance[feature * SIZE + feature] = priorVariance(feature);
  }
  return {
    mean: new Float64Array(SIZE),
    covariance,
    runs: new Uint32Array(SIZE),
    endpoints: new Uint32Array(SIZE),
    learnedMs: new Float64Array(SIZE),
    noise: INITIAL_NOISE,
    atMs: nowMs,
  };
}

function resetFeature(state: TargetState, feature: number): void {
  for (let other = 0; other < SIZE; other += 1) {
    state.covariance[feature * SIZE + other] = 0;
    state.covariance[other * SIZE + feature] = 0;
  }
  state.covariance[feature * SIZE + feature] = priorVariance(feature);
  state.mean[feature] = 0;
  state.runs[feature] = 0;
  state.endpoints[feature] = 0;
}

/** Moves the estimates towards the prior, as an Ornstein-Uhlenbeck process does. */
function returnToPrior(state: TargetState, nowMs: number): void {
  const elapsedMs = nowMs - state.atMs;
  if (elapsedMs < RETURN_STEP_MS) return;
  state.atMs = nowMs;
  const kept = Math.exp(-elapsedMs / RETURN_MS);
  for (let feature = 0; feature < SIZE; feature += 1) {
    state.mean[feature] = (state.mean[feature] ?? 0) * kept;
  }
  for (let place = 0; place < SIZE * SIZE; place += 1) {
    state.covariance[place] = (state.covariance[place] ?? 0) * kept ** 2;
  }
  for (let feature = 0; feature < SIZE; feature += 1) {
    const place = feature * SIZE + feature;
    state.covariance[place] =
      (state.covariance[place] ?? 0) + (1 - kept ** 2) * priorVariance(feature);
  }
}

function hash(text: string): number {
  let value = 0;
  for (let index = 0; index < text.length; index += 1) {
    value = (Math.imul(value, 31) + text.charCodeAt(index)) | 0;
  }
  return value ^ (value >>> 13);
}

function countBits(bits: number): number {
  let count = 0;
  for (let rest = bits; rest !== 0; rest &= rest - 1) count += 1;
  return count;
}
