/**
 * The list of data centres that can be the home of an id whose submission names none. A data centre
 * is a candidate only for ids created after it was added, so the home of an id never changes.
 */
import { z } from 'zod';
import type { Store } from '@celerybarrow/store';
import { rankByRendezvous, readCreationTime } from '@celerybarrow/shared';

export const DIRECTORY_KEY = 'celerybarrow/directory';

/**
 * Delay before ids may be assigned to a new data centre, so that every instance knows it by then.
 */
export const DIRECTORY_LEAD_MS = 2_000;

const directorySchema = z.object({
  dataCentres: z.array(z.object({ name: z.string(), since: z.number().nonnegative() })),
});

export type Directory = z.infer<typeof directorySchema>;

export const emptyDirectory: Directory = { dataCentres: [] };

/** Parses a directory; returns undefined for any other text. */
export function parseDirectory(text: string): Directory | undefined {
  try {
    return directorySchema.safeParse(JSON.parse(text)).data;
  } catch {
    return undefined;
  }
}

/**
 * Adds a data centre as a candidate for ids created at `nowMs` plus the lead time or later. The
 * first data centre is a candidate for all ids.
 */
export function addDataCentre(directory: Directory, name: string, nowMs: number): Directory {
  if (directory.dataCentres.some((one) => one.name === name)) return directory;
  const since = directory.dataCentres.length === 0 ? 0 : nowMs + DIRECTORY_LEAD_MS;
  return { dataCentres: [...directory.dataCentres, { name, since }] };
}

/**
 * Returns the home of an id whose submission names none, or undefined while no data centre is
 * known. The home depends on the id alone. An id without a creation time always belongs to the
 * first data centre: a creation time given by the caller could differ between two submissions of
 * the same id.
 */
export function findHome(directory: Directory, id: string): string | undefined {
  const createdAt = readCreationTime(id) ?? 0;
  const candidates = directory.dataCentres.filter((one) => one.since <= createdAt);
  return rankByRendezvous(id, candidates, (one) => one.name)[0]?.name;
}

/** Reads the directory from the platform; returns undefined when the platform did not answer. */
export async function readDirectory(platform: Store): Promise<Directory | undefined> {
  const found = await platform.get(DIRECTORY_KEY);
  if (found.isErr) return undefined;
  return (found.value && parseDirectory(found.value.value)) ?? emptyDirectory;
}
