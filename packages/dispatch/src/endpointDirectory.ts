/**
 * Tracks the usable endpoints from their entries in the store.
 *
 * An entry that disappears without an announced leave is kept for a grace period. Entries also
 * expire while the store is unreachable, and live endpoints restore theirs about two seconds after
 * it is reachable again. The endpoint controller detects whether such an endpoint still answers.
 *
 * After the grace period the entry is listed as leaving for a while before it is dropped. The
 * endpoint gets no new tasks then, and its dispatcher has time to tell the other instances which
 * jobs still run there.
 *
 * The published list distinguishes an announced leave from an unreadable entry, so that the next
 * dispatcher keeps the endpoint as well.
 */
import type { EndpointEntry } from '@celerybarrow/endpoints';
import type { MonotonicClock } from '@celerybarrow/timer';
import { ANNOUNCEMENT_MS } from './announcement.js';

/** Live endpoints restore their entries within 2 s after the store is reachable again. */
const MISSING_GRACE_MS = 2_500;

export interface EndpointDirectory {
  /**
   * Records the entry of an endpoint, or `undefined` if the entry is invalid. An endpoint whose
   * entry becomes invalid gets no new tasks, but may still run some.
   */
  take(id: string, entry: EndpointEntry | undefined): void;
  /** Records that the store no longer has the entry. */
  markRemoved(id: string): void;
  /** Replaces all entries with the list that another instance published. */
  replace(entries: readonly EndpointEntry[]): void;
  entries(): readonly EndpointEntry[];
  /** Returns a number that rises whenever the result of `entries` may have changed. */
  changes(): number;
}

/** Marks an endpoint that gets no new tasks although it did not announce a leave. */
const DEPARTING = { isLeaving: true, isSpoiled: true } as const;

interface ListedEndpoint {
  readonly entry: EndpointEntry;
  missingSinceMs?: number;
  /** Since when it is listed as leaving because it was missing for the grace period. */
  departingSinceMs?: number;
}

export function createEndpointDirectory(clock: MonotonicClock): EndpointDirectory {
  const listed = new Map<string, ListedEndpoint>();
  let changes = 0;

  function removeExpired(): void {
    const nowMs = clock.nowMs();
    for (const [id, { entry, missingSinceMs, departingSinceMs }] of listed) {
      if (missingSinceMs === undefined || nowMs - missingSinceMs <= MISSING_GRACE_MS) continue;
      const wasListedAsLeaving =
        departingSinceMs === undefined
          ? entry.isLeaving
          : nowMs - departingSinceMs > ANNOUNCEMENT_MS;
      if (wasListedAsLeaving) listed.delete(id);
      else if (departingSinceMs !== undefined) continue;
      else {
        const departing = { ...entry, ...DEPARTING };
        listed.set(id, { entry: departing, missingSinceMs, departingSinceMs: nowMs });
      }
      changes += 1;
    }
  }

  return {
    take(id, entry) {
      const known = listed.get(id);
      // Sources return the same object for a heartbeat that changes nothing else.
      if (entry !== undefined && known?.entry === entry && known.missingSinceMs === undefined)
        return;
      changes += 1;
      if (entry !== undefined) listed.set(id, { entry });
      else if (known !== undefined) {
        const missingSinceMs = known.missingSinceMs ?? clock.nowMs();
        listed.set(id, { entry: { ...known.entry, ...DEPARTING }, missingSinceMs });
      }
    },
    markRemoved(id) {
      const known = listed.get(id);
      if (known === undefined || known.missingSinceMs !== undefined) return;
      changes += 1;
      if (known.entry.isLeaving && known.entry.isSpoiled !== true) listed.delete(id);
      else known.missingSinceMs = clock.nowMs();
    },
    replace(entries) {
      changes += 1;
      listed.clear();
      for (const entry of entries) listed.set(entry.id, { entry });
    },
    entries() {
      removeExpired();
      return [...listed.values()].map(({ entry }) => entry);
    },
    changes() {
      removeExpired();
      return changes;
    },
  };
}
