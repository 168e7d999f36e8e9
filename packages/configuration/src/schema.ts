/**
 * Schemas of service files and of the configuration document that contains all published ones.
 * Rates are task starts per second over the whole fleet; times are in milliseconds.
 */
import { z } from 'zod';

/** Largest document that the platform stores, in bytes. */
export const MAX_DOCUMENT_BYTES = 1_000_000;
export const MAX_TASKS_PER_JOB = 140;

const name = z
  .string()
  .regex(/^[a-z0-9][a-z0-9-]{0,62}$/, 'must be lower-case letters, digits and dashes');

const kindSchema = z
  .object({
    /** Expected run time on an endpoint of nominal speed. */
    expectedMs: z.number().positive().max(600_000),
    idempotent: z.boolean(),
  })
  .strict();

const limitsSchema = z
  .object({
    ratePerSecond: z.number().positive(),
    /** Maximum number of tasks of the service that run at the same time. */
    concurrency: z.number().int().positive(),
    /** Maximum number of tasks that wait for a slot at one instance. */
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
    /** Quota of the whole team. All files of the team that set a quota must set the same one. */
    quota: quotaSchema.optional(),
  })
  .strict();

export const documentSchema = z.object({
  version: z.number().int().nonnegative(),
  /**
   * Ids of the latest publications, newest last. They show whether a write whose answer was lost
   * took effect.
   */
  publications: z.array(z.string()),
  services: z.record(serviceFileSchema),
});

export type TaskKind = z.infer<typeof kindSchema>;
export type ServiceLimits = z.infer<typeof limitsSchema>;
export type TeamQuota = z.infer<typeof quotaSchema>;
export type ServiceFile = z.infer<typeof serviceFileSchema>;
export type Configuration = z.infer<typeof documentSchema>;

export const emptyConfiguration: Configuration = { version: 0, publications: [], services: {} };
