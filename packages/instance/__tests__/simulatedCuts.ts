/**
 * Cuts of the network between instances that are as long as the time limits of failure detection, or cut
 * one direction only, and jobs that wait for capacity when a cut begins.
 */
import type { Random } from '@celerybarrow/shared';
import type { ManualTimer } from '@celerybarrow/timer';
import type { SimulatedEnvironment, SimulatedInstance } from './simulatedInstance.js';

/** Around the heartbeat timeouts, the lease of a gateway, and the keepalive timeout. */
const MIN_SHORT_CUT_MS = 150;
const MAX_SHORT_CUT_MS = 900;
/** Time within which the connections that a short cut breaks are closed. */
const NOTICE_MS = 600;
const BURST_JOBS = 15;
const BURST_MS = 150;
/** Within this time after a burst of jobs, a short cut begins. */
const MAX_DELAY_MS = 150;

export const CutFaultKinds = ['shortCuts', 'oneWayCuts', 'lateMessages', 'waitingTasks'] as const;

/** Kinds that change how other faults proceed, and are no faults by themselves. */
export function isModifier(kind: string): boolean {
  return kind === 'lateMessages' || kind === 'waitingTasks';
}

/** An instance or an endpoint. */
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

export interface CutFaultsOptions {
  readonly timer: ManualTimer;
  readonly random: Random;
  readonly kinds: ReadonlySet<string>;
  readonly fleet: {
    readonly environment: SimulatedEnvironment;
    running(): readonly SimulatedInstance[];
    loseConnections(withinMs: number): void;
    releaseMessages(): void;
  };
  readonly submitJob: () => void;
  readonly isolateZone: (drawMs: () => number, noticedWithinMs: number) => void;
  readonly traceEvent: (sentence: string, details?: object) => void;
}

export function createCutFaults(options: CutFaultsOptions) {
  const { timer, random, kinds, fleet, traceEvent } = options;
  const { environment } = fleet;
  const drawCutMs = () => MIN_SHORT_CUT_MS + (MAX_SHORT_CUT_MS - MIN_SHORT_CUT_MS) * random.next();

  /** Ends the connections that a cut breaks, unless only their keepalive ends them. */
  function breakConnections(withinMs: number): void {
    if (!kinds.has('lateMessages')) fleet.loseConnections(withinMs);
  }

  function submitBurst(): void {
    if (!kinds.has('waitingTasks')) return;
    for (let job = 0; job < BURST_JOBS; job += 1)
      timer.onAfter(BURST_MS * random.next(), options.submitJob);
  }

  function cutOneWay(): void {
    const running = fleet.running();
    const place = running[Math.floor(random.next() * running.length)];
    if (place === undefined || environment.oneWayCut !== undefined) return;
    environment.oneWayCut = {
      zone: place.zone,
      instance: random.next() < 0.5 ? place.name : undefined,
      isOutbound: random.next() < 0.5,
      isWithoutStore: random.next() < 0.75,
      coversEndpoints: random.next() < 0.5,
    };
    const forMs = drawCutMs();
    traceEvent('one direction is cut', { ...environment.oneWayCut, forMs: Math.round(forMs) });
    breakConnections(NOTICE_MS);
    timer.onAfter(forMs, () => {
      environment.oneWayCut = undefined;
      traceEvent('both directions are connected');
      fleet.releaseMessages();
    });
  }

  function inject(kind: 'shortCuts' | 'oneWayCuts'): void {
    submitBurst();
    timer.onAfter(random.next() * MAX_DELAY_MS, () => {
      if (kind === 'oneWayCuts') cutOneWay();
      else options.isolateZone(drawCutMs, NOTICE_MS);
    });
  }

  return { breakConnections, submitBurst, inject };
}
