/** The status document that operators read. */
import type { TimerService } from '@celerybarrow/timer';
import type { Member, Traffic } from '@celerybarrow/protocol';
import type { HttpStore } from '@celerybarrow/store';
import type { ConfigurationKeeper } from '@celerybarrow/configuration';
import type { Membership, RosterKeeper } from '@celerybarrow/membership';
import type { ClaimStore } from '@celerybarrow/claims';
import type { Placement } from '@celerybarrow/placement';
import type { Admission } from '@celerybarrow/admission';
import type { JobService } from '@celerybarrow/jobs';
import type { Gateway } from '@celerybarrow/gateway';
import type { Metrics } from '@celerybarrow/telemetry';
import type { Settings } from './settings.js';

const MICROSECONDS_IN_A_MILLISECOND = 1_000;

export interface Status {
  describe(): unknown;
  onPlatformContact(isReachable: boolean): void;
  hasReadPlatform(): boolean;
  startStopping(): void;
  isStopping(): boolean;
}

export interface StatusOptions {
  readonly settings: Settings;
  readonly self: Member;
  readonly metrics: Metrics;
  readonly traffic: Traffic;
  readonly platform: HttpStore;
  readonly configuration: ConfigurationKeeper;
  readonly rosters: RosterKeeper;
  readonly membership: Membership;
  readonly store: ClaimStore;
  readonly placement: Placement;
  readonly admission: Admission;
  readonly jobs: JobService;
  readonly gateway: Gateway;
  readonly timer: TimerService;
}

export function createStatus(options: StatusOptions): Status {
  const { settings, self, rosters, placement, timer } = options;
  let isReachable = false;
  let hasRead = false;
  let stopping = false;

  function describeRoster() {
    const view = rosters.own();
    if (view === undefined) return undefined;
    const { roster, ceded } = view;
    return {
      dataCentre: roster.dataCentre,
      epoch: roster.epoch,
      version: roster.version,
      settled: roster.sources.length === 0,
      memoryLostBefore: roster.memoryLostBefore,
      members: roster.members.map((member) => ({
        ...member,
        ceded: ceded.has(member.incarnation),
      })),
    };
  }

  function describeEndpoints() {
    const nowMs = timer.nowMs();
    return placement.endpointStates().map((state) => ({
      id: state.endpoint.id,
      address: state.endpoint.address,
      slots: state.endpoint.slots,
      busy: state.busySlots(),
      health: state.health.state(nowMs),
      speed: state.health.speed(),
      failureRatio: state.health.failureRatio(),
    }));
  }

  function describeProcess() {
    const cpu = process.cpuUsage();
    return {
      cpuMs: (cpu.user + cpu.system) / MICROSECONDS_IN_A_MILLISECOND,
      residentBytes: process.memoryUsage.rss(),
      uptimeMs: Math.round(process.uptime() * 1_000),
    };
  }

  return {
    describe: () => ({
      instance: self.instance,
      incarnation: self.incarnation,
      dataCentre: settings.dataCentre,
      role: options.membership.isMember() ? 'member' : 'gateway',
      stopping,
      platform: { reachable: isReachable, calls: options.platform.calls() },
      roster: describeRoster(),
      epoch: rosters.own()?.roster.epoch ?? 0,
      dataCentres: rosters.directory().dataCentres,
      configuration: {
        version: options.configuration.current().version,
        services: Object.keys(options.configuration.current().services).sort(),
      },
      endpoints: describeEndpoints(),
      queues: placement.load().groups,
      expectedMs: placement.serviceTimes.entries(),
      jobs: { running: options.jobs.running(), records: options.store.size() },
      openRequests: options.gateway.openRequests(),
      counters: options.metrics.counters(),
      refusals: options.admission.refusals(),
      histograms: options.metrics.histograms.summarize(),
      traffic: { sent: options.traffic.sent() },
      process: describeProcess(),
    }),
    onPlatformContact(reachable) {
      isReachable = reachable;
      hasRead ||= reachable;
    },
    hasReadPlatform: () => hasRead || rosters.own() !== undefined,
    startStopping() {
      stopping = true;
    },
    isStopping: () => stopping,
  };
}
