/**
 * Tracks the incarnations that certainly no longer use the single-member lease: they have sealed
 * their epoch, or their processes have ended. They are recorded at every roster change instead of
 * being read from the current roster. A seal and the roster that removes its member may both arrive
 * between two polls of the roster, and the newer roster no longer shows the seal.
 */
import type { RosterCache } from './rosterCache.js';

/** Returns a set that is updated with every roster change of this instance's data centre. */
export function trackFormerLeaseHolders(rosters: RosterCache): ReadonlySet<string> {
  const formerHolders = new Set<string>();

  function record(): void {
    const view = rosters.ownView();
    if (view === undefined) return;
    for (const incarnation of view.ceded) formerHolders.add(incarnation);
    for (const loss of view.roster.lost) if (loss.isProven) formerHolders.add(loss.incarnation);
  }

  rosters.onChange(record);
  record();
  return formerHolders;
}
