/**
 * Reports load changes of this instance to the other members of the data centre. The mean interval
 * between reports grows with the number of members, which bounds the bytes sent for reports.
 */
import type { TimerService } from '@celerybarrow/timer';
import type { Load, Member } from '@celerybarrow/protocol';
import {
  activeMembers,
  type Heartbeat,
  type Peers,
  type RosterKeeper,
} from '@celerybarrow/membership';

const MIN_INTERVAL_MS = 50;
const INTERVAL_PER_PEER_MS = 20;
/** Number of reports that may be sent in a burst after a time without reports. */
const MAX_BURST_REPORTS = 4;
const REPORT_TIMEOUT_MS = 1_000;
/** A change of the queued work, divided by the capacity, is reported if it exceeds this time. */
const MIN_QUEUE_CHANGE_MS = 20;

export interface LoadReporter {
  /** Schedules a report because the load may have changed. */
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
  const closing = new AbortController();
  let isScheduled = false;
  let tokens = MAX_BURST_REPORTS;
  let refilledMs = timer.nowMs();
  let lastReport: Load = { groups: [] };

  /** Reports immediately if the bucket has a token, otherwise as soon as it has one. */
  async function report(): Promise<void> {
    const waitMs = getWaitMs();
    if (waitMs > 0) await timer.sleep(waitMs, closing.signal);
    isScheduled = false;
    if (closing.signal.aborted) return;
    const load = options.load();
    if (!hasSignificantChange(lastReport, load)) return;
    tokens -= 1;
    lastReport = load;
    for (const member of findReachablePeers()) {
      void peers.request(member, 'load', { load }, { timeoutMs: REPORT_TIMEOUT_MS });
    }
  }

  /** Refills the token bucket and returns the time until a report is allowed. */
  function getWaitMs(): number {
    const intervalMs = Math.max(
      MIN_INTERVAL_MS,
      findReachablePeers().length * INTERVAL_PER_PEER_MS,
    );
    const nowMs = timer.nowMs();
    tokens = Math.min(MAX_BURST_REPORTS, tokens + (nowMs - refilledMs) / intervalMs);
    refilledMs = nowMs;
    return tokens >= 1 ? 0 : (1 - tokens) * intervalMs;
  }

  function findReachablePeers(): readonly Member[] {
    const view = rosters.own();
    if (view === undefined) return [];
    return activeMembers(view).filter(
      (member) =>
        member.incarnation !== self.incarnation && heartbeat.isReachable(member.incarnation),
    );
  }

  return {
    onChange() {
      if (isScheduled) return;
      isScheduled = true;
      setImmediate(() => {
        void report();
      });
    },
    close() {
      closing.abort();
    },
  };
}

function hasSignificantChange(before: Load, after: Load): boolean {
  if (before.groups.length !== after.groups.length) return true;
  return after.groups.some((group, index) => {
    const earlierGroup = before.groups[index];
    if (earlierGroup?.service !== group.service || earlierGroup?.slots !== group.slots) return true;
    if (countFreeSlots(earlierGroup.free) !== countFreeSlots(group.free)) return true;
    const changeMs = Math.abs(earlierGroup.queuedMs - group.queuedMs) / Math.max(1, group.capacity);
    return changeMs > MIN_QUEUE_CHANGE_MS;
  });
}

function countFreeSlots(free: readonly { slots: number }[]): number {
  return free.reduce((total, entry) => total + entry.slots, 0);
}
