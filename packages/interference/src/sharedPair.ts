/** An estimate of one pair, for exchange between dispatchers. */
import { z } from 'zod';

const MAX_KEY_LENGTH = 80;

export const sharedPairSchema = z.object({
  /** Keys of the groups. */
  target: z.string().max(MAX_KEY_LENGTH),
  neighbour: z.string().max(MAX_KEY_LENGTH),
  factor: z.number().min(1).max(100),
  /** Inverse variance of the log factor. */
  weight: z.number().positive().finite(),
  /** Time since the last evidence. */
  ageMs: z.number().nonnegative().finite(),
});

export type SharedPair = Readonly<z.infer<typeof sharedPairSchema>>;
