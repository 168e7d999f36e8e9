/**
 * The data centres among which ids without a named home are spread. A data centre takes part for
 * ids created after it was added, so that the home of an id never changes.
 */
import { z } from 'zod';
import type { Store } from '@celerybarrow/store';
import { rankByRendezvous, readCreationTime } from '@celerybarrow/shared';

export const DIRECTORY_KEY = 'celerybarrow/directory';

/** Time for a new data centre to become known everywhere before ids may fall to it. */
export const DIRECTORY_LEAD_MS = 2_000;

const directorySchema = z.object({
  dataCentres: z.array(z.object({ name: z.string(), since: z.number().nonnegative() })),
});

export type Directory = z.infer<typeof directorySchema>;

export const emptyDirectory: Directory = { dataCentres: [] };

/** Parses a directory; undefined when the text is not one. */
export function parseDirectory(text: string): Directory | undefined {
  try {
    return directorySchema.safeParse(JSON.parse(text)).data;
  } catch {
    return undefined;
  }
}

/** Adds a data centre for ids created from `nowMs` plus the lead on; the first one takes all ids. */
export function addDataCentre(directory: Directory, name: string, nowMs: number): Directory {
  if (directory.dataCentres.some((one) => one.name === name)) return directory;
  const since = directory.dataCentres.length === 0 ? 0 : nowMs + DIRECTORY_LEAD_MS;
  return { dataCentres: [...directory.dataCentres, { name, since }] };
}

/**
 * The home of an id whose submission names none; undefined while no data centre is known. It follows
 * from the id alone: an id that carries no creation time belongs to the first data centre for ever,
 * because a time that its caller gives may differ from one submission to the next.
 */
export function findHome(directory: Directory, id: string): string | undefined {
  const createdAt = readCreationTime(id) ?? 0;
  const candidates = directory.dataCentres.filter((one) => one.since <= createdAt);
  return rankByRendezvous(id, candidates, (one) => one.name)[0]?.name;
}

/** Reads the directory from the platform; undefined when it did not answer. */
export async function readDirectory(platform: Store): Promise<Directory | undefined> {
  const found = await platform.get(DIRECTORY_KEY);
  if (found.isErr) return undefined;
  return (found.value && parseDirectory(found.value.value)) ?? emptyDirectory;
}
