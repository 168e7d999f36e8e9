/** Reads the rosters (membership views) of all data centres from the platform. */
import { z } from 'zod';
import type { Store } from '@celerybarrow/store';

const ROSTER_PREFIX = 'celerybarrow/roster/';

const rosterSchema = z.object({
  dataCentre: z.string(),
  epoch: z.number(),
  members: z.array(
    z.object({ instance: z.string(), peer: z.string(), operate: z.string().optional() }),
  ),
});

export interface ListedMember {
  readonly dataCentre: string;
  readonly epoch: number;
  readonly instance: string;
  readonly peer: string;
  readonly operate?: string | undefined;
}

/** Returns the members of all rosters, or an empty list if the platform cannot be read. */
export async function listMembers(platform: Store): Promise<readonly ListedMember[]> {
  const result = await platform.watch(ROSTER_PREFIX, 0, {
    waitMs: 0,
    signal: AbortSignal.timeout(2_000),
  });
  if (result.isErr) return [];
  return result.value.entries.flatMap((entry) => {
    const roster = rosterSchema.safeParse(JSON.parse(entry.value));
    if (!roster.success) return [];
    const { dataCentre, epoch, members } = roster.data;
    return members.map((member) => ({ dataCentre, epoch, ...member }));
  });
}
