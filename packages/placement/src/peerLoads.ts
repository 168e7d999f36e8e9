/**
 * Stores the last reported load of the other members. Work that is sent to a member is added to its
 * load immediately. It stays added until the member answers the batch, because reports that arrive
 * before the answer may be older than the batch.
 */
import type { GroupLoad, Load } from '@celerybarrow/protocol';

export interface SentWork {
  readonly service: string;
  readonly tasks: number;
  /** Expected run time at speed 1, milliseconds. */
  readonly workMs: number;
}

export interface PeerLoads {
  /** Replaces the stored load of a member with its report. */
  onReport(incarnation: string, load: Load): void;
  /** Returns the reported load plus the work that the member has not yet answered. */
  find(incarnation: string): Load | undefined;
  /** Adds work that was sent to a member. */
  onSent(incarnation: string, work: SentWork): void;
  /** Removes sent work after the member answered the batch; its reports now include the work. */
  onAnswered(incarnation: string, work: SentWork): void;
  /** Removes the load of a member. */
  forget(incarnation: string): void;
}

interface PeerLoad {
  reported: Load;
  readonly unanswered: Set<SentWork>;
}

export function createPeerLoads(): PeerLoads {
  const loads = new Map<string, PeerLoad>();

  return {
    onReport(incarnation, load) {
      const peerLoad = loads.get(incarnation);
      if (peerLoad === undefined) loads.set(incarnation, { reported: load, unanswered: new Set() });
      else peerLoad.reported = load;
    },
    find(incarnation) {
      const peerLoad = loads.get(incarnation);
      if (peerLoad === undefined) return undefined;
      let load = peerLoad.reported;
      for (const work of peerLoad.unanswered) load = addWork(load, work);
      return load;
    },
    onSent(incarnation, work) {
      loads.get(incarnation)?.unanswered.add(work);
    },
    onAnswered(incarnation, work) {
      loads.get(incarnation)?.unanswered.delete(work);
    },
    forget(incarnation) {
      loads.delete(incarnation);
    },
  };
}

/** Whether the endpoints of a group run this service. */
export function isGroupFor(group: GroupLoad, service: string): boolean {
  return group.service === undefined || group.service === service;
}

function addWork(load: Load, work: SentWork): Load {
  return {
    groups: load.groups.map((group) =>
      isGroupFor(group, work.service) ? addWorkToGroup(group, work) : group,
    ),
  };
}

/** Returns the group after tasks filled its free slots, fastest first, and the rest were queued. */
function addWorkToGroup(group: GroupLoad, { tasks, workMs }: SentWork): GroupLoad {
  let remaining = tasks;
  const free = group.free.map((entry) => {
    const used = Math.min(remaining, entry.slots);
    remaining -= used;
    return { ...entry, slots: entry.slots - used };
  });
  const queuedFraction = tasks === 0 ? 0 : remaining / tasks;
  return { ...group, free, queuedMs: group.queuedMs + workMs * queuedFraction };
}
