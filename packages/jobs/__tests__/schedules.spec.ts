import { describe, it } from 'node:test';
import fc from 'fast-check';
import { createCluster, type ClusterOptions, type Command } from './cluster.js';

const SEED = 20261204;
const SCHEDULES = Number(process.env['CELERYBARROW_SCHEDULES'] ?? 400);
const MAX_COMMANDS = 40;

const node = fc.nat({ max: 3 });
const job = fc.nat({ max: 3 });

const command: fc.Arbitrary<Command> = fc.oneof(
  {
    weight: 6,
    arbitrary: fc.record({ type: fc.constant('submit' as const), job, node, other: node }),
  },
  { weight: 2, arbitrary: fc.record({ type: fc.constant('crash' as const), node }) },
  { weight: 2, arbitrary: fc.record({ type: fc.constant('join' as const), node }) },
  { weight: 2, arbitrary: fc.record({ type: fc.constant('stop' as const), node }) },
  { weight: 3, arbitrary: fc.record({ type: fc.constant('cut' as const), node, other: node }) },
  { weight: 2, arbitrary: fc.record({ type: fc.constant('heal' as const), node, other: node }) },
  { weight: 4, arbitrary: fc.record({ type: fc.constant('evict' as const), node, other: node }) },
  { weight: 2, arbitrary: fc.record({ type: fc.constant('read-roster' as const), node }) },
  {
    weight: 1,
    arbitrary: fc.record({ type: fc.constant('platform' as const), isDown: fc.boolean() }),
  },
  {
    weight: 4,
    arbitrary: fc.record({ type: fc.constant('advance' as const), ms: fc.nat({ max: 800 }) }),
  },
);

/** The commands above, and faults that need the time limits of production. */
const commandWithTimeLimits: fc.Arbitrary<Command> = fc.oneof(
  { weight: 30, arbitrary: command },
  {
    weight: 4,
    arbitrary: fc.record({ type: fc.constant('cut-one-way' as const), node, other: node }),
  },
  { weight: 3, arbitrary: fc.record({ type: fc.constant('heal' as const), node, other: node }) },
  { weight: 2, arbitrary: fc.record({ type: fc.constant('freeze' as const), node }) },
  { weight: 2, arbitrary: fc.record({ type: fc.constant('resume' as const), node }) },
  {
    weight: 3,
    arbitrary: fc.record({
      type: fc.constant('advance' as const),
      ms: fc.integer({ min: 1_000, max: 4_000 }),
    }),
  },
);

/** Shrunk schedules of earlier failures, and schedules that each exercise one mechanism. */
const examples: [Command[], number][] = [
  [
    // An evicted member continues a pending claim after it has joined again.
    [
      { type: 'evict', node: 0, other: 1 },
      { type: 'join', node: 2 },
      { type: 'advance', ms: 3 },
      { type: 'evict', node: 2, other: 0 },
      { type: 'submit', job: 0, node: 2, other: 0 },
      { type: 'advance', ms: 0 },
      { type: 'join', node: 0 },
      { type: 'join', node: 1 },
      { type: 'evict', node: 0, other: 2 },
    ],
    866_543_649,
  ],
  [
    // Two unresponsive members that were evicted at the same time could continue to claim jobs,
    // each with the other as its witness.
    [
      { type: 'cut', node: 0, other: 1 },
      { type: 'cut', node: 0, other: 2 },
      { type: 'evict', node: 0, other: 1 },
      { type: 'evict', node: 0, other: 2 },
      { type: 'advance', ms: 7_000 },
      ...submitEverywhere(),
      { type: 'advance', ms: 600 },
    ],
    7,
  ],
  [
    // The only member is cut off, and an instance that has joined evicts it.
    [
      { type: 'crash', node: 1 },
      { type: 'evict', node: 0, other: 1 },
      { type: 'crash', node: 2 },
      { type: 'evict', node: 0, other: 2 },
      { type: 'advance', ms: 12_000 },
      { type: 'cut', node: 0, other: 3 },
      { type: 'join', node: 3 },
      { type: 'evict', node: 3, other: 0 },
      { type: 'advance', ms: 7_000 },
      ...submitEverywhere(),
      { type: 'advance', ms: 800 },
    ],
    11,
  ],
];

/** Shrunk schedules of failures with time limits. */
const examplesWithTimeLimits: [Command[], number][] = [
  [
    // A copy of a submission that its gateway has given up on starts the job after the gateway has
    // answered not-run.
    [
      { type: 'stop', node: 0 },
      { type: 'cut-one-way', node: 2, other: 1 },
      { type: 'submit', job: 2, node: 0, other: 2 },
      { type: 'resume', node: 0 },
      { type: 'advance', ms: 22 },
      { type: 'advance', ms: 3_485 },
    ],
    7_480_644,
  ],
  [
    // The last active member is lost while the others are stopping.
    [
      { type: 'stop', node: 1 },
      { type: 'submit', job: 0, node: 0, other: 0 },
      { type: 'advance', ms: 0 },
      { type: 'evict', node: 0, other: 0 },
      { type: 'stop', node: 2 },
      { type: 'cut', node: 0, other: 1 },
      { type: 'advance', ms: 3 },
      { type: 'submit', job: 0, node: 0, other: 0 },
      { type: 'freeze', node: 1 },
      { type: 'submit', job: 0, node: 0, other: 0 },
      { type: 'stop', node: 0 },
      { type: 'join', node: 0 },
      { type: 'cut', node: 0, other: 0 },
      { type: 'advance', ms: 1000 },
      { type: 'submit', job: 0, node: 0, other: 0 },
      { type: 'submit', job: 0, node: 0, other: 0 },
      { type: 'evict', node: 0, other: 0 },
    ],
    1_546_603_013,
  ],
  [
    // A copy is forwarded by a member that stops after the gateway has given up on it.
    [
      { type: 'submit', job: 3, node: 2, other: 0 },
      { type: 'cut', node: 1, other: 1 },
      { type: 'heal', node: 0, other: 0 },
      { type: 'submit', job: 2, node: 2, other: 1 },
      { type: 'cut-one-way', node: 2, other: 1 },
      { type: 'heal', node: 0, other: 0 },
      { type: 'cut', node: 0, other: 0 },
      { type: 'cut-one-way', node: 0, other: 0 },
      { type: 'advance', ms: 204 },
      { type: 'stop', node: 0 },
      { type: 'submit', job: 0, node: 0, other: 0 },
      { type: 'submit', job: 3, node: 2, other: 0 },
      { type: 'cut-one-way', node: 1, other: 0 },
      { type: 'evict', node: 0, other: 0 },
      { type: 'read-roster', node: 0 },
      { type: 'heal', node: 0, other: 0 },
      { type: 'cut-one-way', node: 0, other: 0 },
      { type: 'submit', job: 0, node: 1, other: 0 },
      { type: 'advance', ms: 3202 },
      { type: 'evict', node: 0, other: 0 },
      { type: 'resume', node: 0 },
      { type: 'advance', ms: 2765 },
      { type: 'submit', job: 2, node: 2, other: 0 },
    ],
    1_586_178_615,
  ],
];

function submitEverywhere(): Command[] {
  return [0, 1, 2, 3].flatMap((job): Command[] => [
    { type: 'submit', job, node: 0, other: 1 },
    { type: 'submit', job, node: 2, other: 3 },
  ]);
}

async function play(
  commands: readonly Command[],
  networkSeed: number,
  options: ClusterOptions,
): Promise<void> {
  const cluster = createCluster(networkSeed, options);
  await cluster.begin(3);
  for (const one of commands) await cluster.execute(one);
  await cluster.end();
  const faults = cluster.faults();
  if (faults.length > 0) throw new Error(faults.join('; '));
}

describe('random schedules of claims and roster changes', () => {
  const parameters = {
    seed: Number(process.env['CELERYBARROW_SEED'] ?? SEED),
    numRuns: SCHEDULES,
  };
  const sizes = { minLength: 5, maxLength: MAX_COMMANDS, size: 'max' } as const;

  it('never start a task twice and never answer not-run for a started task', async () => {
    await fc.assert(
      fc.asyncProperty(
        fc.array(command, sizes),
        fc.integer({ min: 1 }),
        async (commands, networkSeed) => play(commands, networkSeed, {}),
      ),
      { ...parameters, examples },
    );
  });

  it('do so under cuts one way, freezes and messages that arrive after their senders gave up', async () => {
    await fc.assert(
      fc.asyncProperty(
        fc.array(commandWithTimeLimits, sizes),
        fc.integer({ min: 1 }),
        async (commands, networkSeed) => play(commands, networkSeed, { hasTimeLimits: true }),
      ),
      { ...parameters, examples: examplesWithTimeLimits },
    );
  });
});
