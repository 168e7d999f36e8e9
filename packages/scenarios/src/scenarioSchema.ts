/**
 * The language of scenarios: a fleet and a list of steps, in YAML. docs/scenarios.md describes it.
 * Every step waits for its condition and never for a fixed time, so that a scenario has the same
 * verdict on every run.
 */
import { parse } from 'yaml';
import { z } from 'zod';

const name = z.string().min(1);
const names = z.union([name.transform((one) => [one]), z.array(name)]);
const milliseconds = z.number().nonnegative();

const endpointSchema = z
  .object({
    slots: z.number().int().positive().default(8),
    speed: z.number().positive().default(1),
    failRatio: z.number().min(0).max(1).default(0),
  })
  .strict();

const dataCentreSchema = z
  .object({
    instances: z.array(name),
    /** Instances that a step starts later. */
    spare: z.array(name).default([]),
    endpoints: z.array(endpointSchema),
  })
  .strict();

const outcomeSchema = z.enum(['complete', 'failed', 'not-run', 'may-have-run']);

const pairSchema = z.object({ between: z.tuple([name, name]) }).strict();

const submitSchema = z
  .object({
    as: name,
    at: name,
    home: name,
    tasks: z.number().int().positive().default(4),
    workMs: milliseconds.default(50),
    kind: z.string().default('stamp'),
    deadlineMs: z.number().positive().optional(),
    /** Instances that own and witness the job: the id is drawn until it falls to them. */
    owner: name.optional(),
    witness: name.optional(),
    /** Instance that is not yet a member, and to which the id will fall once it is. */
    futureOwner: name.optional(),
  })
  .strict();

const stepSchema = z.union([
  z.object({ start: names }).strict(),
  /** Sends SIGTERM and waits until the process has ended with status 0. */
  z.object({ stop: names }).strict(),
  /** Sends SIGTERM and goes on. */
  z.object({ beginStop: names }).strict(),
  /** Waits until a process that was told to stop has ended with status 0. */
  z.object({ awaitEnd: names }).strict(),
  z.object({ kill: names }).strict(),
  z.object({ freeze: names }).strict(),
  z.object({ thaw: names }).strict(),
  z.object({ cut: pairSchema }).strict(),
  z.object({ heal: pairSchema }).strict(),
  z
    .object({
      platform: z
        .object({
          down: z.boolean().optional(),
          slowMs: milliseconds.optional(),
          loseAnswers: z.number().int().optional(),
          listLagMs: milliseconds.optional(),
        })
        .strict(),
    })
    .strict(),
  z.object({ lapseLeases: z.literal(true) }).strict(),
  z.object({ submit: submitSchema }).strict(),
  z.object({ resubmit: z.object({ job: name, at: name, as: name }).strict() }).strict(),
  z.object({ cancel: z.object({ job: name, at: name }).strict() }).strict(),
  z
    .object({
      load: z
        .object({
          as: name,
          home: name,
          perSecond: z.number().positive(),
          tasks: z.number().int().positive().default(4),
          workMs: milliseconds.default(50),
        })
        .strict(),
    })
    .strict(),
  z.object({ endLoad: name }).strict(),
  z
    .object({
      endpoint: z
        .object({ id: name, state: z.enum(['leaving', 'dead', 'failing', 'healthy']) })
        .strict(),
    })
    .strict(),
  z
    .object({
      publish: z
        .object({ rate: z.number().positive(), twice: z.boolean().default(false) })
        .strict(),
    })
    .strict(),
  z.object({ pause: milliseconds }).strict(),
  z
    .object({
      wait: z
        .object({
          started: z
            .object({ job: name, atLeast: z.number().int().positive() })
            .strict()
            .optional(),
          answered: names.optional(),
          members: z
            .object({ dataCentre: name, are: z.array(name) })
            .strict()
            .optional(),
          version: z.object({ number: z.number().int(), at: names }).strict().optional(),
          loadAnswers: z
            .object({ load: name, atLeast: z.number().int().positive() })
            .strict()
            .optional(),
          endpointIdle: name.optional(),
          withinMs: milliseconds.default(15_000),
        })
        .strict(),
    })
    .strict(),
  z
    .object({
      expect: z
        .object({
          answer: name.optional(),
          outcome: z
            .union([outcomeSchema.transform((one) => [one]), z.array(outcomeSchema)])
            .optional(),
          sameAnswer: z.tuple([name, name]).optional(),
          load: name.optional(),
          /** Answers of a load that were not complete. */
          incomplete: z.number().int().nonnegative().optional(),
          noNewStartsAt: name.optional(),
          startsOf: z
            .object({ job: name, atMost: z.number().int().nonnegative() })
            .strict()
            .optional(),
        })
        .strict(),
    })
    .strict(),
]);

const scenarioSchema = z
  .object({
    name,
    /** The property of docs/guarantees.md that it proves. */
    property: z.number().int().min(1).max(8),
    fleet: z.record(dataCentreSchema),
    steps: z.array(stepSchema),
  })
  .strict();

export type Scenario = z.infer<typeof scenarioSchema>;
export type Step = z.infer<typeof stepSchema>;
export type SubmitStep = z.infer<typeof submitSchema>;
export type WaitStep = Extract<Step, { wait: unknown }>['wait'];
export type ExpectStep = Extract<Step, { expect: unknown }>['expect'];
export type ScenarioOutcome = z.infer<typeof outcomeSchema>;

/** Parses a scenario; throws with the path of the first fault. */
export function parseScenario(text: string): Scenario {
  return scenarioSchema.parse(parse(text));
}
