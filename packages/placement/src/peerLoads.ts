/**
 * What the other members last said of their load. Work sent to a member is added at once, so that
 * several jobs between two reports do not all choose the same one.
 */
import type { GroupLoad, Load } from '@celerybarrow/protocol';

export interface PeerLoads {
  /** Replaces what is known of a member with its own report. */
  onReport(incarnation: string, load: Load): void;
  find(incarnation: string): Load | undefined;
  /** Adds work that was sent to a member but is not yet in its reports. */
  addSent(incarnation: string, service: string, tasks: number, workMs: number): void;
  forget(incarnation: string): void;
}

export function createPeerLoads(): PeerLoads {
  const loads = new Map<string, Load>();

  return {
    onReport(incarnation, load) {
      loads.set(incarnation, load);
    },
    find: (incarnation) => loads.get(incarnation),
    addSent(incarnation, service, tasks, workMs) {
      const load = loads.get(incarnation);
      if (load === undefined) return;
      const groups = load.groups.map((group) =>
        isGroupFor(group, service) ? withWork(group, tasks, workMs) : group,
      );
      loads.set(incarnation, { groups });
    },
    forget(incarnation) {
      loads.delete(incarnation);
    },
  };
}

/** Whether the endpoints of a group run a service. */
export function isGroupFor(group: GroupLoad, service: string): boolean {
  return group.service === undefined || group.service === service;
}

/** The group after tasks took its free slots, the fastest first, and the rest were queued. */
function withWork(group: GroupLoad, tasks: number, workMs: number): GroupLoad {
  let left = tasks;
  const free = group.free.map((one) => {
    const taken = Math.min(left, one.slots);
    left -= taken;
    return { ...one, slots: one.slots - taken };
  });
  const queuedShare = tasks === 0 ? 0 : left / tasks;
  return { ...group, free, queuedMs: group.queuedMs + workMs * queuedShare };
}
