/**
 * Caches the rosters of all data centres at an instance. Updates come from the platform's watch and
 * from peers. Of two rosters of the same data centre, the one with the higher version is kept.
 */
import { rosterSchema, type Member, type Roster } from '@celerybarrow/protocol';
import type { Logger } from '@celerybarrow/telemetry';
import { emptyDirectory, parseDirectory, type Directory } from './directory.js';
import type { RosterView } from './ownership.js';
import { hasMember } from './rosterChanges.js';

export const ROSTER_PREFIX = 'celerybarrow/roster/';

export function rosterKey(dataCentre: string): string {
  return `${ROSTER_PREFIX}${dataCentre}`;
}

export interface RosterCache {
  readonly dataCentre: string;
  /** Returns the view of a data centre, or undefined while its roster is not known. */
  view(dataCentre: string): RosterView | undefined;
  /** Returns the view of this instance's data centre. */
  ownView(): RosterView | undefined;
  directory(): Directory;
  rosters(): readonly Roster[];
  /** Replaces the cached roster by a newer one. Returns whether it was newer. */
  update(roster: Roster): boolean;
  updateFromText(text: string): void;
  updateDirectory(text: string): void;
  /** Records that a member of this instance's data centre has sealed an epoch. */
  recordSeal(epoch: number, incarnation: string): void;
  /** Calls the subscriber with the name of the data centre after each change of its view. */
  onChange(subscriber: (dataCentre: string) => void): void;
  findMember(instance: string, incarnation: string): Member | undefined;
}

export function createRosterCache(dataCentre: string, logger: Logger): RosterCache {
  const views = new Map<string, RosterView>();
  const subscribers = new Set<(dataCentre: string) => void>();
  let directory = emptyDirectory;

  function update(roster: Roster): boolean {
    const known = views.get(roster.dataCentre);
    if (known !== undefined && known.roster.version >= roster.version) return false;
    const isSameEpoch = known?.roster.epoch === roster.epoch;
    const ceded = isSameEpoch ? known.ceded : carryOverSeals(known, roster);
    views.set(roster.dataCentre, { roster, ceded });
    if (!isSameEpoch && roster.dataCentre === dataCentre) {
      logger.info('Adopted a roster.', { epoch: roster.epoch, members: roster.members.length });
    }
    if (known !== undefined && roster.memoryLostBefore > known.roster.memoryLostBefore) {
      logger.warn(
        'Claims may be lost; ids created before this time are answered with may-have-run.',
        {
          dataCentre: roster.dataCentre,
          before: new Date(roster.memoryLostBefore).toISOString(),
        },
      );
    }
    notify(roster.dataCentre);
    return true;
  }

  function notify(changed: string): void {
    for (const subscriber of subscribers) subscriber(changed);
  }

  return {
    dataCentre,
    view: (name) => views.get(name),
    ownView: () => views.get(dataCentre),
    directory: () => directory,
    rosters: () => [...views.values()].map((view) => view.roster),
    update,
    updateFromText(text) {
      const roster = parseRoster(text);
      if (roster === undefined) logger.warn('Ignored an invalid roster.');
      else update(roster);
    },
    updateDirectory(text) {
      const offered = parseDirectory(text);
      // Data centres are never removed, so the longer directory is the newer one.
      if (offered && offered.dataCentres.length > directory.dataCentres.length) directory = offered;
    },
    recordSeal(epoch, incarnation) {
      const view = views.get(dataCentre);
      if (view?.roster.epoch !== epoch || view.ceded.has(incarnation)) return;
      views.set(dataCentre, { ...view, ceded: new Set([...view.ceded, incarnation]) });
      notify(dataCentre);
    },
    onChange(subscriber) {
      subscribers.add(subscriber);
    },
    findMember(instance, incarnation) {
      for (const { roster } of views.values()) {
        const found = [...roster.members, ...roster.sources].find(
          (one) => one.instance === instance && one.incarnation === incarnation,
        );
        if (found !== undefined) return found;
      }
      return undefined;
    },
  };
}

export function parseRoster(text: string): Roster | undefined {
  try {
    return rosterSchema.safeParse(JSON.parse(text)).data;
  } catch {
    return undefined;
  }
}

/** Carries seals over to the next epoch for the members that the new roster still lists. */
function carryOverSeals(known: RosterView | undefined, roster: Roster): ReadonlySet<string> {
  const ceded = [...(known?.ceded ?? [])];
  return new Set(ceded.filter((incarnation) => hasMember(roster, incarnation)));
}
