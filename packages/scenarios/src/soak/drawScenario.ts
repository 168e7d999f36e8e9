/**
 * Generates a scenario of the fault soak from a seed. Two data centres run under load while a
 * series of faults, some of which overlap, is injected and jobs are resubmitted. At the end all
 * faults are healed, and every data centre must serve again. The general checks of the runner (no
 * task started twice, correct not-run answers, complete answers) apply throughout.
 */
import { createRandom, type Random } from '@celerybarrow/shared';
import type { Scenario, Step } from '../scenarioSchema.js';

const INSTANCES_BY_DATA_CENTRE: Readonly<Record<string, readonly string[]>> = {
  dub1: ['e1', 'e2', 'e3'],
  dub2: ['e4', 'e5'],
};
const INSTANCES = Object.values(INSTANCES_BY_DATA_CENTRE).flat();
const FAULT_COUNT = 6;
/** Longest pause after a fault. Short pauses make faults overlap. */
const MAX_PAUSE_MS = 2_500;
const LOAD_PER_SECOND = 8;
const RECOVERY_TIMEOUT_MS = 60_000;
/**
 * Wait before the final check, because ids created up to 6 s after the loss of an owner and its
 * witness are answered may-have-run.
 */
const MEMORY_LOSS_WAIT_MS = 7_000;

interface Fault {
  readonly begin: readonly Step[];
  readonly end: readonly Step[];
  /** Instances that no other fault may affect while this fault is active. */
  readonly busy: readonly string[];
}

export function drawScenario(seed: number): Scenario {
  const random = createRandom(seed);
  const steps: Step[] = Object.keys(INSTANCES_BY_DATA_CENTRE).map(createLoadStep);
  const activeFaults: Fault[] = [];
  const busy = new Set<string>();
  for (let number = 0; number < FAULT_COUNT; number += 1) {
    const fault = drawFault(random, busy);
    steps.push(...drawResubmission(random, number), ...fault.begin);
    steps.push({ pause: Math.round(random.next() * MAX_PAUSE_MS) });
    activeFaults.push(fault);
    for (const name of fault.busy) busy.add(name);
    // Sometimes ends the oldest fault at this point; newer faults stay active.
    if (random.next() < 0.6) endOldestFault(activeFaults, busy, steps);
  }
  while (activeFaults.length > 0) endOldestFault(activeFaults, busy, steps);
  steps.push({ pause: MEMORY_LOSS_WAIT_MS });
  steps.push(
    ...Object.entries(INSTANCES_BY_DATA_CENTRE).flatMap(([home, names]) =>
      createRecoverySteps(home, names),
    ),
  );
  return { name: `soak ${seed}`, property: 1, fleet: createFleet(), steps };
}

function createFleet(): Scenario['fleet'] {
  const endpoint = { slots: 8, speed: 1, failRatio: 0 };
  const entries = Object.entries(INSTANCES_BY_DATA_CENTRE).map(([home, instances]) => [
    home,
    { instances: [...instances], spare: [], endpoints: [endpoint, endpoint, endpoint] },
  ]);
  return Object.fromEntries(entries) as Scenario['fleet'];
}

function createLoadStep(home: string): Step {
  return { load: { as: home, home, perSecond: LOAD_PER_SECOND, tasks: 3, workMs: 120 } };
}

function endOldestFault(activeFaults: Fault[], busy: Set<string>, steps: Step[]): void {
  const fault = activeFaults.shift();
  if (fault === undefined) return;
  steps.push(...fault.end);
  for (const name of fault.busy) busy.delete(name);
}

/** Submits a job and resubmits it, usually to another instance. Earlier faults may be active. */
function drawResubmission(random: Random, number: number): Step[] {
  const home = drawItem(random, Object.keys(INSTANCES_BY_DATA_CENTRE));
  const [at, resubmitTo] = [drawItem(random, INSTANCES), drawItem(random, INSTANCES)];
  const as = `job${number}`;
  return [
    { submit: { as, at, home, tasks: 4, workMs: 300, kind: 'stamp' } },
    { pause: Math.round(random.next() * 400) },
    { resubmit: { job: as, at: resubmitTo, as: `${as}again` } },
  ];
}

function drawFault(random: Random, busy: ReadonlySet<string>): Fault {
  const free = INSTANCES.filter((name) => !busy.has(name));
  const kinds =
    free.length === 0
      ? createStoreFaults(random)
      : [...createStoreFaults(random), ...createInstanceFaults(random, free)];
  return drawItem(random, kinds);
}

function createStoreFaults(random: Random): Fault[] {
  const slowMs = 50 + Math.round(random.next() * 400);
  const platform = (step: Extract<Step, { platform: unknown }>['platform']): Step => ({
    platform: step,
  });
  return [
    { begin: [platform({ down: true })], end: [platform({ down: false })], busy: [] },
    { begin: [platform({ slowMs })], end: [platform({ slowMs: 0 })], busy: [] },
    { begin: [platform({ loseAnswers: 3 })], end: [], busy: [] },
    { begin: [{ lapseLeases: true }], end: [], busy: [] },
  ];
}

function createInstanceFaults(random: Random, free: readonly string[]): Fault[] {
  const name = drawItem(random, free);
  const other = drawItem(random, free);
  const between = (right: string): [string, string] => [name, right];
  const faults: Fault[] = [
    { begin: [{ kill: [name] }], end: [{ start: [name] }], busy: [name] },
    { begin: [{ freeze: [name] }], end: [{ thaw: [name] }], busy: [name] },
    {
      begin: [{ beginStop: [name] }],
      end: [{ awaitEnd: [name] }, { start: [name] }],
      busy: [name],
    },
    {
      begin: [{ cut: { between: between('platform') } }],
      end: [{ heal: { between: between('platform') } }],
      busy: [],
    },
    {
      begin: [{ cut: { between: ['dub1', 'dub2'] } }],
      end: [{ heal: { between: ['dub1', 'dub2'] } }],
      busy: [],
    },
  ];
  if (other === name) return faults;
  const cut: Fault = {
    begin: [{ cut: { between: between(other) } }],
    end: [{ heal: { between: between(other) } }],
    busy: [],
  };
  return [...faults, cut];
}

function createRecoverySteps(home: string, names: readonly string[]): Step[] {
  const [at = ''] = names;
  const as = `${home}last`;
  return [
    { wait: { members: { dataCentre: home, are: [...names] }, withinMs: RECOVERY_TIMEOUT_MS } },
    { submit: { as, at, home, tasks: 3, workMs: 100, kind: 'stamp' } },
    { wait: { answered: [as], withinMs: RECOVERY_TIMEOUT_MS } },
    { expect: { answer: as, outcome: ['complete'] } },
    { endLoad: home },
  ];
}

function drawItem<T>(random: Random, items: readonly T[]): T {
  const found = items[Math.floor(random.next() * items.length)];
  if (found === undefined) throw new RangeError('cannot draw from an empty list');
  return found;
}
