/**
 * Service files, and the document that all of them form once published. Rates count task starts
 * per second over the whole fleet; times are milliseconds.
 */
import { z } from 'zod';

/** Largest document the platform stores, in bytes. */
export const MAX_DOCUMENT_BYTES = 1_000_000;
export const MAX_TASKS_PER_JOB = 140;

const name = z
  .string()
  .regex(/^[a-z0-9][a-z0-9-]{0,62}$/, 'must be lower-case letters, digits and dashes');

const kindSchema = z
  .object({
    /** Run time on an endpoint of ordinary speed. */
    expectedMs: z.number().positive().max(600_000),
    idempotent: z.boolean(),
  })
  .strict();

const limitsSchema = z
  .object({
    ratePerSecond: z.number().positive(),
    /** Tasks of the service that may run at once. */
    concurrency: z.number().int().positive(),
    /** Tasks that may wait for a slot at one instance. */
    queue: z.number().int().positive().default(2_000),
  })
  .strict();

const quotaSchema = z
  .object({
    ratePerSecond: z.number().positive(),
    /** Weight of the team when teams compete for slots. */
    share: z.number().positive().max(1_000).default(1),
  })
  .strict();

export const serviceFileSchema = z
  .object({
    service: name,
    team: name,
    kinds: z.record(name, kindSchema).refine((kinds) => Object.keys(kinds).length > 0, {
      message: 'must name at least one kind',
    }),
    limits: limitsSchema,
    /** The quota of the whole team; every file of the team that gives one must give the same. */
    quota: quotaSchema.optional(),
  })
  .strict();

export const documentSchema = z.object({
  version: z.number().int().nonnegative(),
  /** Ids of the latest publications, the newest last. */
  publications: z.array(z.string()),
  services: z.record(serviceFileSchema),
});

export type TaskKind = z.infer<typeof kindSchema>;
export type ServiceLimits = z.infer<typeof limitsSchema>;
export type TeamQuota = z.infer<typeof quotaSchema>;
export type ServiceFile = z.infer<typeof serviceFileSchema>;
export type Configuration = z.infer<typeof documentSchema>;

export const emptyConfiguration: Configuration = { version: 0, publications: [], services: {} };
