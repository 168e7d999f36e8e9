/**
 * Tells the other members of the data centre when the load of this instance changes. The interval
 * grows with their number, so that the bytes sent for it stay bounded.
 */
import type { TimerService } from '@celerybarrow/timer';
import type { Load, Member } from '@celerybarrow/protocol';
import {
  activeMembers,
  type Heartbeat,
  type Peers,
  type RosterKeeper,
} from '@celerybarrow/membership';

const SHORTEST_INTERVAL_MS = 50;
const INTERVAL_FOR_A_PEER_MS = 20;
const REPORT_TIMEOUT_MS = 1_000;
/** Change of the queued work, relative to the capacity for this time, that is worth a report. */
const QUEUE_CHANGE_MS = 20;

export interface LoadReporter {
  /** Notes that the load may have changed. */
  onChange(): void;
  close(): void;
}

export interface LoadReporterOptions {
  readonly self: Member;
  readonly rosters: RosterKeeper;
  readonly peers: Peers;
  readonly heartbeat: Heartbeat;
  readonly timer: TimerService;
  readonly load: () => Load;
}

export function createLoadReporter(options: LoadReporterOptions): LoadReporter {
  const { self, rosters, peers, heartbeat, timer } = options;
  let isChanged = false;
  let reportedMs = 0;
  let reported: Load = { groups: [] };

  function reportIfDue(): void {
    if (!isChanged) return;
    const others = findOthers();
    const intervalMs = Math.max(SHORTEST_INTERVAL_MS, others.length * INTERVAL_FOR_A_PEER_MS);
    if (timer.nowMs() - reportedMs < intervalMs) return;
    isChanged = false;
    const load = options.load();
    if (!isWorthReporting(reported, load)) return;
    reported = load;
    reportedMs = timer.nowMs();
    for (const member of others) {
      void peers.request(member, 'load', { load }, { timeoutMs: REPORT_TIMEOUT_MS });
    }
  }

  function findOthers(): readonly Member[] {
    const view = rosters.own();
    if (view === undefined) return [];
    return activeMembers(view).filter(
      (member) =>
        member.incarnation !== self.incarnation && heartbeat.isReachable(member.incarnation),
    );
  }

  const stop = timer.onEvery(SHORTEST_INTERVAL_MS, reportIfDue);

  return {
    onChange() {
      isChanged = true;
    },
    close: stop,
  };
}

function isWorthReporting(before: Load, after: Load): boolean {
  if (before.groups.length !== after.groups.length) return true;
  return after.groups.some((group, index) => {
    const earlier = before.groups[index];
    if (earlier?.service !== group.service || earlier?.slots !== group.slots) return true;
    if (countFree(earlier.free) !== countFree(group.free)) return true;
    const changeMs = Math.abs(earlier.queuedMs - group.queuedMs) / Math.max(1, group.capacity);
    return changeMs > QUEUE_CHANGE_MS;
  });
}

function countFree(free: readonly { slots: number }[]): number {
  return free.reduce((total, one) => total + one.slots, 0);
}
