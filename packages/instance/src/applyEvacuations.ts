/**
 * Marks the endpoints on which nothing may start, before dispatchers and the shard chooser get the list.
 *
 * Fault pattern: the operator evacuates a data centre whose machines are about to become slow or to
 * disappear. Capacity, forecasts, refusals and shards must exclude its endpoints at once, and the runs
 * there must still be followed until they end. The endpoints therefore stay listed, as those that leave.
 */
import type { EndpointEntry } from '@celerybarrow/endpoints';

/**
 * The marked copy of each entry. An endpoint controller recognises an entry that was not written again
 * since a restart by its identity, so equal calls return the same objects.
 */
const evacuatedCopies = new WeakMap<EndpointEntry, EndpointEntry>();
const heldCopies = new WeakMap<EndpointEntry, EndpointEntry>();

/**
 * Returns the entries with those in evacuated data centres marked. While the evacuated data centres are
 * unknown (`undefined`), nothing may start anywhere, but jobs are not refused for it.
 */
export function applyEvacuations(
  entries: readonly EndpointEntry[],
  evacuated: ReadonlySet<string> | undefined,
): readonly EndpointEntry[] {
  if (evacuated === undefined)
    return entries.map((entry) => copyOf(entry, heldCopies, { isLeaving: true }));
  if (evacuated.size === 0) return entries;
  const marks = { isLeaving: true, isEvacuated: true };
  return entries.map((entry) =>
    evacuated.has(entry.dataCentre) ? copyOf(entry, evacuatedCopies, marks) : entry,
  );
}

function copyOf(
  entry: EndpointEntry,
  copies: WeakMap<EndpointEntry, EndpointEntry>,
  marks: Partial<EndpointEntry>,
): EndpointEntry {
  const copy = copies.get(entry) ?? { ...entry, ...marks };
  copies.set(entry, copy);
  return copy;
}
