/**
 * Simulates the instances of one data centre in one process. Claims, handover and job service are
 * the real ones; time, network and platform are injected. A cut delays messages, as a frozen
 * instance does. With time limits, the real router forwards submissions, requests are given up
 * as in production, and some submissions are refused.
 */
import { Result } from 'true-myth';
import { createRandom, ErrorCodes, Outcomes, type Random } from '@celerybarrow/shared';
import { createManualTimer, type ManualTimer, type TimerService } from '@celerybarrow/timer';
import {
  ProtocolError,
  TaskOutcomes,
  type Answer,
  type RequestBody,
  type Greeting,
  type Member,
  type Reply,
  type RequestOptions,
  type RequestType,
  type Roster,
  type Submission,
} from '@celerybarrow/protocol';
import {
  createFirstRoster,
  createRosterCache,
  evictMember,
  findOwner,
  hasMember,
  isEvictionSafe,
  isLastBaseMember,
  joinRoster,
  leaveRoster,
  rankMembers,
  completeTransfer,
  type Heartbeat,
  type Peers,
  type RosterCache,
} from '@celerybarrow/membership';
import {
  createClaimRegistry,
  createClaimStore,
  createHandover,
  handOverAndLeave,
  type Handover,
} from '@celerybarrow/claims';
import type { Placement } from '@celerybarrow/placement';
import type { ActiveConfiguration, ServiceFile } from '@celerybarrow/configuration';
import { RefusalReasons, type Refusal } from '@celerybarrow/admission';
import { createLogger, createMetrics } from '@celerybarrow/telemetry';
import {
  createJobService,
  createRouter,
  createTraces,
  type JobService,
  type Router,
} from '../src/index.js';
import { createNetwork, type Network } from './network.js';
import { createPausableTimer, type PausableTimer } from './pausableTimer.js';

export type Command =
  | { readonly type: 'submit'; readonly job: number; readonly node: number; readonly other: number }
  | { readonly type: 'crash'; readonly node: number }
  | { readonly type: 'join'; readonly node: number }
  | { readonly type: 'stop'; readonly node: number }
  | { readonly type: 'read-roster'; readonly node: number }
  | { readonly type: 'cut'; readonly node: number; readonly other: number }
  | { readonly type: 'cut-one-way'; readonly node: number; readonly other: number }
  | { readonly type: 'heal'; readonly node: number; readonly other: number }
  | { readonly type: 'freeze'; readonly node: number }
  | { readonly type: 'resume'; readonly node: number }
  | { readonly type: 'evict'; readonly node: number; readonly other: number }
  | { readonly type: 'platform'; readonly isDown: boolean }
  | { readonly type: 'advance'; readonly ms: number };

export interface Cluster {
  begin(nodes: number): Promise<void>;
  execute(command: Command): Promise<void>;
  end(): Promise<void>;
  faults(): readonly string[];
  /** The number of starts so far, by job. */
  starts(): ReadonlyMap<string, number>;
  /** The answers to a job so far, in order of arrival. */
  answers(job: number): readonly Answer[];
  /** The roster stored in the platform. */
  roster(): Roster | undefined;
  /** Returns the number of the first job, from `first` on, that has this owner and this witness. */
  findJob(owner: number, witness: number, first?: number): number;
}

const DATA_CENTRE = 'dub1';
const START_MS = 1_800_000_000_000;
const TASK_MS = 300;
const TRANSFER_WAIT_MS = 2_000;
const ROUTE_ATTEMPTS = 5;
const ROUTE_DELAY_MS = 100;
const SINGLE_MEMBER_LEASE_MS = 10_000;
const HANDOVER_TIMEOUT_MS = 8_000;
/** Share of the submissions that admission refuses, with time limits. */
const REFUSED_SHARE = 0.2;

interface Node {
  readonly member: Member;
  readonly timer: PausableTimer;
  readonly rosters: RosterCache;
  readonly handover: Handover;
  readonly jobs: JobService;
  readonly router: Router;
  readonly handle: (type: RequestType, ask: unknown, peer: Greeting) => Promise<unknown>;
  isUp: boolean;
}

interface OpenSubmission {
  /** Whether the job had started when it was submitted. */
  readonly hadStarted: boolean;
  /** Whether no other submission of the id was without an answer at the same time. */
  isAlone: boolean;
}

export interface ClusterOptions {
  /** Whether requests have the time limits of production; without them a sender waits. */
  readonly hasTimeLimits?: boolean;
}

export function createCluster(
  seed: number,
  { hasTimeLimits = false }: ClusterOptions = {},
): Cluster {
  const timer = createManualTimer(START_MS);
  const random = createRandom(seed);
  const network = createNetwork({ timer, random, hasTimeLimits, isFrozen });
  const nodes = new Map<number, Node>();
  /** Stopping nodes by index. Another node may have been started at the same index since. */
  const stopping = new Map<number, Node>();
  const allNodes: Node[] = [];
  const starts = new Map<string, number>();
  const faults: string[] = [];
  const createdAt = new Map<number, number>();
  const answers = new Map<string, Answer[]>();
  /** The submissions without an answer, by job. */
  const unanswered = new Map<string, Set<OpenSubmission>>();
  let storedRoster: Roster | undefined;
  let isPlatformDown = false;
  let leaseHolder = { incarnation: '', untilMs: 0 };
  let writes = 0;

  function isFrozen(incarnation: string): boolean {
    const node = allNodes.find((one) => one.member.incarnation === incarnation);
    return node?.isUp === true && node.timer.isPaused();
  }

  function updateRoster(apply: (roster: Roster | undefined) => Roster | undefined): void {
    if (isPlatformDown) return;
    storedRoster = apply(storedRoster) ?? storedRoster;
  }

  function nextWrite() {
    writes += 1;
    return { writeId: String(writes), nowMs: timer.wallMs() };
  }

  /** Gives a node the stored roster, as its watch of the platform does. */
  function readRoster(node: Node): void {
    if (isPlatformDown || storedRoster === undefined || node.timer.isPaused()) return;
    node.rosters.update(storedRoster);
  }

  function startNode(index: number): Node {
    const member = {
      instance: `e${index}`,
      incarnation: `e${index}.${allNodes.length}`,
      peer: '127.0.0.1:1',
    };
    const node = createNode(member, {
      timer,
      random,
      network,
      hasTimeLimits,
      send,
      isUp,
      countStart,
      acquireSingleMemberLease,
    });
    nodes.set(index, node);
    allNodes.push(node);
    return node;
  }

  function send(
    from: Member,
    to: Member,
    type: RequestType,
    ask: unknown,
    requestOptions: RequestOptions,
  ): Promise<Result<unknown, ProtocolError>> {
    const sender = allNodes.find((node) => node.member.incarnation === from.incarnation);
    const target = allNodes.find((node) => node.member.incarnation === to.incarnation);
    const message = structuredClone(ask);
    return network.request(from, to, sender?.timer ?? timer, requestOptions, () =>
      exchange(sender, target, type, message),
    );
  }

  async function exchange(
    sender: Node | undefined,
    target: Node | undefined,
    type: RequestType,
    ask: unknown,
  ): Promise<Result<unknown, ProtocolError>> {
    if (sender === undefined || target === undefined) return unresponsive();
    const [from, to] = [sender.member, target.member];
    if (!(await network.deliver(from, to)) || !target.isUp) return unresponsive();
    const greeting = { ...from, version: 1, dataCentre: DATA_CENTRE };
    const reply = await target.handle(type, ask, greeting).then(
      (body) => body,
      () => undefined,
    );
    const isReplyDelivered = (await network.deliver(to, from)) && sender.isUp;
    return reply === undefined || !isReplyDelivered ? unresponsive() : Result.ok(reply);
  }

  function isUp(member: Member): boolean {
    return allNodes.some((node) => node.member.incarnation === member.incarnation && node.isUp);
  }

  function countStart(id: string): void {
    starts.set(id, (starts.get(id) ?? 0) + 1);
    if ((starts.get(id) ?? 0) > 1) faults.push(`${id} was started twice`);
    const given = answers.get(id) ?? [];
    const isNotRun = given.length > 0 && given.every(isNotRunAnswer);
    if (isNotRun && unanswered.get(id)?.size === 0)
      faults.push(`${id} was started after it was answered not-run`);
  }

  /** Acquires or renews the single-member lease. Another node gets it only after it has expired. */
  function acquireSingleMemberLease(incarnation: string): boolean {
    const isFree = leaseHolder.untilMs < timer.nowMs();
    if (isPlatformDown) return leaseHolder.incarnation === incarnation && !isFree;
    if (!isFree && leaseHolder.incarnation !== incarnation) return false;
    leaseHolder = { incarnation, untilMs: timer.nowMs() + SINGLE_MEMBER_LEASE_MS };
    return true;
  }

  function submitTwice(job: number, node: number, other: number): void {
    void submit(job, node);
    if (node !== other) void submit(job, other);
  }

  async function submit(job: number, index: number): Promise<void> {
    const node = nodes.get(index);
    if (node?.isUp !== true) return;
    const created = createdAt.get(job) ?? timer.wallMs();
    createdAt.set(job, created);
    const id = jobId(job);
    const tasks = [{ name: 't1', kind: 'stamp', payload: '1' }];
    const submission = {
      id,
      service: 'notesmith',
      home: DATA_CENTRE,
      createdAt: created,
      digest: 'd',
      tasks,
    };
    const others = unanswered.get(id) ?? new Set();
    unanswered.set(id, others);
    const open = { hadStarted: starts.has(id), isAlone: others.size === 0 };
    for (const other of others) other.isAlone = false;
    others.add(open);
    const answer = await (hasTimeLimits ? route(node, submission) : forward(node, submission));
    if (!node.isUp || answer === undefined) return;
    others.delete(open);
    answers.set(id, [...(answers.get(id) ?? []), answer]);
    // A refusal may have been decided before another submission of the id started the job.
    const isExact = !hasTimeLimits || open.isAlone || open.hadStarted;
    if (isExact && isNotRunAnswer(answer) && starts.has(id))
      faults.push(`${id} was answered not-run and had started`);
  }

  async function route(node: Node, submission: Submission): Promise<Answer> {
    while (node.timer.isPaused()) await timer.sleep(ROUTE_DELAY_MS);
    return node.router.submit(submission);
  }

  async function forward(node: Node, submission: Submission): Promise<Answer | undefined> {
    return (await node.jobs.submit(submission)) ?? submitToOwner(node, submission);
  }

  /** Forwards a submission to the owner in a node's view, as a gateway does. */
  async function submitToOwner(node: Node, submission: Submission): Promise<Answer | undefined> {
    for (let attempt = 0; attempt < ROUTE_ATTEMPTS && node.isUp; attempt += 1) {
      const view = node.rosters.ownView();
      const owner = view && findOwner(view, submission.id);
      const target = allNodes.find((one) => one.member.incarnation === owner?.incarnation);
      const hasArrived =
        target !== undefined && (await network.deliver(node.member, target.member));
      if (hasArrived && target.isUp) {
        const answer = await target.jobs.submit(submission);
        if (answer !== undefined && target.isUp) return answer;
      }
      await timer.sleep(ROUTE_DELAY_MS);
    }
    return undefined;
  }

  function findJob(owner: number, witness: number, first = 0): number {
    if (storedRoster === undefined) throw new Error('there is no roster yet');
    for (let job = first; ; job += 1) {
      const ranked = rankMembers({ roster: storedRoster, ceded: new Set() }, jobId(job));
      const [one, other] = ranked.map((member) => member.instance);
      if (one === `e${owner}` && other === `e${witness}`) return job;
    }
  }

  function evict(by: number, index: number): void {
    const evictor = nodes.get(by);
    const target = nodes.get(index);
    if (evictor?.isUp !== true || target === undefined || by === index) return;
    if (evictor.timer.isPaused()) return;
    readRoster(evictor);
    const eviction = { incarnation: target.member.incarnation, isProven: !target.isUp };
    updateRoster((roster) => {
      if (roster === undefined || !hasMember(roster, evictor.member.incarnation)) return roster;
      if (!isEvictionSafe(roster, eviction)) return roster;
      const needsLease = !eviction.isProven && isLastBaseMember(roster, eviction.incarnation);
      if (needsLease && !acquireSingleMemberLease(evictor.member.incarnation)) return roster;
      return evictMember(roster, eviction, nextWrite());
    });
    readRoster(evictor);
  }

  /** Stops a node: hands over its claims, waits for its jobs to end, and leaves the roster. */
  async function stop(index: number): Promise<void> {
    const node = nodes.get(index);
    if (node?.isUp !== true || node.timer.isPaused()) return;
    nodes.delete(index);
    stopping.set(index, node);
    await node.handover.cede(HANDOVER_TIMEOUT_MS);
    while (node.jobs.running() > 0) await node.timer.sleep(20);
    await handOverAndLeave({
      handover: node.handover,
      withinMs: HANDOVER_TIMEOUT_MS,
      leave: (handedOverEpoch) => Promise.resolve(leave(node, handedOverEpoch)),
    });
    node.isUp = false;
  }

  function leave(node: Node, handedOverEpoch: number | undefined): Result<boolean, Error> {
    const { incarnation } = node.member;
    if (isPlatformDown) return Result.err(new Error('the platform is down'));
    readRoster(node);
    updateRoster((roster) => {
      if (roster === undefined || roster.epoch === handedOverEpoch)
        return roster && leaveRoster(roster, incarnation, nextWrite(), sealedOf(node));
      if (handedOverEpoch !== undefined) return roster;
      return evictMember(roster, { incarnation, isProven: true }, nextWrite());
    });
    return Result.ok(storedRoster === undefined || !hasMember(storedRoster, incarnation));
  }

  function join(index: number): void {
    const before = nodes.get(index);
    if (before?.isUp === true && before.timer.isPaused()) return;
    if (before?.isUp === true) {
      readRoster(before);
      updateRoster((roster) => roster && joinRoster(roster, before.member, nextWrite()));
      readRoster(before);
      return;
    }
    const node = startNode(index);
    updateRoster((roster) => {
      if (roster === undefined) return createFirstRoster(DATA_CENTRE, node.member, nextWrite());
      const old = roster.members.find((one) => one.instance === node.member.instance);
      const base =
        old === undefined
          ? roster
          : evictMember(roster, { incarnation: old.incarnation, isProven: true }, nextWrite());
      return joinRoster(base, node.member, nextWrite());
    });
    readRoster(node);
  }

  function completeTransferWhenDone(): void {
    updateRoster((roster) => {
      if (roster === undefined || roster.sources.length === 0) return roster;
      const members = allNodes.filter((node) => hasMember(roster, node.member.incarnation));
      const isDone = members.every(
        (node) =>
          node.isUp && !node.timer.isPaused() && node.handover.hasTransferredClaims(roster.epoch),
      );
      const first = members.find(({ member, rosters }) => {
        const view = rosters.ownView();
        return view?.roster.epoch === roster.epoch && !view.ceded.has(member.incarnation);
      });
      if (!isDone || first === undefined) return roster;
      return completeTransfer(roster, nextWrite(), sealedOf(first));
    });
  }

  async function advance(ms: number): Promise<void> {
    await timer.advance(ms);
    completeTransferWhenDone();
  }

  return {
    async begin(count) {
      for (let index = 0; index < count; index += 1) join(index);
      for (const node of nodes.values()) readRoster(node);
      await advance(TRANSFER_WAIT_MS);
      for (const node of nodes.values()) readRoster(node);
    },
    async execute(command) {
      if (command.type === 'submit') submitTwice(command.job, command.node, command.other);
      else if (command.type === 'advance') await advance(command.ms);
      else if (command.type === 'platform') isPlatformDown = command.isDown;
      else if (command.type === 'evict') evict(command.node, command.other);
      else if (command.type === 'join') join(command.node);
      else if (command.type === 'stop') void stop(command.node);
      else if (command.type === 'crash') markCrashed(nodes.get(command.node));
      else if (command.type === 'read-roster') readRosterAt(command.node);
      else if (command.type === 'freeze')
        for (const one of nodesAt(command.node)) one.timer.pause();
      else if (command.type === 'resume')
        for (const one of nodesAt(command.node)) one.timer.resume();
      else if (command.type === 'heal') network.heal(`e${command.node}`, `e${command.other}`);
      else network.cut(`e${command.node}`, `e${command.other}`, command.type === 'cut-one-way');
      await timer.advance(5);
    },
    async end() {
      network.healAll();
      for (const node of allNodes) node.timer.resume();
      isPlatformDown = false;
      for (let round = 0; round < 4; round += 1) {
        for (const index of [...nodes.keys(), ...stopping.keys()]) readRosterAt(index);
        await advance(TRANSFER_WAIT_MS);
      }
      for (const node of allNodes) node.handover.close();
    },
    faults: () => faults,
    starts: () => starts,
    answers: (job) => answers.get(jobId(job)) ?? [],
    roster: () => storedRoster,
    findJob,
  };

  /** The node at an index, and the one that is stopping there. */
  function nodesAt(index: number): Node[] {
    return [nodes.get(index), stopping.get(index)].flatMap((node) => node ?? []);
  }

  function readRosterAt(index: number): void {
    for (const node of nodesAt(index)) if (node.isUp) readRoster(node);
  }
}

function jobId(job: number): string {
  return `job-${job}`;
}

function markCrashed(node: Node | undefined): void {
  if (node !== undefined) node.isUp = false;
}

function sealedOf(node: Node): ReadonlySet<string> {
  return node.rosters.ownView()?.ceded ?? new Set();
}

function isNotRunAnswer(answer: Answer): boolean {
  return 'problem' in answer && answer.problem.outcome === Outcomes.NOT_RUN;
}

function unresponsive(): Result<unknown, ProtocolError> {
  return Result.err(new ProtocolError(ErrorCodes.PEER_SILENT));
}

interface NodeOptions {
  readonly timer: ManualTimer;
  readonly random: Random;
  readonly network: Network;
  readonly hasTimeLimits: boolean;
  readonly send: (
    from: Member,
    to: Member,
    type: RequestType,
    ask: unknown,
    requestOptions: RequestOptions,
  ) => Promise<Result<unknown, ProtocolError>>;
  readonly isUp: (member: Member) => boolean;
  readonly countStart: (id: string) => void;
  readonly acquireSingleMemberLease: (incarnation: string) => boolean;
}

function createNode(self: Member, options: NodeOptions): Node {
  const { random, hasTimeLimits } = options;
  const timer = createPausableTimer(options.timer);
  const logger = createLogger('cluster');
  const rosters = createRosterCache(DATA_CENTRE, logger);
  const peers = {
    request: <T extends RequestType>(
      to: Member,
      type: T,
      ask: RequestBody<T>,
      requestOptions: RequestOptions,
    ) =>
      options.send(self, to, type, ask, requestOptions) as Promise<Result<Reply<T>, ProtocolError>>,
    linkTo: (to: Member) => ({ isGone: () => isGone(to) }),
  } as unknown as Peers;
  const heartbeat = {
    isReachable: () => true,
    isSuspected: () => false,
    isGone: () => false,
  } as unknown as Heartbeat;
  const singleMemberLease = {
    acquire: () => Promise.resolve(options.acquireSingleMemberLease(self.incarnation)),
    validUntilMs: () =>
      node.isUp && options.acquireSingleMemberLease(self.incarnation) ? timer.wallMs() + 1 : 0,
  };
  function isGone(to: Member): boolean {
    const canConnect = !hasTimeLimits || !options.network.isCut(self.instance, to.instance);
    return canConnect && !options.isUp(to);
  }

  const store = createClaimStore();
  const claimRegistry = createClaimRegistry({
    self,
    store,
    rosters,
    peers,
    heartbeat,
    singleMemberLease,
    timer,
  });
  const handover = createHandover({
    self,
    store,
    rosters,
    peers,
    timer,
    logger,
    stopClaiming: () => claimRegistry.cede(),
  });
  const service = { team: 'editors', limits: {} } as unknown as ServiceFile;
  const configuration = {
    findService: () => service,
    findKind: () => ({ expectedMs: TASK_MS, idempotent: false }),
    findQuota: () => undefined,
  } as unknown as ActiveConfiguration;
  function admit(): Result<undefined, Refusal> {
    if (!hasTimeLimits || random.next() >= REFUSED_SHARE) return Result.ok(undefined);
    return Result.err({ reason: RefusalReasons.QUEUE_FULL, retryAfterMs: 1 });
  }

  const jobs = createJobService({
    self,
    store,
    claimRegistry,
    handover,
    rosters,
    peers,
    configuration,
    admission: { admit, refusals: () => ({}) },
    placement: createPlacementFake(timer, (id) => {
      if (node.isUp) options.countStart(id);
    }),
    timer,
    metrics: createMetrics(),
    traces: createTraces(() => timer.wallMs()),
    answerBytes: 1_000_000,
  });
  const router = createRouter({
    self,
    jobs,
    rosters,
    peers,
    timer,
    random,
    readDirectory: () => Promise.resolve(undefined),
    pledge: (ask) => claimRegistry.pledge(ask),
    findTrace: () => [],
  });
  const node: Node = {
    member: self,
    timer,
    rosters,
    handover,
    jobs,
    router,
    isUp: true,
    handle: (type, ask, peer) => {
      switch (type) {
        case 'claim':
          return Promise.resolve(claimRegistry.witness(ask as RequestBody<'claim'>, peer));
        case 'transfer':
          return Promise.resolve(handover.receive(ask as RequestBody<'transfer'>, peer));
        case 'cede':
          return handover.onSeal(ask as RequestBody<'cede'>);
        case 'submit':
          return router.receive(ask as RequestBody<'submit'>, peer);
        case 'pledge':
          return Promise.resolve(claimRegistry.pledge(ask as RequestBody<'pledge'>));
        case 'join':
          return jobs.join(ask as RequestBody<'join'>);
        default:
          return Promise.reject(new Error(`no handler for ${type}`));
      }
    },
  };
  return node;
}

/**
 * Creates a placement that reports each start immediately and completes the task after `TASK_MS`.
 */
function createPlacementFake(timer: TimerService, onStart: (id: string) => void): Placement {
  return {
    open(job: { id: string; onResult: (result: object) => void }) {
      onStart(job.id);
      timer.onAfter(TASK_MS, () => {
        job.onResult({ index: 0, outcome: TaskOutcomes.DONE, body: '1' });
      });
    },
    drop: () => undefined,
    end: () => undefined,
    serviceTimes: { estimateRunMs: () => TASK_MS },
    waiting: () => 0,
    estimate: () => ({ waitMs: 0, runMs: 0 }),
    canServe: () => true,
  } as unknown as Placement;
}
