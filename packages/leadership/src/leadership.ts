/**
 * Tracks which instance dispatches a shard, and takes part in replacing a lost dispatcher. The view is
 * written to the store by compare-and-swap, and every instance receives it through a watch. Heartbeats
 * to the dispatcher detect its loss sooner than a lease would, and work without the store.
 */
import { describeError, type RecordedJobs } from '@celerybarrow/shared';
import type { ElapsedClock, TimerService } from '@celerybarrow/timer';
import {
  type RequestBody,
  type FleetMember,
  type GatewayState,
  type Greeting,
  type Opinion,
  type PeerLink,
  type Reply,
  type View,
} from '@celerybarrow/protocol';
import type { Entry, Store } from '@celerybarrow/store';
import { withContext, type LogContext, type Logger } from '@celerybarrow/telemetry';
import {
  choosePeersToPoll,
  isLeadingCandidate,
  rankMembers,
  type RankingOptions,
} from './candidates.js';
import type { ReplicatedDocuments } from './replicatedDocuments.js';
import { createFailureDetector, type HeartbeatTiming } from './failureDetector.js';
import { createRecentContacts } from './recentContacts.js';
import type { Members } from './members.js';
import type { Patience } from './patience.js';
import type { PeerLinks } from './peerLinks.js';
import type { StoreContact } from './storeContact.js';
import { createStoredView } from './storedView.js';
import {
  decideTakeover,
  TakeoverDecisions,
  type OpinionReply,
  type TakeoverDecision,
} from './takeover.js';
import { createPeerViewLog, describePeerView } from './peerViewLog.js';
import { fenceOf, isNewer } from './views.js';

const REQUEST_TIMEOUT_MS = 250;
/** Late replies to heartbeats count as well, because a slow dispatcher is not lost. */
const PULSE_TIMEOUT_MS = 3_000;
/** Number of unanswered heartbeats after which no further one is sent. */
const MAX_OPEN_PULSES = 4;
/** Limit for fetching documents. A long document takes a while on a slow link. */
const FETCH_TIMEOUT_MS = 1_500;
/** How long a heartbeat waits for a connection before peers are polled about the dispatcher. */
const CONNECT_WAIT_MS = 60;
const OPINION_TIMEOUT_MS = 180;
/** Time within which the stored dispatcher must be reachable after a partition has healed. */
const RECONNECT_LIMIT_MS = 1_500;
/** How long the leading candidates of a large fleet may take before every instance evaluates a loss. */
const LEADING_CANDIDATES_MS = 700;
/** Interval at which a disconnected dispatcher polls its peers for newer views. */
const PEER_POLL_INTERVAL_MS = 400;
/** Minimum interval between attempts to raise the fencing token. */
const FENCE_RAISE_INTERVAL_MS = 300;

export interface LeadershipOptions {
  readonly shard: number;
  readonly heartbeat: HeartbeatTiming;
  readonly self: FleetMember;
  readonly store: Store;
  readonly members: Members;
  readonly links: PeerLinks;
  readonly contact: StoreContact;
  readonly documents: ReplicatedDocuments;
  readonly patience: Patience;
  readonly timer: TimerService;
  readonly clock: ElapsedClock;
  readonly logger: Logger;
  /** Returns the inputs for ranking candidates, except for the epoch. */
  readonly ranking: () => Omit<RankingOptions, 'epoch'>;
  /** Returns the number of unstarted jobs by team; used while this instance dispatches. */
  readonly waiting: () => Record<string, number>;
  /**
   * Called for each heartbeat of a gateway, with what the gateway knows; undefined if the gateway is of
   * an earlier version.
   */
  readonly onHeartbeat: (gateway: Greeting, state: GatewayState | undefined) => void;
  /** Returns jobs cancelled after a position; used while this instance dispatches. */
  readonly cancellationsAfter: (position: number) => RecordedJobs;
  /** Called with jobs that the dispatcher has cancelled. */
  readonly onCancellations: (jobs: readonly string[]) => void;
}

export interface Leadership {
  readonly shard: number;
  /** Starts sending heartbeats. */
  start(): void;
  /** Returns the newest known view; undefined if there is none yet. */
  view(): View | undefined;
  /** Whether this instance is the dispatcher. */
  isDispatching(): boolean;
  /** Registers a callback for each new view. It runs after `isDispatching` reflects the view. */
  onView(subscriber: (view: View) => void): void;
  /** Returns the connection to the dispatcher; undefined if it is this instance or not known. */
  link(): PeerLink | undefined;
  /**
   * Whether jobs can be handed to the dispatcher now: it is this instance, or it is connected and its
   * heartbeat reply is not overdue.
   */
  isDispatcherReachable(): boolean;
  /**
   * Returns when the newest heartbeat was sent that a dispatcher has answered, on the monotonic clock;
   * undefined if it has answered none, or was replaced long ago.
   */
  lastContactMs(incarnation: string): number | undefined;
  /** Returns what this instance tells the dispatcher with each job; undefined without a dispatcher. */
  gatewayState(): GatewayState | undefined;
  /** Records that this instance no longer waits for a dispatcher's answer to a job. */
  recordUnanswered(incarnation: string): void;
  /** Reports that an endpoint obeys a higher fencing token than that of the current view. */
  handleFenced(endpoint: string): void;
  /** Returns the number of unstarted jobs by team, as last reported by the dispatcher. */
  waiting(): Record<string, number>;
  /** Whether no dispatcher is known, or the known one is suspected. */
  isDispatcherUnavailable(): boolean;
  /** Whether a dispatcher is known and contact with it is not lost. */
  canServe(): boolean;
  /** Hands over to another instance, if there is one, before a graceful shutdown. */
  cede(): Promise<void>;
  /** Applies the store entry that names the dispatcher. */
  applyStoredEntry(entry: Entry): void;
  handlePulse(request: RequestBody<'pulse'>, peer: Greeting): Reply<'pulse'>;
  handleOpinion(request: RequestBody<'opinion'>): Opinion;
  handleTakeOver(request: RequestBody<'takeOver'>, peer: Greeting): boolean;
  close(): void;
}

export function createLeadership(options: LeadershipOptions): Leadership {
  const { shard, heartbeat, self, members, links, contact, documents, patience, timer, clock } =
    options;
  const logger = withContext(options.logger, { shard });
  const closing = new AbortController();
  const subscribers = new Set<(view: View) => void>();
  let view: View | undefined;
  const detector = createFailureDetector(clock, timer, heartbeat, patience);
  const contacts = createRecentContacts();
  const peerViewLog = createPeerViewLog(logger);
  const stored = createStoredView({
    ...options,
    logger,
    signal: closing.signal,
    onView: (storedView) => {
      adoptView(storedView, 'store');
    },
  });
  /** Since when this instance lets better candidates act first, on the monotonic clock. */
  let standingBySinceMs: number | undefined;
  let lastPeerPollMs = -Infinity;
  let lastFenceRaiseMs = -Infinity;
  /**
   * Since when the stored dispatcher has been unresponsive although the store is reachable again, on
   * the monotonic clock.
   */
  let storedUnresponsiveSinceMs: number | undefined;
  /**
   * Whether endpoints obeyed another dispatcher while this one was disconnected. Reset on the next
   * contact with a dispatcher.
   */
  let wasFenced = false;
  let isStopping = false;
  /** Number of heartbeats that have neither been answered nor failed. */
  let openPulses = 0;
  let isEvaluating = false;
  /** The view whose dispatcher was suspected last, until that dispatcher replies. */
  let lastSuspected: View | undefined;
  let reportedWaiting: Record<string, number> = {};
  /** The position after the cancellations that the present dispatcher has reported. */
  let cancellationsPosition = 0;

  function isDispatching(): boolean {
    return view?.dispatcher.incarnation === self.incarnation;
  }

  function rankingFor(epoch: number): RankingOptions {
    return { epoch, ...options.ranking() };
  }

  /** Adopts a view if it is newer than the current one. `peer` is the instance that sent it, if any. */
  function adoptView(next: View, source: string, peer?: string): void {
    if (closing.signal.aborted || !isNewer(next, view)) return;
    const earlier = view;
    const wasDispatching = isDispatching();
    const isSameDispatcher = view?.dispatcher.incarnation === next.dispatcher.incarnation;
    if (!isSameDispatcher) contacts.forgetHeard(next.dispatcher.incarnation);
    view = next;
    cancellationsPosition = 0;
    detector.reset();
    standingBySinceMs = undefined;
    members.addIfAbsent(next.dispatcher);
    logger.info('Dispatcher is known.', {
      dispatcher: next.dispatcher.instance,
      epoch: next.epoch,
      round: next.round,
      source,
      peer,
      fence: fenceOf(next),
      earlierFence: earlier === undefined ? undefined : fenceOf(earlier),
      earlierDispatcher: earlier?.dispatcher.instance,
      isDispatching: isDispatching(),
      wasDispatching,
    });
    for (const subscriber of subscribers) subscriber(next);
    // A dispatcher whose token has changed starts nothing of this gateway until it hears from it.
    if (isSameDispatcher && !isDispatching()) {
      void sendPulse(next, links.to(next.dispatcher)).catch(logFailure);
    }
  }

  async function run(): Promise<void> {
    while (!closing.signal.aborted) {
      try {
        await step();
      } catch (error) {
        logFailure(error);
      }
      const sleptSinceMs = clock.nowMs();
      await timer.sleep(heartbeat.intervalMs, closing.signal);
      patience.recordOwnDelay(clock.nowMs() - sleptSinceMs - heartbeat.intervalMs);
    }
  }

  function logFailure(error: unknown): void {
    logger.error('Step of leadership failed.', { reason: describeError(error) });
  }

  async function step(): Promise<void> {
    if (isDispatching()) {
      if (view !== undefined && view.round > 0) await rejoinPeers(view);
    } else if (view !== undefined) {
      await checkDispatcher(view);
    } else {
      await suspect(undefined);
    }
  }

  /** Sends a heartbeat to the dispatcher of a view, and suspects it if it has been silent for long. */
  async function checkDispatcher(current: View): Promise<void> {
    if (namesEarlierIncarnation(current)) {
      await suspect(current);
      return;
    }
    const link = links.to(current.dispatcher);
    const pulse = sendPulse(current, link).catch(logFailure);
    // A connection that is being opened decides soon. Otherwise the next heartbeat is soon enough, and
    // spares a timer for each of many heartbeats.
    if (!link.isConnected()) {
      await Promise.race([pulse, timer.sleep(CONNECT_WAIT_MS, closing.signal)]);
    }
    if (view === current && detector.shouldSuspect(link)) await suspect(current);
  }

  async function sendPulse(current: View, link: PeerLink): Promise<void> {
    if (openPulses >= MAX_OPEN_PULSES) return;
    const versions = documents.versions(shard);
    const request = {
      shard,
      view: current,
      versions,
      fetchesDocuments: true,
      cancellationsAfter: cancellationsPosition,
      ...describeContact(current),
    };
    const sentMs = clock.nowMs();
    const sentMonotonicMs = timer.nowMs();
    detector.recordHeartbeatSent();
    const connectWaitMs = link.failedAttempts() > 0 ? 0 : CONNECT_WAIT_MS;
    openPulses += 1;
    const reply = await link
      .request('pulse', request, { timeoutMs: PULSE_TIMEOUT_MS, connectWaitMs })
      .finally(() => {
        openPulses -= 1;
      });
    if (reply.isErr || closing.signal.aborted) return;
    if (reply.value.isDispatching) {
      const { incarnation } = current.dispatcher;
      contacts.record(incarnation, sentMonotonicMs, reply.value.clockMs);
    }
    if (lastSuspected === current) {
      lastSuspected = undefined;
      patience.recordFalseSuspicion();
    }
    if (view === current) await handlePulseReply(current, link, reply.value, sentMs);
  }

  function describeContact({ dispatcher }: View): Omit<GatewayState, 'fence'> {
    const heardMs = contacts.heardMs(dispatcher.incarnation);
    const unanswered = contacts.unanswered(dispatcher.incarnation);
    return { unanswered, ...(heardMs === undefined ? {} : { heardMs }) };
  }

  async function handlePulseReply(
    current: View,
    link: PeerLink,
    reply: Reply<'pulse'>,
    sentMs: number,
  ): Promise<void> {
    sendDocuments(link, reply.wanted ?? []);
    fetchDocuments(link, documents.toFetch(reply.newer ?? {}), current).catch(logFailure);
    applyHeartbeatReply(reply, sentMs);
    // A process that does not dispatch although it is named will not begin to by itself.
    if (view === current && !reply.isDispatching) await suspect(current);
  }

  /** Fetches documents that the dispatcher of a view announced. */
  async function fetchDocuments(
    link: PeerLink,
    names: readonly string[],
    { dispatcher }: View,
  ): Promise<void> {
    if (names.length === 0) return;
    const reply = await link.request(
      'fetchDocuments',
      { names: [...names] },
      { timeoutMs: FETCH_TIMEOUT_MS },
    );
    if (reply.isOk) {
      for (const [name, document] of Object.entries(reply.value.documents))
        documents.offer(name, document, dispatcher.instance);
    } else {
      const reason = reply.error.message;
      logger.warn('Documents could not be fetched.', { names: names.join(' '), reason });
    }
    documents.endFetch(names, reply.isOk);
  }

  /** Sends the documents that the dispatcher requested. */
  function sendDocuments(link: PeerLink, names: readonly string[]): void {
    if (names.length === 0) return;
    const request = { documents: documents.select(names) };
    void link.request('documents', request, { timeoutMs: REQUEST_TIMEOUT_MS }).then((reply) => {
      if (reply.isOk) return;
      const reason = reply.error.message;
      logger.warn('Documents could not be sent.', { names: names.join(' '), reason });
    });
  }

  /** Whether a view names an earlier incarnation of this instance, which has certainly ended. */
  function namesEarlierIncarnation(named: View): boolean {
    return named.dispatcher.instance === self.instance && !isDispatching();
  }

  function applyHeartbeatReply(reply: Reply<'pulse'>, sentMs: number): void {
    const source = view?.dispatcher.instance ?? '';
    for (const [name, document] of Object.entries(reply.documents)) {
      documents.offer(name, document, source);
    }
    if (reply.view !== undefined) adoptView(reply.view, 'dispatcher');
    if (!reply.isDispatching) return;
    detector.recordContact(sentMs);
    wasFenced = false;
    reportedWaiting = reply.waiting;
    applyCancellations(reply);
  }

  function applyCancellations({ cancellations }: Reply<'pulse'>): void {
    if (cancellations === undefined) return;
    // Replies can overtake each other.
    cancellationsPosition = Math.max(cancellationsPosition, cancellations.position);
    options.onCancellations(cancellations.jobs);
  }

  /**
   * Suspects the dispatcher of a view, or its absence, and decides whether to take over. Does nothing
   * while an earlier call is in progress.
   */
  async function suspect(current: View | undefined): Promise<void> {
    if (isEvaluating) return;
    isEvaluating = true;
    try {
      await handleSuspicion(current);
    } finally {
      isEvaluating = false;
    }
  }

  async function handleSuspicion(current: View | undefined): Promise<void> {
    lastSuspected = current;
    const silentMs = detector.silentMs();
    if (detector.suspect()) {
      logger.warn('Dispatcher is suspected.', {
        dispatcher: current?.dispatcher.instance,
        silentMs: silentMs === undefined ? undefined : Math.round(silentMs),
        limitMs: Math.round(detector.timeoutMs()),
        isConnected: isDispatcherConnected(),
      });
    }
    if (
      current !== undefined &&
      namesEarlierIncarnation(current) &&
      (await takeOverFromEarlierIncarnation())
    )
      return;
    if (!mayEvaluate(current)) return;
    const decision = await evaluateTakeover(current, stored.read());
    // Other members of a partitioned data centre find out at the same moment that the store is
    // unreachable. Their first opinions still reported it as reachable, so they are polled again.
    if (decision === TakeoverDecisions.WAIT && view === current && !contact.isReachable()) {
      await evaluateTakeover(current, Promise.resolve(false));
    }
  }

  /** Whether this instance is a leading candidate, or the leading ones have not acted in time. */
  function mayEvaluate(current: View | undefined): boolean {
    if (detector.suspectedForMs() >= patience.extend(LEADING_CANDIDATES_MS)) return true;
    const others = members.others(self.incarnation, current?.dispatcher.incarnation ?? '');
    return isLeadingCandidate(self, others, rankingFor(current?.epoch ?? 0));
  }

  /**
   * Takes over without polling the peers if the store still names an earlier incarnation of this
   * instance, since no other instance has replaced it.
   */
  async function takeOverFromEarlierIncarnation(): Promise<boolean> {
    if (isStopping || !(await stored.read())) return false;
    const last = stored.view();
    if (last === undefined || !namesEarlierIncarnation(last)) return false;
    return writeStoredView(self, 'earlier incarnation');
  }

  /** Polls the peers about a suspected dispatcher, decides about a takeover and carries it out. */
  async function evaluateTakeover(
    current: View | undefined,
    reading: Promise<boolean>,
  ): Promise<TakeoverDecision> {
    const ranking = rankingFor(current?.epoch ?? 0);
    const running = members.others(self.incarnation, current?.dispatcher.incarnation ?? '');
    const others = choosePeersToPoll(self, running, ranking);
    const [isRead, answered] = await Promise.all([reading, pollPeers(others, current)]);
    for (const { member, opinion } of answered) {
      if (opinion.view !== undefined) adoptView(opinion.view, 'another instance', member.instance);
    }
    if (view !== current || isStopping) return TakeoverDecisions.WAIT;
    const decision = decideTakeover({
      self,
      fleet: running,
      others,
      answered,
      heartbeatTimeoutMs: detector.timeoutMs(),
      isStoreReachable: isRead,
      isFirstElection: current === undefined,
      isDispatcherListed:
        isRead && current !== undefined ? members.isListed(current.dispatcher) : undefined,
      isDispatcherTerminated:
        current === undefined ||
        namesEarlierIncarnation(current) ||
        links.to(current.dispatcher).isGone(),
      ranking,
      suspectedForMs: detector.suspectedForMs(),
      standingByForMs: standingBySinceMs === undefined ? 0 : timer.nowMs() - standingBySinceMs,
      wasFenced,
    });
    logger.info('Loss of the dispatcher was evaluated.', {
      decision,
      others: others.length,
      answered: answered.length,
      isStoreReachable: isRead,
    });
    if (decision === TakeoverDecisions.STAND_BY) standingBySinceMs ??= timer.nowMs();
    else standingBySinceMs = undefined;
    if (decision === TakeoverDecisions.TAKE) await writeStoredView(self, 'takeover');
    if (decision === TakeoverDecisions.TAKE_APART && current !== undefined) {
      adoptView(
        { epoch: current.epoch, round: current.round + 1, dispatcher: self },
        'takeover without store',
      );
    }
    return decision;
  }

  function choosePeers(current: View): readonly FleetMember[] {
    return choosePeersToPoll(self, members.others(self.incarnation), rankingFor(current.epoch));
  }

  /** Requests the opinion of each peer about a view; returns the replies of those that answered. */
  async function pollPeers(
    others: readonly FleetMember[],
    current: View | undefined,
  ): Promise<readonly OpinionReply[]> {
    const timeoutMs = patience.extend(OPINION_TIMEOUT_MS);
    const requests = others.map(async (member): Promise<OpinionReply | undefined> => {
      const request: RequestBody<'opinion'> =
        current === undefined ? { shard } : { shard, view: current };
      const reply = await links.to(member).request('opinion', request, {
        timeoutMs,
        connectWaitMs: timeoutMs,
      });
      return reply.isOk ? { member, opinion: reply.value } : undefined;
    });
    const replies = await Promise.all(requests);
    return replies.filter((reply) => reply !== undefined);
  }

  /** Writes a dispatcher to the store and adopts the view if the write succeeds; the first writer wins. */
  async function writeStoredView(dispatcher: FleetMember, source: string): Promise<boolean> {
    const written = await stored.name(dispatcher, view?.epoch ?? 0);
    if (written !== undefined) adoptView(written, source);
    return written !== undefined;
  }

  /** Returns a disconnected dispatcher to the stored view, or to a newer view that a peer has. */
  async function rejoinPeers(current: View): Promise<void> {
    if (contact.isReachable()) {
      await rejoinStoredView(current);
      return;
    }
    const nowMs = clock.nowMs();
    if (nowMs - lastPeerPollMs < PEER_POLL_INTERVAL_MS) return;
    lastPeerPollMs = nowMs;
    for (const { member, opinion } of await pollPeers(choosePeers(current), current)) {
      if (opinion.view !== undefined) adoptView(opinion.view, 'another instance', member.instance);
    }
  }

  /**
   * Called by a disconnected dispatcher. Sends the stored dispatcher its view, so that the stored
   * dispatcher raises its fencing token above it and continues. Replaces the stored dispatcher if it
   * is unlisted and unresponsive for too long.
   */
  async function rejoinStoredView(current: View): Promise<void> {
    if (!(await stored.read()) || view !== current) return;
    const last = stored.view();
    if (last === undefined) return;
    // It names no time that was heard, because it is no heartbeat and must not renew the lease of this
    // gateway.
    const unanswered = contacts.unanswered(last.dispatcher.incarnation);
    const request = { shard, view: current, versions: documents.versions(shard), unanswered };
    const reply = await links.to(last.dispatcher).request('pulse', request, {
      timeoutMs: REQUEST_TIMEOUT_MS,
      connectWaitMs: REQUEST_TIMEOUT_MS,
    });
    if (view !== current) return;
    const mayBeRunning = members.isListed(last.dispatcher);
    if (mayBeRunning || (reply.isOk && reply.value.isDispatching)) {
      storedUnresponsiveSinceMs = undefined;
      return;
    }
    const nowMs = timer.nowMs();
    storedUnresponsiveSinceMs ??= nowMs;
    if (nowMs - storedUnresponsiveSinceMs > RECONNECT_LIMIT_MS)
      await writeStoredView(self, 'store reachable again');
  }

  /**
   * Raises the fencing token above the tokens that endpoints have seen, if this instance is still the
   * dispatcher.
   */
  async function raiseFence(reason: string, cause: LogContext): Promise<void> {
    const nowMs = clock.nowMs();
    if (!isDispatching() || isStopping || nowMs - lastFenceRaiseMs < FENCE_RAISE_INTERVAL_MS)
      return;
    lastFenceRaiseMs = nowMs;
    const current = view;
    if (current !== undefined && current.round > 0) {
      await rejoinStoredView(current);
      return;
    }
    if (!(await stored.read()) || view !== current) return;
    const isWritten = await writeStoredView(self, 'raised fence');
    logger.warn(isWritten ? 'Fence is raised.' : 'Fence could not be raised.', {
      reason,
      ...cause,
      epoch: current?.epoch,
      earlierFence: current === undefined ? undefined : fenceOf(current),
      fence: view === undefined ? undefined : fenceOf(view),
      tookMs: Math.round(clock.nowMs() - nowMs),
    });
  }

  /**
   * Records that endpoints obey another dispatcher, and makes the next step poll the peers at once.
   * A dispatcher that continues while disconnected from the one that endpoints obey does harm.
   */
  function recordFencedWhileDisconnected(current: View, endpoint: string): void {
    if (!isDispatching() || wasFenced) return;
    wasFenced = true;
    lastPeerPollMs = -Infinity;
    logger.warn('Endpoints obey another dispatcher.', {
      epoch: current.epoch,
      round: current.round,
      fence: fenceOf(current),
      endpoint,
    });
  }

  function handlePulse(request: RequestBody<'pulse'>, peer: Greeting): Reply<'pulse'> {
    const current = view;
    if (isDispatching() && current !== undefined) {
      options.onHeartbeat(peer, stateOfSender(request));
      peerViewLog.check(peer.instance, request.view, current);
      if (isNewer(request.view, current)) {
        const cause = describePeerView(peer.instance, request.view);
        void raiseFence('a peer knows another dispatcher', cause);
      }
    } else if (isNewer(request.view, current)) {
      adoptView(request.view, 'another instance', peer.instance);
    }
    const wanted = documents.missing(request.versions);
    const cancellations = findCancellations(request);
    return {
      // Most heartbeats name the current view already. Parsing it again would be most of their cost.
      ...(view !== undefined && isNewer(view, request.view) ? { view } : {}),
      isDispatching: isDispatching(),
      clockMs: Math.floor(clock.nowMs()),
      ...(request.fetchesDocuments === true
        ? { documents: {}, newer: documents.announce(request.versions, shard) }
        : { documents: documents.newerThan(request.versions, shard) }),
      ...(wanted.length === 0 ? {} : { wanted }),
      waiting: isDispatching() ? options.waiting() : {},
      ...(cancellations === undefined ? {} : { cancellations }),
    };
  }

  function stateOfSender(request: RequestBody<'pulse'>): GatewayState | undefined {
    const { unanswered, heardMs } = request;
    if (unanswered === undefined) return undefined;
    return { fence: fenceOf(request.view), unanswered, heardMs };
  }

  function findCancellations(request: RequestBody<'pulse'>): RecordedJobs | undefined {
    if (request.cancellationsAfter === undefined || !isDispatching()) return undefined;
    const recorded = options.cancellationsAfter(request.cancellationsAfter);
    return recorded.position === request.cancellationsAfter ? undefined : recorded;
  }

  function handleOpinion(request: RequestBody<'opinion'>): Opinion {
    const isSameView =
      request.view !== undefined && view !== undefined && !isNewer(view, request.view);
    const heardAgoMs = isSameView && isDispatcherConnected() ? detector.silentMs() : undefined;
    return {
      ...(view === undefined ? {} : { view }),
      ...(heardAgoMs === undefined ? {} : { heardAgoMs }),
      isStoreReachable: contact.isReachable(),
      isStopping,
    };
  }

  function isDispatcherConnected(): boolean {
    return view !== undefined && links.isConnected(view.dispatcher.incarnation);
  }

  async function handOver(): Promise<void> {
    isStopping = true;
    const current = view;
    if (current === undefined || !isDispatching()) return;
    const others = choosePeers(current);
    const answered = await pollPeers(others, current);
    const ready = answered.filter(({ opinion }) => !opinion.isStopping).map(({ member }) => member);
    const [successor] = rankMembers(ready, rankingFor(current.epoch));
    if (successor === undefined) {
      logger.warn('No other instance can dispatch.', { others: others.length });
      return;
    }
    const isStored = (await stored.read()) && (await writeStoredView(successor, 'cession'));
    if (!isStored && view === current) {
      adoptView(
        { epoch: current.epoch, round: current.round + 1, dispatcher: successor },
        'cession',
      );
    }
    if (view === undefined) return;
    await links
      .to(successor)
      .request('takeOver', { shard, view }, { timeoutMs: REQUEST_TIMEOUT_MS });
  }

  function handleTakeOver(request: RequestBody<'takeOver'>, peer: Greeting): boolean {
    if (isStopping) return false;
    adoptView(request.view, 'cession', peer.instance);
    return true;
  }

  function isDispatcherReachable(): boolean {
    if (view === undefined || isDispatching()) return view !== undefined;
    return !detector.isReplyOverdue() && links.to(view.dispatcher).isConnected();
  }

  return {
    shard,
    canServe: () => view !== undefined && !detector.isContactLost(),
    isDispatcherReachable,
    start() {
      void run();
    },
    view: () => view,
    isDispatching,
    isDispatcherUnavailable: () => view === undefined || detector.isSuspected(),
    onView(subscriber) {
      subscribers.add(subscriber);
    },
    link: () => (view === undefined || isDispatching() ? undefined : links.to(view.dispatcher)),
    lastContactMs: contacts.lastMs,
    gatewayState: () =>
      view === undefined ? undefined : { fence: fenceOf(view), ...describeContact(view) },
    recordUnanswered: contacts.recordUnanswered,
    handleFenced(endpoint) {
      if (view !== undefined && view.round > 0) recordFencedWhileDisconnected(view, endpoint);
      void raiseFence('an endpoint obeys another dispatcher', { endpoint });
    },
    waiting: () => (isDispatching() ? options.waiting() : reportedWaiting),
    cede: handOver,
    applyStoredEntry: stored.take,
    handlePulse,
    handleOpinion,
    handleTakeOver,
    close() {
      closing.abort();
    },
  };
}
