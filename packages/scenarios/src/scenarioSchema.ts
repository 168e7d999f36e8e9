/**
 * Schema of scenario files: a fleet and a list of steps in YAML, described in docs/scenarios.md.
 * Except for `pause`, no step waits for a fixed time. Steps wait for conditions, so a scenario has the
 * same result on every run.
 */
import { parse } from 'yaml';
import { z } from 'zod';

const nameSchema = z.string().min(1);
const nameListSchema = z.union([nameSchema.transform((name) => [name]), z.array(nameSchema)]);
const millisecondsSchema = z.number().nonnegative();

const endpointSchema = z
  .object({
    slots: z.number().int().positive().default(8),
    speed: z.number().positive().default(1),
    failRatio: z.number().min(0).max(1).default(0),
  })
  .strict();

const dataCentreSchema = z
  .object({
    instances: z.array(nameSchema),
    /** Instances that do not start with the fleet but in a later `start` step. */
    spare: z.array(nameSchema).default([]),
    endpoints: z.array(endpointSchema),
  })
  .strict();

const outcomeSchema = z.enum(['complete', 'failed', 'not-run', 'may-have-run']);

const pairSchema = z.object({ between: z.tuple([nameSchema, nameSchema]) }).strict();

const submitSchema = z
  .object({
    as: nameSchema,
    at: nameSchema,
    home: nameSchema,
    tasks: z.number().int().positive().default(4),
    workMs: millisecondsSchema.default(50),
    kind: z.string().default('stamp'),
    deadlineMs: z.number().positive().optional(),
    /** Instances that must own and witness the job. Ids are drawn until one matches. */
    owner: nameSchema.optional(),
    witness: nameSchema.optional(),
    /** Instance that is not a member yet and will own the id once it joins. */
    futureOwner: nameSchema.optional(),
  })
  .strict();

const stepSchema = z.union([
  z.object({ start: nameListSchema }).strict(),
  /** Sends SIGTERM and waits until the process exits with status 0. */
  z.object({ stop: nameListSchema }).strict(),
  /** Sends SIGTERM without waiting for the process to exit. */
  z.object({ beginStop: nameListSchema }).strict(),
  /** Waits until a process that was sent SIGTERM exits with status 0. */
  z.object({ awaitEnd: nameListSchema }).strict(),
  z.object({ kill: nameListSchema }).strict(),
  z.object({ freeze: nameListSchema }).strict(),
  z.object({ thaw: nameListSchema }).strict(),
  z.object({ cut: pairSchema }).strict(),
  z.object({ heal: pairSchema }).strict(),
  z
    .object({
      platform: z
        .object({
          down: z.boolean().optional(),
          slowMs: millisecondsSchema.optional(),
          loseAnswers: z.number().int().optional(),
          listLagMs: millisecondsSchema.optional(),
        })
        .strict(),
    })
    .strict(),
  z.object({ lapseLeases: z.literal(true) }).strict(),
  z.object({ submit: submitSchema }).strict(),
  z
    .object({ resubmit: z.object({ job: nameSchema, at: nameSchema, as: nameSchema }).strict() })
    .strict(),
  z.object({ cancel: z.object({ job: nameSchema, at: nameSchema }).strict() }).strict(),
  z
    .object({
      load: z
        .object({
          as: nameSchema,
          home: nameSchema,
          perSecond: z.number().positive(),
          tasks: z.number().int().positive().default(4),
          workMs: millisecondsSchema.default(50),
        })
        .strict(),
    })
    .strict(),
  z.object({ endLoad: nameSchema }).strict(),
  z
    .object({
      endpoint: z
        .object({ id: nameSchema, state: z.enum(['leaving', 'dead', 'failing', 'healthy']) })
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
  z.object({ pause: millisecondsSchema }).strict(),
  z
    .object({
      wait: z
        .object({
          started: z
            .object({ job: nameSchema, atLeast: z.number().int().positive() })
            .strict()
            .optional(),
          answered: nameListSchema.optional(),
          members: z
            .object({ dataCentre: nameSchema, are: z.array(nameSchema) })
            .strict()
            .optional(),
          version: z.object({ number: z.number().int(), at: nameListSchema }).strict().optional(),
          loadAnswers: z
            .object({ load: nameSchema, atLeast: z.number().int().positive() })
            .strict()
            .optional(),
          endpointIdle: nameSchema.optional(),
          withinMs: millisecondsSchema.default(15_000),
        })
        .strict(),
    })
    .strict(),
  z
    .object({
      expect: z
        .object({
          answer: nameSchema.optional(),
          outcome: z
            .union([outcomeSchema.transform((outcome) => [outcome]), z.array(outcomeSchema)])
            .optional(),
          sameAnswer: z.tuple([nameSchema, nameSchema]).optional(),
          load: nameSchema.optional(),
          /** Maximum number of answers of the load that may be incomplete; 0 by default. */
          incomplete: z.number().int().nonnegative().optional(),
          noNewStartsAt: nameSchema.optional(),
          startsOf: z
            .object({ job: nameSchema, atMost: z.number().int().nonnegative() })
            .strict()
            .optional(),
        })
        .strict(),
    })
    .strict(),
]);

const scenarioSchema = z
  .object({
    name: nameSchema,
    /** Number of the property in docs/guarantees.md that the scenario tests. */
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

/** Parses a scenario. Throws an error with the path of each invalid value. */
export function parseScenario(text: string): Scenario {
  return scenarioSchema.parse(parse(text));
}
