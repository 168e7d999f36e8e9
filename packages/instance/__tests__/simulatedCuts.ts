/**
 * Cuts of the network between instances that are as long as the time limits of failure detection, cut
 * one direction only, or delay messages, and jobs that wait for capacity when a cut begins.
 */
import type { Random } from '@celerybarrow/shared';

/** Around the heartbeat timeouts, the lease of a gateway, and the keepalive timeout. */
const MIN_SHORT_CUT_MS = 150;
const MAX_SHORT_CUT_MS = 900;
const BURST_JOBS = 15;
const BURST_MS = 150;

export const CutFaultKinds = ['shortCuts', 'oneWayCuts', 'lateMessages', 'waitingTasks'] as const;
export type CutFaultKind = (typeof CutFaultKinds)[number];

/** Kinds that change how other faults proceed, and are no faults by themselves. */
export function isModifier(kind: string): boolean {
  return kind === 'lateMessages' || kind === 'waitingTasks';
}

export interface Place {
  readonly name: string;
  readonly zone: string;
}

/** Messages in one direction between a data centre, or an instance, and all others are cut. */
export interface OneWayCut {
  readonly zone: string;
  /** The only instance that is cut; the whole data centre if undefined. */
  readonly instance: string | undefined;
  /** Whether the messages of the data centre or the instance are cut, or those to it. */
  readonly isOutbound: boolean;
  readonly isWithoutStore: boolean;
  /** Whether messages between dispatchers and endpoints are cut as well. */
  readonly coversEndpoints: boolean;
}

export function isInside(cut: OneWayCut, { name, zone }: Place): boolean {
  return cut.instance === undefined ? zone === cut.zone : name === cut.instance;
}

export function isCut(cut: OneWayCut | undefined, from: Place, to: Place): boolean {
  if (cut === undefined || isInside(cut, from) === isInside(cut, to)) return false;
  return isInside(cut, from) === cut.isOutbound;
}

export function drawCutMs(random: Random): number {
  return MIN_SHORT_CUT_MS + (MAX_SHORT_CUT_MS - MIN_SHORT_CUT_MS) * random.next();
}

export function drawOneWayCut(random: Random, place: Place): OneWayCut {
  return {
    zone: place.zone,
    instance: random.next() < 0.5 ? place.name : undefined,
    isOutbound: random.next() < 0.5,
    isWithoutStore: random.next() < 0.75,
    coversEndpoints: random.next() < 0.5,
  };
}

/** Returns after which delays jobs are submitted at the start of a cut. */
export function drawBurst(random: Random): number[] {
  return Array.from({ length: BURST_JOBS }, () => BURST_MS * random.next());
}
