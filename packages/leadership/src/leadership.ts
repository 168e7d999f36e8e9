/**
 * Which instance dispatches, as this instance sees it. The answer lies in the store under
 * compare-and-swap and reaches everybody by a watch; signs of life to the dispatcher find its loss
 * sooner than any lease would, and work without the store.
 */
import { describeError, type Random } from '@celerybarrow/shared';
import type { ElapsedClock, TimerService } from '@celerybarrow/timer';
import {
  viewSchema,
  type Ask,
  type FleetMember,
  type Greeting,
  type Opinion,
  type PeerLink,
  type PeerServer,
  type Reply,
  type Traffic,
  type View,
} from '@celerybarrow/protocol';
import { followPrefix, type Entry, type Store } from '@celerybarrow/store';
import type { Logger } from '@celerybarrow/telemetry';
import type { Documents } from './documents.js';
import { keepEnrolled } from './enrolment.js';
import { createMembers } from './members.js';
import { createPeerLinks } from './peerLinks.js';
import { decideTakeover, rankMembers, Takeovers, type Answered } from './takeover.js';
import { isNewer } from './views.js';

const PULSE_INTERVAL_MS = 150;
const PULSE_TIMEOUT_MS = 250;
/** How long the first connection to a dispatcher may take before others are asked about it. */
const FIRST_CONNECT_MS = 60;
/** Silence of the dispatcher after which others are asked about it. */
const SILENCE_MS = 330;
const OPINION_TIMEOUT_MS = 180;
/** How long a read of the store may take while the dispatcher is in doubt. */
const QUICK_READ_MS = 300;
/** Time without an answer after which the store counts as out of reach; renewals come every second. */
const STORE_SILENCE_MS = 2_500;
/** How long the stored dispatcher may take to be reached after a cut has healed. */
const RETURN_LIMIT_MS = 1_500;
/** Interval at which dispatchers without the store look for each other. */
const COMPARE_INTERVAL_MS = 400;
/** Pause between attempts to raise the fence. */
const RAISE_INTERVAL_MS = 300;
/** The fleet waits this long for its members to enrol before it names its first dispatcher. */
const GATHERING_MS = 400;

export const DISPATCHER_KEY = 'celerybarrow/dispatcher';
const MEMBER_PREFIX = 'celerybarrow/instances/';
const FLEET_PREFIX = 'celerybarrow/';

export interface LeadershipOptions {
  readonly self: FleetMember;
  readonly greeting: Greeting;
  readonly localHost: string;
  readonly store: Store;
  readonly server: PeerServer;
  readonly documents: Documents;
  readonly timer: TimerService;
  readonly clock: ElapsedClock;
  readonly random: Random;
  readonly traffic: Traffic;
  readonly logger: Logger;
  /** Jobs of which no task has started, by team, while this instance dispatches. */
  readonly waiting: () => Record<string, number>;
  /** A sign of life of a gateway. */
  readonly onPulse: (gateway: string) => void;
}

export interface Leadership {
  start(): void;
  view(): View | undefined;
  isDispatching(): boolean;
  /** Told of each new view, after `isDispatching` has changed. */
  onView(subscriber: (view: View) => void): void;
  /** The connection to the dispatcher; undefined if it is this instance, or none is known. */
  link(): PeerLink | undefined;
  /** An endpoint obeys a higher fence than that of the own view. */
  noteFenced(): void;
  /** Jobs of which no task has started, by team, as the dispatcher last told. */
  waiting(): Record<string, number>;
  isStoreReachable(): boolean;
  /** Hands over to another instance, if there is one; for a planned stop. */
  cede(): Promise<void>;
  close(): void;
}

export function createLeadership(options: LeadershipOptions): Leadership {
  const { self, store, server, documents, timer, clock, logger } = options;
  const closing = new AbortController();
  const members = createMembers(clock, logger);
  const links = createPeerLinks(options);
  const subscribers = new Set<(view: View) => void>();
  let view: View | undefined;
  let stored: { readonly view: View | undefined; readonly revision: number } | undefined;
  let heardMs: number | undefined;
  let suspectedMs: number | undefined;
  let standingByMs: number | undefined;
  let comparedMs = -Infinity;
  let storeHeardMs = -Infinity;
  let hasStoreFailed = true;
  let raisedMs = -Infinity;
  /** Since when the stored dispatcher did not answer after a return of the store. */
  let missedMs: number | undefined;
  let wasFenced = false;
  let isStopping = false;
  let waitingThere: Record<string, number> = {};
  let startedMs = 0;

  function isDispatching(): boolean {
    return view?.dispatcher.incarnation === self.incarnation;
  }

  function isStoreReachable(): boolean {
    return !hasStoreFailed && clock.nowMs() - storeHeardMs < STORE_SILENCE_MS;
  }

  function noteStore(isReachable: boolean): void {
    if (isReachable === hasStoreFailed) {
      const silentMs = Math.round(clock.nowMs() - Math.max(storeHeardMs, startedMs));
      if (isReachable) logger.info('Store answers.', { silentMs });
      else logger.warn('Store does not answer.', { silentMs });
    }
    hasStoreFailed = !isReachable;
    if (!isReachable) return;
    storeHeardMs = clock.nowMs();
    wasFenced = false;
  }

  function takeView(next: View, source: string): void {
    if (!isNewer(next, view)) return;
    view = next;
    heardMs = undefined;
    suspectedMs = undefined;
    standingByMs = undefined;
    members.note(next.dispatcher);
    logger.info('Dispatcher is known.', {
      dispatcher: next.dispatcher.instance,
      epoch: next.epoch,
      round: next.round,
      source,
    });
    for (const subscriber of subscribers) subscriber(next);
  }

  function takeEntry(entry: Entry): void {
    if (entry.key.startsWith(MEMBER_PREFIX)) {
      members.takeEntry(entry.key.slice(MEMBER_PREFIX.length), entry.value);
      return;
    }
    if (entry.key === DISPATCHER_KEY) takeStored(entry);
  }

  function takeStored(entry: Entry): void {
    if (stored !== undefined && entry.revision <= stored.revision) return;
    const parsed = parseView(entry.value);
    stored = { view: parsed, revision: entry.revision };
    if (parsed === undefined) logger.error('Entry of the dispatcher cannot be read.');
    else takeView(parsed, 'store');
  }

  /** Closes the connections to instances that are neither known nor the dispatcher. */
  function pruneLinks(): void {
    const wanted = new Set(members.others().map((member) => member.incarnation));
    if (view !== undefined) wanted.add(view.dispatcher.incarnation);
    links.keepOnly(wanted);
  }

  async function run(): Promise<void> {
    while (!closing.signal.aborted) {
      try {
        await step();
      } catch (error) {
        logger.error('Step of leadership failed.', { reason: describeError(error) });
      }
      await timer.sleep(PULSE_INTERVAL_MS, closing.signal);
    }
  }

  async function step(): Promise<void> {
    pruneLinks();
    if (isDispatching()) {
      if (view !== undefined && view.round > 0) await seekOthers(view);
    } else if (view !== undefined) {
      await pulse(view);
    } else if (clock.nowMs() - startedMs > GATHERING_MS) {
      await suspect(undefined);
    }
  }

  async function pulse(of: View): Promise<void> {
    const link = links.to(of.dispatcher);
    if (of.dispatcher.instance === self.instance) {
      // An earlier life of this instance; it has certainly ended.
      await suspect(of);
      return;
    }
    const ask = { view: of, versions: documents.versions() };
    const reply = await link.request('pulse', ask, {
      timeoutMs: PULSE_TIMEOUT_MS,
      connectWaitMs: link.failedAttempts() > 0 ? 0 : FIRST_CONNECT_MS,
    });
    if (view !== of) return;
    if (reply.isOk && (reply.value.isDispatching || reply.value.view !== undefined)) {
      takePulseReply(reply.value);
      if (reply.value.isDispatching) return;
    }
    const nowMs = clock.nowMs();
    heardMs ??= nowMs;
    const isSilent = nowMs - heardMs > SILENCE_MS;
    if (isSilent || !link.isConnected() || reply.isOk) await suspect(of);
  }

  function takePulseReply(reply: Reply<'pulse'>): void {
    for (const [name, document] of Object.entries(reply.documents)) documents.offer(name, document);
    if (reply.view !== undefined) takeView(reply.view, 'dispatcher');
    if (!reply.isDispatching) return;
    heardMs = clock.nowMs();
    suspectedMs = undefined;
    waitingThere = reply.waiting;
  }

  /** Asks the store and the others about a dispatcher that is not heard, and acts on it. */
  async function suspect(of: View | undefined): Promise<void> {
    const nowMs = clock.nowMs();
    if (suspectedMs === undefined) {
      suspectedMs = nowMs;
      logger.warn('Dispatcher is not heard.', {
        dispatcher: of?.dispatcher.instance,
        silentMs: heardMs === undefined ? undefined : Math.round(nowMs - heardMs),
      });
    }
    const others = members.others(self.incarnation, of?.dispatcher.incarnation ?? '');
    const [isRead, answered] = await Promise.all([readStored(), askOthers(others, of)]);
    for (const { opinion } of answered) {
      if (opinion.view !== undefined) takeView(opinion.view, 'another instance');
    }
    if (view !== of || isStopping) return;
    const decision = decideTakeover({
      self,
      others,
      answered,
      silenceMs: SILENCE_MS,
      isStoreReachable: isRead,
      isDispatcherListed: isRead && of !== undefined ? members.isListed(of.dispatcher) : undefined,
      isDispatcherGone: of === undefined || links.to(of.dispatcher).isGone(),
      epoch: of?.epoch ?? 0,
      suspectedForMs: clock.nowMs() - (suspectedMs ?? nowMs),
      standingByForMs: standingByMs === undefined ? 0 : clock.nowMs() - standingByMs,
      wasFenced,
    });
    logger.info('Loss of the dispatcher was weighed.', {
      decision,
      others: others.length,
      answered: answered.length,
      isStoreReachable: isRead,
    });
    if (decision === Takeovers.STAND_BY) standingByMs ??= clock.nowMs();
    else standingByMs = undefined;
    if (decision === Takeovers.TAKE) await takeByStore(self, 'takeover');
    if (decision === Takeovers.TAKE_APART && of !== undefined) {
      takeView(
        { epoch: of.epoch, round: of.round + 1, dispatcher: self },
        'takeover without store',
      );
    }
  }

  async function readStored(): Promise<boolean> {
    const read = await Promise.race([
      store.get(DISPATCHER_KEY),
      timer.sleep(QUICK_READ_MS, closing.signal),
    ]);
    if (read === undefined || read.isErr) {
      noteStore(false);
      return false;
    }
    noteStore(true);
    if (read.value === undefined) stored = { view: undefined, revision: 0 };
    else takeStored(read.value);
    return true;
  }

  async function askOthers(
    others: readonly FleetMember[],
    of: View | undefined,
  ): Promise<readonly Answered[]> {
    const asked = others.map(async (member): Promise<Answered | undefined> => {
      const ask: Ask<'opinion'> = of === undefined ? {} : { view: of };
      const reply = await links.to(member).request('opinion', ask, {
        timeoutMs: OPINION_TIMEOUT_MS,
        connectWaitMs: OPINION_TIMEOUT_MS,
      });
      return reply.isOk ? { member, opinion: reply.value } : undefined;
    });
    const answers = await Promise.all(asked);
    return answers.filter((one) => one !== undefined);
  }

  /** Names a dispatcher in the store; whoever writes first decides. */
  async function takeByStore(dispatcher: FleetMember, source: string): Promise<boolean> {
    if (stored === undefined && !(await readStored())) return false;
    const revision = stored?.revision ?? 0;
    const epoch = Math.max(view?.epoch ?? 0, stored?.view?.epoch ?? 0) + 1;
    const next: View = { epoch, round: 0, dispatcher };
    const swapped = await store.compareAndSwap(DISPATCHER_KEY, revision, JSON.stringify(next));
    if (swapped.isErr) {
      logger.warn('Dispatcher could not be named.', { reason: swapped.error.message, epoch });
      await readStored();
      return false;
    }
    stored = { view: next, revision: swapped.value.revision };
    takeView(next, source);
    return true;
  }

  /** A dispatcher without the store goes back to the stored one, or to a newer one it meets. */
  async function seekOthers(of: View): Promise<void> {
    if (isStoreReachable()) {
      await returnToStore(of);
      return;
    }
    const nowMs = clock.nowMs();
    if (nowMs - comparedMs < COMPARE_INTERVAL_MS) return;
    comparedMs = nowMs;
    for (const { opinion } of await askOthers(members.others(self.incarnation), of)) {
      if (opinion.view !== undefined) takeView(opinion.view, 'another instance');
    }
  }

  /** A dispatcher without the store asks the stored one to go on, or takes its place. */
  async function returnToStore(of: View): Promise<void> {
    if (!(await readStored()) || view !== of || stored?.view === undefined) return;
    const ask = { view: of, versions: documents.versions() };
    const reply = await links.to(stored.view.dispatcher).request('pulse', ask, {
      timeoutMs: PULSE_TIMEOUT_MS,
      connectWaitMs: PULSE_TIMEOUT_MS,
    });
    if (view !== of) return;
    if (reply.isOk && reply.value.isDispatching) {
      missedMs = undefined;
      return;
    }
    const nowMs = clock.nowMs();
    missedMs ??= nowMs;
    if (nowMs - missedMs > RETURN_LIMIT_MS) await takeByStore(self, 'return of the store');
  }

  /** Raises the fence above one that endpoints have seen, if this instance is still the dispatcher. */
  async function raise(reason: string): Promise<void> {
    const nowMs = clock.nowMs();
    if (!isDispatching() || isStopping || nowMs - raisedMs < RAISE_INTERVAL_MS) return;
    raisedMs = nowMs;
    const of = view;
    if (of !== undefined && of.round > 0) {
      await returnToStore(of);
      return;
    }
    if (!(await readStored()) || view !== of) return;
    logger.warn('Fence is raised.', { reason, epoch: of?.epoch });
    await takeByStore(self, 'raised fence');
  }

  /** Endpoints obey another dispatcher: whoever goes on apart from it does harm. */
  function giveUpApart(of: View): void {
    if (!isDispatching() || isStoreReachable() || wasFenced) return;
    wasFenced = true;
    comparedMs = -Infinity;
    logger.warn('Another dispatcher reaches the endpoints.', { epoch: of.epoch, round: of.round });
  }

  function answerPulse(ask: Ask<'pulse'>, peer: Greeting): Reply<'pulse'> {
    const mine = view;
    if (isDispatching() && mine !== undefined) {
      options.onPulse(peer.instance);
      if (isNewer(ask.view, mine)) void raise('another dispatcher is known');
    } else if (isNewer(ask.view, mine)) takeView(ask.view, 'another instance');
    return {
      ...(view === undefined ? {} : { view }),
      isDispatching: isDispatching(),
      documents: documents.newerThan(ask.versions),
      waiting: isDispatching() ? options.waiting() : {},
    };
  }

  function answerOpinion(ask: Ask<'opinion'>): Opinion {
    const isSameView = ask.view !== undefined && view !== undefined && !isNewer(view, ask.view);
    const isHeard = isSameView && heardMs !== undefined && isDispatcherConnected();
    return {
      ...(view === undefined ? {} : { view }),
      ...(isHeard ? { heardAgoMs: clock.nowMs() - (heardMs ?? 0) } : {}),
      isStoreReachable: isStoreReachable(),
      isStopping,
    };
  }

  function isDispatcherConnected(): boolean {
    return view !== undefined && links.isConnected(view.dispatcher.incarnation);
  }

  async function cede(): Promise<void> {
    isStopping = true;
    const of = view;
    if (of === undefined || !isDispatching()) return;
    const others = members.others(self.incarnation);
    const answered = await askOthers(others, of);
    const ready = answered.filter(({ opinion }) => !opinion.isStopping).map(({ member }) => member);
    const [successor] = rankMembers(ready, of.epoch);
    if (successor === undefined) {
      logger.warn('No other instance can dispatch.', { others: others.length });
      return;
    }
    const isNamed = (await readStored()) && (await takeByStore(successor, 'cession'));
    if (!isNamed && view === of) {
      takeView({ epoch: of.epoch, round: of.round + 1, dispatcher: successor }, 'cession');
    }
    if (view === undefined) return;
    await links.to(successor).request('takeOver', { view }, { timeoutMs: PULSE_TIMEOUT_MS });
  }

  function start(): void {
    startedMs = clock.nowMs();
    server.onRequest('pulse', answerPulse);
    server.onRequest('opinion', answerOpinion);
    server.onRequest('takeOver', (ask) => {
      if (isStopping) return { accepted: false };
      takeView(ask.view, 'cession');
      return { accepted: true };
    });
    const common = { store, timer, random: options.random, signal: closing.signal };
    void followPrefix({
      ...common,
      prefix: FLEET_PREFIX,
      onEntry: takeEntry,
      onRemoved: (key) => {
        if (key.startsWith(MEMBER_PREFIX)) members.takeRemoval(key.slice(MEMBER_PREFIX.length));
      },
      onContact: noteStore,
    });
    const key = `${MEMBER_PREFIX}${self.instance}`;
    void keepEnrolled({ ...common, key, self, logger, onContact: noteStore });
    void run();
  }

  return {
    start,
    view: () => view,
    isDispatching,
    onView(subscriber) {
      subscribers.add(subscriber);
    },
    link: () => (view === undefined || isDispatching() ? undefined : links.to(view.dispatcher)),
    noteFenced() {
      if (view !== undefined && view.round > 0) giveUpApart(view);
      void raise('an endpoint obeys another dispatcher');
    },
    waiting: () => (isDispatching() ? options.waiting() : waitingThere),
    isStoreReachable,
    cede,
    close() {
      closing.abort();
      links.close();
    },
  };
}

function parseView(text: string): View | undefined {
  try {
    return viewSchema.safeParse(JSON.parse(text)).data;
  } catch {
    return undefined;
  }
}
