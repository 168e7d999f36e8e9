/** Ranks the members of a roster that can own an id: rendezvous order, without sealed members. */
import { rankByRendezvous } from '@celerybarrow/shared';
import type { Member, Roster } from '@celerybarrow/protocol';

/** The members of a data centre as an instance knows them at one moment. */
export interface RosterView {
  readonly roster: Roster;
  /** Sealed members: incarnations that promised to register no more claims in this epoch. */
  readonly ceded: ReadonlySet<string>;
}

/** Returns the members that can own ids: all that have not sealed the epoch. */
export function activeMembers(view: RosterView): readonly Member[] {
  if (view.ceded.size === 0) return view.roster.members;
  return view.roster.members.filter((member) => !view.ceded.has(member.incarnation));
}

/** Returns the active members in the order for an id: owner first, preferred witness second. */
export function rankMembers(view: RosterView, id: string): readonly Member[] {
  return rankByRendezvous(id, activeMembers(view), (member) => member.instance);
}

export function findOwner(view: RosterView, id: string): Member | undefined {
  return rankMembers(view, id)[0];
}
