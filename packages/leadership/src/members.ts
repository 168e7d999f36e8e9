/**
 * The instances of the fleet, from their entries in the store. An entry that disappears is kept in
 * mind for a while, because leases also lapse when the store was away or has turned an instance away.
 */
import type { FleetMember } from '@celerybarrow/protocol';
import { fleetMemberSchema } from '@celerybarrow/protocol';
import type { Logger } from '@celerybarrow/telemetry';
import type { SteadyClock } from '@celerybarrow/timer';

/** How long an instance without an entry is still asked for its opinion. */
const REMEMBERED_MS = 15_000;

export interface Members {
  applyEntry(name: string, text: string): void;
  applyRemoval(name: string): void;
  addIfAbsent(member: FleetMember): void;
  /** All that may be running, without the given incarnations. */
  others(...incarnations: readonly string[]): readonly FleetMember[];
  isListed(member: FleetMember): boolean;
}

interface Known {
  readonly member: FleetMember;
  unlistedAtMs?: number | undefined;
}

export function createMembers(clock: SteadyClock, logger: Logger): Members {
  const known = new Map<string, Known>();

  function prune(): void {
    const nowMs = clock.nowMs();
    for (const [name, { unlistedAtMs }] of known) {
      if (unlistedAtMs !== undefined && nowMs - unlistedAtMs > REMEMBERED_MS) known.delete(name);
    }
  }

  return {
    applyEntry(name, text) {
      const member = parseMember(text);
      if (member === undefined) {
        logger.warn('Entry of an instance cannot be read.', { instance: name });
        return;
      }
      known.set(name, { member });
    },
    applyRemoval(name) {
      const one = known.get(name);
      if (one !== undefined) one.unlistedAtMs ??= clock.nowMs();
    },
    addIfAbsent(member) {
      if (!known.has(member.instance)) known.set(member.instance, { member });
    },
    others(...incarnations) {
      prune();
      return [...known.values()]
        .map(({ member }) => member)
        .filter((member) => !incarnations.includes(member.incarnation));
    },
    isListed(member) {
      const one = known.get(member.instance);
      return one?.member.incarnation === member.incarnation && one.unlistedAtMs === undefined;
    },
  };
}

function parseMember(text: string): FleetMember | undefined {
  try {
    return fleetMemberSchema.safeParse(JSON.parse(text)).data;
  } catch {
    return undefined;
  }
}
