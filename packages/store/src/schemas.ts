/** Schemas of the platform's answers. */
import { z } from 'zod';

export const entrySchema = z.object({
  key: z.string(),
  value: z.string(),
  revision: z.number().int().nonnegative(),
});

export const changeSchema = z.object({
  revision: z.number().int().nonnegative(),
  entries: z.array(entrySchema),
  removed: z.array(z.string()).default([]),
});

export const leaseSchema = z.object({ id: z.string(), ttlMs: z.number().positive() });

export const instanceSchema = z.object({
  id: z.string().min(1),
  role: z.enum(['entry', 'endpoint']),
  service: z.string().optional(),
  dataCentre: z.string().min(1),
  rack: z.string(),
  address: z.string().min(1),
  state: z.enum(['live', 'leaving']),
  slots: z.number().int().positive().optional(),
});

export const instancesSchema = z.array(instanceSchema);
