/** Schema of experiment files in YAML: a deployment, a load and the policies to compare. */
import { parse } from 'yaml';
import { z } from 'zod';

const kindSchema = z
  .object({
    /** Share of the tasks, relative to the shares of the other kinds. */
    share: z.number().positive(),
    medianMs: z.number().positive(),
    /** Standard deviation of the logarithm of the run times, which are lognormal. */
    sigma: z.number().nonnegative().default(0.3),
    /** Expected run time in the service file, which may be wrong; `medianMs` by default. */
    declaredMs: z.number().positive().optional(),
  })
  .strict();

const experimentSchema = z
  .object({
    name: z.string(),
    seed: z.number().int().default(1),
    durationMs: z.number().positive(),
    /** Jobs that arrive before this time are not counted. */
    warmupMs: z.number().nonnegative().default(2_000),
    dataCentres: z.number().int().positive(),
    instancesEach: z.number().int().positive(),
    endpointsEach: z.number().int().positive(),
    slots: z.number().int().positive().default(8),
    /** Endpoint speeds, assigned to the endpoints in rotation. */
    speeds: z.array(z.number().positive()).default([1]),
    /** Number of endpoints per data centre that fail every task. */
    failingEach: z.number().int().nonnegative().default(0),
    straggleRatio: z.number().min(0).max(1).default(0),
    kinds: z.record(kindSchema),
    tasksPerJob: z.object({ mean: z.number().positive(), most: z.number().int().max(140) }),
    /** Offered load relative to the capacity of the endpoints that do not fail every task. */
    load: z.number().positive(),
    arrivals: z.enum(['steady', 'bursts', 'dawn']).default('steady'),
    teams: z.number().int().positive().default(1),
    deadlineMs: z.number().positive().optional(),
    policies: z.array(z.string()).default(['stewards']),
    instanceFlags: z.array(z.string()).default([]),
  })
  .strict();

export type Experiment = z.infer<typeof experimentSchema>;

export function parseExperiment(text: string, overrides: Partial<Experiment> = {}): Experiment {
  return experimentSchema.parse({ ...(parse(text) as object), ...overrides });
}
