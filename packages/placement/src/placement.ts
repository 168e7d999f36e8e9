/**
 * Places the tasks of jobs on the endpoints of this instance, or sends them in batches to peers
 * that control other endpoints. Tasks that are reported as not started are placed again.
 */
import { ErrorCodes, type Random } from '@celerybarrow/shared';
import type { TimerService } from '@celerybarrow/timer';
import {
  TaskOutcomes,
  type RequestBody,
  type BatchTask,
  type Greeting,
  type Load,
  type Member,
  type Reply,
  type TaskResult,
} from '@celerybarrow/protocol';
import {
  activeMembers,
  type Heartbeat,
  type Peers,
  type RosterCache,
} from '@celerybarrow/membership';
import type { Metrics } from '@celerybarrow/telemetry';
import { createBatchReceiver } from './batchReceiver.js';
import { createBatchSender } from './batchSender.js';
import { createTaskDispatcher } from './taskDispatcher.js';
import type { EndpointClient } from './endpointClient.js';
import type { EndpointDirectory } from './endpointDirectory.js';
import type { EndpointState } from './endpointState.js';
import { createLoadReporter } from './loadReporter.js';
import { createPeerLoads } from './peerLoads.js';
import { PlacementError } from './placementError.js';
import { estimateCompletion, type CompletionEstimate } from './estimateCompletion.js';
import { planPlacement, type TaskAssignment, type CandidateController } from './planPlacement.js';
import { createServiceTimes, type ServiceTimes } from './serviceTimes.js';
import type { LoadBalancingPolicy } from './loadBalancingPolicy.js';
import { assignControllers } from './assignControllers.js';

const PLACEMENT_RETRY_DELAY_MS = 20;

/** The properties of a job that placement needs. */
export interface PlacementJob {
  readonly id: string;
  readonly service: string;
  readonly team: string;
  readonly weight: number;
  /** Wall-clock time after which no task may be started, milliseconds. */
  readonly startBefore: number;
  /** Wall-clock time at which the job was submitted, milliseconds. */
  readonly submittedAt: number;
  /** Called once per task with its final result. */
  readonly onResult: (result: TaskResult) => void;
  /** Called for each task that a peer may have started before it ended or contact was lost. */
  readonly onLost: (index: number) => void;
}

interface OpenJob {
  readonly job: PlacementJob;
  readonly peers: Set<Member>;
  isDropped: boolean;
}

export interface Placement {
  /** Starts placing the tasks of a job. */
  open(job: PlacementJob, tasks: readonly BatchTask[]): void;
  /** Drops the tasks of a job that have not started, on this instance and on peers. */
  drop(job: string): void;
  /** Closes a job. Later results are ignored. */
  end(job: string): void;
  readonly serviceTimes: ServiceTimes;
  load(): Load;
  endpointStates(): readonly EndpointState[];
  /** Returns the number of waiting tasks of a service on this instance. */
  waiting(service: string): number;
  /** Estimates the minimum time that these tasks wait and run. */
  estimate(service: string, tasks: readonly BatchTask[]): CompletionEstimate;
  /**
   * Whether the data centre has a live endpoint for the service. Returns true until the list of
   * endpoints has been read for the first time.
   */
  canServe(service: string): boolean;
  receiveBatch(ask: RequestBody<'batch'>, peer: Greeting): Reply<'batch'>;
  receiveResults(ask: RequestBody<'results'>, peer: Greeting): Reply<'results'>;
  receiveDrop(ask: RequestBody<'drop'>): Reply<'drop'>;
  receiveLoad(ask: RequestBody<'load'>, peer: Greeting): Reply<'load'>;
  onPeerLoad(incarnation: string, load: Load): void;
  /** Refuses new batches and resolves when no task runs and all batch results are delivered. */
  drain(): Promise<void>;
  close(): void;
}

export interface PlacementOptions {
  readonly self: Member;
  readonly client: EndpointClient;
  readonly directory: EndpointDirectory;
  readonly rosters: RosterCache;
  readonly peers: Peers;
  readonly heartbeat: Heartbeat;
  readonly policy: LoadBalancingPolicy;
  readonly timer: TimerService;
  readonly random: Random;
  readonly metrics: Metrics;
  /** Returns how many tasks of a service this instance may run concurrently. */
  readonly concurrencyOf: (service: string) => number;
}

const DRAIN_CHECK_INTERVAL_MS = 20;
const DROP_TIMEOUT_MS = 2_000;

export function createPlacement(options: PlacementOptions): Placement {
  const { self, directory, rosters, peers, heartbeat, policy, timer, metrics } = options;
  const serviceTimes = createServiceTimes();
  const loads = createPeerLoads();
  const dispatcher = createTaskDispatcher({
    ...options,
    serviceTimes,
    onLoadChange: () => {
      reporter.onChange();
    },
    countEndpoints: () => directory.live().length,
  });
  const reporter = createLoadReporter({ ...options, load: () => dispatcher.load() });
  const sender = createBatchSender({
    peers,
    loads,
    timer,
    isMember: (incarnation) =>
      rosters.ownView()?.roster.members.some((member) => member.incarnation === incarnation) ===
      true,
  });
  const receiver = createBatchReceiver({
    dispatcher,
    peers,
    timer,
    findMember: (instance, incarnation) => rosters.findMember(instance, incarnation),
  });
  const openJobs = new Map<string, OpenJob>();

  function updateOwnEndpoints(): void {
    const view = rosters.ownView();
    const members = view === undefined ? [] : activeMembers(view).map((member) => member.instance);
    const endpoints = directory.live();
    if (!policy.usesControllers) {
      dispatcher.setEndpoints(endpoints);
      return;
    }
    const controllers = assignControllers(endpoints, members);
    dispatcher.setEndpoints(
      endpoints.filter((endpoint) => controllers.get(endpoint.id) === self.instance),
    );
  }

  function placeTasks(openJob: OpenJob, tasks: readonly BatchTask[], isRetry = false): void {
    const { job } = openJob;
    const assignments = planPlacement(job.service, tasks, findCandidates());
    if (assignments.length === 0) {
      retryOrReport(openJob, tasks);
      return;
    }
    for (const assignment of assignments) {
      if (assignment.isSelf) placeLocally(openJob, assignment.tasks);
      else sendToPeer(openJob, assignment, isRetry);
    }
  }

  function findCandidates(): readonly CandidateController[] {
    const own = { incarnation: self.incarnation, isSelf: true, load: dispatcher.load() };
    const view = rosters.ownView();
    if (view === undefined || !policy.usesControllers) return [own];
    const others = activeMembers(view).flatMap((member) => {
      if (member.incarnation === self.incarnation) return [];
      const load = loads.find(member.incarnation);
      if (load === undefined || !heartbeat.isReachable(member.incarnation)) return [];
      return [{ incarnation: member.incarnation, isSelf: false, load }];
    });
    return [own, ...others];
  }

  /**
   * Places tasks again after a delay, for example because no controller has an endpoint for their
   * service now. If the job was dropped or its deadline has passed, reports the tasks as not
   * started instead.
   */
  function retryOrReport(openJob: OpenJob, tasks: readonly BatchTask[]): void {
    const { job } = openJob;
    if (openJob.isDropped || timer.wallMs() >= job.startBefore) {
      const { message } = new PlacementError(
        ErrorCodes.ENDPOINT_UNREACHABLE,
        'no endpoint in time',
      );
      for (const { index } of tasks) {
        job.onResult({ index, outcome: TaskOutcomes.NOT_STARTED, detail: message });
      }
      return;
    }
    timer.onAfter(PLACEMENT_RETRY_DELAY_MS, () => {
      placeTasks(openJob, tasks, true);
    });
  }

  function placeLocally(openJob: OpenJob, tasks: readonly BatchTask[]): void {
    const { job } = openJob;
    for (const task of tasks) {
      dispatcher.enqueue({
        ...task,
        job: job.id,
        service: job.service,
        team: job.team,
        weight: job.weight,
        startBefore: job.startBefore,
        rank: job.submittedAt,
        report: (result) => {
          onResult(openJob, task, result);
        },
      });
    }
  }

  function sendToPeer(openJob: OpenJob, assignment: TaskAssignment, isRetry: boolean): void {
    const { job } = openJob;
    const view = rosters.ownView();
    const member = view?.roster.members.find(
      (candidate) => candidate.incarnation === assignment.incarnation,
    );
    if (member === undefined) {
      retryOrReport(openJob, assignment.tasks);
      return;
    }
    openJob.peers.add(member);
    const byIndex = new Map(assignment.tasks.map((task) => [task.index, task]));
    const nowMs = timer.wallMs();
    metrics.increment(isRetry ? 'batches.sent-again' : 'batches.sent');
    sender.send(
      member,
      {
        job: job.id,
        service: job.service,
        team: job.team,
        weight: job.weight,
        remainingMs: Math.round(job.startBefore - nowMs),
        startBefore: Math.round(job.startBefore),
        ageMs: Math.max(0, Math.round(nowMs - job.submittedAt)),
        tasks: assignment.tasks,
      },
      {
        onResult(result) {
          const task = byIndex.get(result.index);
          if (task !== undefined) onResult(openJob, task, result);
        },
        isDropped: () => openJob.isDropped,
        onLost(indexes) {
          if (openJobs.get(job.id) !== openJob) return;
          for (const index of indexes) job.onLost(index);
        },
      },
    );
  }

  function onResult(openJob: OpenJob, task: BatchTask, result: TaskResult): void {
    const { job } = openJob;
    if (result.outcome === TaskOutcomes.DONE && result.ranMs !== undefined) {
      serviceTimes.recordRun(job.service, task.kind, result.ranMs);
    }
    if (openJobs.get(job.id) !== openJob) return;
    const canRetry = !openJob.isDropped && timer.wallMs() < job.startBefore;
    if (result.outcome === TaskOutcomes.NOT_STARTED && canRetry) {
      metrics.increment('tasks.placed-again');
      retryOrReport(openJob, [task]);
      return;
    }
    job.onResult(result);
  }

  function drop(job: string): void {
    const openJob = openJobs.get(job);
    if (openJob === undefined) return;
    openJob.isDropped = true;
    dispatcher.drop(job);
    for (const member of openJob.peers) {
      void peers.request(member, 'drop', { job }, { timeoutMs: DROP_TIMEOUT_MS });
    }
  }

  /**
   * Waits for running tasks and undelivered results. It need not empty the queue: after this
   * instance has sealed its epoch, other instances control its endpoints, and the task dispatcher
   * reports the waiting tasks as not started.
   */
  async function drain(): Promise<void> {
    receiver.drain();
    while (dispatcher.running() > 0 || receiver.open() > 0)
      await timer.sleep(DRAIN_CHECK_INTERVAL_MS);
  }

  directory.onChange(updateOwnEndpoints);
  rosters.onChange((dataCentre) => {
    if (dataCentre === rosters.dataCentre) updateOwnEndpoints();
  });
  updateOwnEndpoints();

  return {
    open(job, tasks) {
      const openJob = { job, peers: new Set<Member>(), isDropped: false };
      openJobs.set(job.id, openJob);
      placeTasks(openJob, tasks);
    },
    drop,
    end(job) {
      openJobs.delete(job);
    },
    serviceTimes,
    load: () => dispatcher.load(),
    endpointStates: () => dispatcher.endpointStates(),
    waiting: (service) => dispatcher.waiting(service),
    estimate: (service, tasks) => estimateCompletion(service, tasks, findCandidates()),
    canServe: (service) =>
      !directory.hasBeenRead() ||
      directory
        .live()
        .some((endpoint) => endpoint.service === undefined || endpoint.service === service),
    receiveBatch: (ask, peer) => receiver.receive(ask, peer),
    receiveResults(ask, peer) {
      sender.onResults(ask, peer);
      return {};
    },
    receiveDrop(ask) {
      dispatcher.drop(ask.job);
      return {};
    },
    receiveLoad(ask, peer) {
      loads.onReport(peer.incarnation, ask.load);
      return {};
    },
    onPeerLoad: (incarnation, load) => {
      loads.onReport(incarnation, load);
    },
    drain,
    close() {
      dispatcher.close();
      receiver.close();
      reporter.close();
    },
  };
}
