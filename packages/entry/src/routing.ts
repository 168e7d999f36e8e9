/**
 * The queues that callers submit to, and the lookup of the queue of a request. Instances also
 * receive this configuration from each other, so the same schema validates it wherever it is read.
 */
import { z } from 'zod';

const span = z.number().nonnegative().finite();

const queueSchema = z.object({
  team: z.string(),
  /** Host name in the requests of the callers. */
  host: z.string(),
  /** Prefix of the paths that belong to the queue. */
  prefix: z.string(),
  service: z.string(),
  /** Jobs with lower numbers go first. */
  priority: z.number().finite(),
  maxAttempts: z.number().int().positive(),
  timeoutMs: span,
  objectiveStretch: z.number().positive().finite(),
  objectiveAllowanceMs: span,
  /** Whether an external policy decides which endpoints run a step. Such jobs are not served. */
  hasAdvice: z.boolean(),
});

export const routingSchema = z.object({
  version: z.number().int().nonnegative(),
  queues: z.array(queueSchema),
  limits: z.object({ bodyBytes: span, headerMs: span, idleMs: span }),
});

export type Queue = Readonly<z.infer<typeof queueSchema>>;

export interface Routing {
  readonly version: number;
  readonly queues: readonly Queue[];
  readonly limits: Readonly<z.infer<typeof routingSchema>['limits']>;
}

/** Returns the queue of the host whose prefix is the longest one that the path starts with. */
export function findQueue(routing: Routing, host: string, path: string): Queue | undefined {
  let longest: Queue | undefined;
  for (const queue of routing.queues) {
    if (queue.host !== host || !path.startsWith(queue.prefix)) continue;
    if (queue.prefix.length > (longest?.prefix.length ?? -1)) longest = queue;
  }
  return longest;
}
