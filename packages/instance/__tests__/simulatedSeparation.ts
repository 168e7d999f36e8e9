/**
 * Random faults for instances of two data centres, drawn from one seed: data centres and instances that
 * are cut off, go on apart and are killed after the cut has healed, stalls and freezes, the loss of all
 * instances, lists of endpoints that differ, and callers that come back 1.3 s after they heard nothing.
 */
import { JobStates, type JobOutcome, type LeasedJob } from '@celerybarrow/protocol';
import { createRandom } from '@celerybarrow/shared';
import type { Logger } from '@celerybarrow/telemetry';
import { createManualTimer } from '@celerybarrow/timer';
import { createSimulatedEndpoints } from './simulatedEndpoints.js';
import type { SimulationResult } from './simulatedFleet.js';
import type { SimulatedInstance } from './simulatedInstance.js';
import { createSimulatedInstances } from './simulatedInstances.js';

const ZONES = ['a', 'b'];
const INSTANCES = ['a0', 'a1', 'b0', 'b1', 'a2'];
const QUIET_UNTIL_MS = 1_500;
const FAULTS_UNTIL_MS = 7_000;
const LENGTH_MS = 11_500;
const JOBS = 14;
const CALLER_PATIENCE_MS = 1_500;
const RESEND_MS = 1_300;
/** Least time after which the entries of endpoints lapse that are cut off from the store. */
const LAPSE_MS = 1_700;
/** Longest time until all instances know of an endpoint that has joined. */
const SPREAD_MS = 1_250;

export const SeparationKinds = [
  'calls',
  'crashes',
  'cuts',
  'zones',
  'instances',
  'stalls',
  'freezes',
  'kills',
  'herds',
  'storeless',
  'lapses',
  'joins',
  'shards',
  'lists',
  'callers',
] as const;
export type SeparationKind = (typeof SeparationKinds)[number];

export async function simulateSeparation(
  seed: number,
  kinds: ReadonlySet<SeparationKind> = new Set(SeparationKinds),
  trace: (line: string) => void = () => undefined,
): Promise<SimulationResult> {
  const timer = createManualTimer();
  const random = createRandom(seed);
  const between = (least: number, most: number) => least + (most - least) * random.next();
  const chance = (share: number) => random.next() < share;
  const pick = <T>(items: readonly T[]) => items[Math.floor(random.next() * items.length)] as T;
  const note = (sentence: string, details: object = {}) => {
    trace(`${timer.nowMs().toFixed(0)} ${sentence} ${JSON.stringify(details)}`);
  };
  const logger: Logger = { debug: note, info: note, warn: note, error: note };
  const shards = kinds.has('shards') && chance(0.4) ? 2 : 1;
  const count = 4 + Math.floor(random.next() * 3);
  const traits = {
    judgesByOrder: chance(0.5),
    longestTaskMs: between(100, 1_400),
    failShare: 0.02,
  };
  note('endpoints', { count, shards, ...traits });
  const endpoints = createSimulatedEndpoints(count, timer, random, traits, trace);
  const numberOf = (id: string) => Number(id.slice(1));
  const zoneOf = (id: string) => ZONES[numberOf(id) % ZONES.length] as string;
  const all = endpoints.all.map(({ entry }) => entry);
  const fleet = createSimulatedInstances({
    timer,
    random,
    logger,
    shards,
    networkOf: endpoints.networkOf,
    entriesOf: (shard) =>
      all.filter(({ id }) => Math.floor(numberOf(id) / ZONES.length) % shards === shard),
    zoneOf,
    note,
  });
  const { around } = fleet;
  const outcomes: Record<string, number> = {};
  /** Ends the waits of callers whose gateway is killed. */
  const onKill = new Map<SimulatedInstance, Set<() => void>>();

  function start(name: string): void {
    onKill.set(fleet.startInstance(name, name.slice(0, 1)), new Set());
  }

  function kill(one: SimulatedInstance | undefined, downMs: number): void {
    if (one === undefined || !fleet.running().includes(one)) return;
    fleet.kill(one, chance(0.6) ? 10 : 1_000);
    for (const leave of onKill.get(one) ?? []) leave();
    timer.onAfter(downMs, () => {
      if (fleet.running().every(({ name }) => name !== one.name)) start(one.name);
    });
  }

  function killAll(): void {
    const downMs = between(300, 1_500);
    note('all are killed');
    for (const one of fleet.running()) kill(one, downMs + between(0, 100));
  }

  function cutZone(): void {
    if (around.cutZone !== undefined) return;
    const zone = pick(ZONES);
    const forMs = between(300, 4_500);
    around.cutZone = zone;
    around.isStoreCut = chance(0.75);
    note('zone is cut', { zone, isStoreCut: around.isStoreCut });
    fleet.loseConnections(1_500);
    // They lapse seconds later, when no job is left that was there at the beginning of the cut.
    if (kinds.has('lapses') && chance(0.5) && forMs > LAPSE_MS) {
      timer.onAfter(between(LAPSE_MS, forMs), () => {
        for (const { id } of all) if (zoneOf(id) === zone) around.lapsed.add(id);
        note('entries have lapsed', { zone });
      });
    }
    timer.onAfter(forMs, () => {
      around.cutZone = undefined;
      note('zone is back', { zone });
      timer.onAfter(between(0, 1_500), () => {
        around.lapsed.clear();
      });
      const aimed = chance(0.5) ? pick(fleet.running()) : fleet.dispatcherOf(0);
      if (kinds.has('kills') && chance(0.4)) {
        timer.onAfter(between(0, 600), () => {
          kill(aimed, between(100, 3_000));
        });
      } else if (kinds.has('herds') && chance(0.4)) {
        timer.onAfter(between(0, 2_500), killAll);
      }
    });
  }

  function disturbEndpoint(kind: SeparationKind): void {
    const one = pick(endpoints.all);
    if (kind === 'joins') {
      around.unspread.add(one.entry.id);
      note('has just joined', { endpoint: one.entry.id });
      timer.onAfter(between(0, SPREAD_MS), () => {
        around.unspread.delete(one.entry.id);
      });
    }
    if (kind === 'calls') {
      const share = between(0.05, 1);
      const name = pick(['lost', 'unanswered', 'late', 'lateOrders', 'slow'] as const);
      one.faults[name] = share;
      note(`calls ${name}`, { endpoint: one.entry.id, share });
      timer.onAfter(between(100, 1_500), () => {
        one.faults[name] = 0;
      });
    }
    if (kind === 'crashes') {
      one.crash();
      timer.onAfter(between(100, 2_500), one.restart);
    }
    if (kind === 'cuts') {
      one.isCut = true;
      note('is cut', { endpoint: one.entry.id });
      timer.onAfter(between(50, 1_500), () => {
        one.isCut = false;
        note('is back', { endpoint: one.entry.id });
      });
    }
  }

  function disturbInstance(kind: SeparationKind): void {
    const aimed = chance(0.5) ? fleet.dispatcherOf(0) : undefined;
    const one = aimed ?? pick(fleet.running());
    if (one === undefined) return;
    const forMs = between(100, 3_000);
    const about = { instance: one.name, forMs: Math.round(forMs) };
    if (kind === 'stalls') {
      const stallMs = between(50, 400);
      one.host.stall(stallMs);
      note('stalls', { instance: one.name, stallMs });
    }
    if (kind === 'freezes') {
      one.host.stall(forMs);
      note('freezes', about);
    }
    if (kind === 'kills') kill(one, forMs);
    if (kind === 'instances') {
      one.isCut = true;
      note('instance is cut', about);
      fleet.loseConnections(1_500);
      timer.onAfter(forMs, () => {
        one.isCut = false;
        note('instance is back', about);
      });
    }
    if (kind === 'storeless') {
      one.isStoreless = true;
      note('has no store', about);
      timer.onAfter(forMs, () => {
        one.isStoreless = false;
      });
    }
    if (kind === 'lists' && shards > 1) {
      one.hasOtherList = true;
      note('has another list', about);
      timer.onAfter(forMs, () => {
        one.hasOtherList = false;
      });
    }
  }

  function disturb(): void {
    const kind = pick([...kinds]);
    if (kind === 'zones') cutZone();
    else if (kind === 'herds') {
      if (chance(0.3)) killAll();
    } else {
      disturbEndpoint(kind);
      disturbInstance(kind);
    }
  }

  function createJob(id: string): LeasedJob {
    const demand = { cores: 1_000, memoryMb: 1, accelerators: 0 };
    const tasks = 1 + Math.floor(random.next() * 2);
    const steps = [{ tasks, demand, estimateMs: 200, after: [] }];
    const base = { team: 't', service: 's', priority: 0, maxAttempts: 2, payload: '' };
    const objective = { objectiveStretch: 1.6, objectiveAllowanceMs: 60 };
    return { id, ...base, ...objective, steps, ageMs: 0, remainingMs: CALLER_PATIENCE_MS };
  }

  /** The end of a connection is sent again until it arrives. */
  function tellOfLeave(at: SimulatedInstance, leaving: AbortController): void {
    if (at.isCut) {
      timer.onAfter(between(100, 800), () => {
        tellOfLeave(at, leaving);
      });
      return;
    }
    at.host.receive(() => {
      leaving.abort();
    });
  }

  function submit(at: SimulatedInstance, job: LeasedJob): Promise<JobOutcome | undefined> {
    return new Promise((resolve) => {
      const leaving = new AbortController();
      const broken = () => {
        resolve(undefined);
      };
      onKill.get(at)?.add(broken);
      const isImpatient = kinds.has('callers') && chance(0.15);
      const patienceMs = isImpatient ? between(10, 900) : CALLER_PATIENCE_MS + 100;
      timer.onAfter(patienceMs, () => {
        broken();
        tellOfLeave(at, leaving);
      });
      timer.onAfter(between(0.5, 2), () => {
        at.host.receive(() => {
          void at.entry.submit(job, leaving.signal).then(resolve);
        });
      });
    });
  }

  async function call(id: string): Promise<void> {
    const job = createJob(id);
    for (let attempt = 0; attempt < 4; attempt += 1) {
      const ready = fleet.running().filter((one) => !one.isCut);
      if (ready.length === 0) {
        await timer.sleep(100);
        continue;
      }
      const at = pick(ready);
      note('caller sends', { id, at: at.name, attempt });
      const outcome = await submit(at, job);
      const state = outcome?.state ?? 'broken';
      note('caller hears', { id, state });
      outcomes[state] = (outcomes[state] ?? 0) + 1;
      const isAnswered = state === JobStates.COMPLETED || state === JobStates.FAILED;
      if (isAnswered || state === JobStates.REFUSED) return;
      await timer.sleep(RESEND_MS);
    }
  }

  for (const name of INSTANCES) start(name);
  await timer.advance(QUIET_UNTIL_MS);
  for (let number = 0; number < JOBS; number += 1) {
    timer.onAfter(between(0, FAULTS_UNTIL_MS - QUIET_UNTIL_MS), () => {
      void call(`j${number}`);
    });
  }
  const faults = 3 + Math.floor(random.next() * 9);
  for (let number = 0; number < faults; number += 1) {
    timer.onAfter(between(100, FAULTS_UNTIL_MS - QUIET_UNTIL_MS), disturb);
  }
  await timer.advance(LENGTH_MS - QUIET_UNTIL_MS);
  return { overlaps: endpoints.overlaps(), starts: endpoints.starts(), outcomes };
}
