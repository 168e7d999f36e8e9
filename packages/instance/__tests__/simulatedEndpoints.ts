/**
 * Simulates endpoints in virtual time that follow the rules of leased dispatch. A restart forgets the
 * fencing token, leases are never shortened, runs that were stopped or have ended are rejected, and an
 * unacknowledged order may be carried out seconds later. Every run is recorded with its start and end.
 */
import { Result } from 'true-myth';
import { createRandom, ErrorCodes, type Random } from '@celerybarrow/shared';
import type { ManualTimer } from '@celerybarrow/timer';
import {
  EndpointError,
  OrderAnswers,
  RunEnds,
  taskKey,
  type EndedTask,
  type EndpointEntry,
  type EndpointNetwork,
  type OrderAnswer,
  type RenewalAnswer,
  type RenewalOrder,
  type RunEnd,
  type RunOrder,
  type RunningTask,
  type StartOrder,
} from '@celerybarrow/endpoints';

const MAX_LEASE_MS = 1_000;
const MAX_STOP_MS = 50;
const ORDER_TIMEOUT_MS = 150;
const RENEWAL_GRACE_MS = 130;
const SLOTS = 2;
const POLL_MS = 20;
const FIRST_PORT = 8_000;

export interface RecordedRun {
  readonly key: string;
  readonly run: number;
  readonly endpoint: string;
  readonly fromMs: number;
  toMs: number;
}

interface LiveRun extends RunningTask {
  readonly record: RecordedRun;
  readonly doneMs: number;
  readonly plannedEnd: RunEnd;
  stoppedMs: number;
}

/**
 * Probabilities that a call is lost, is carried out without an answer, is carried out up to seconds
 * later without an answer, or is slow.
 */
export interface CallFaults {
  lost: number;
  unanswered: number;
  late: number;
  /** Like `late`, but only for starts and stops. */
  lateOrders: number;
  slow: number;
}

export interface EndpointTraits {
  /**
   * Whether a start is too late after the lease end of its order. If false, it is too late only after
   * the lease end of the endpoint as well.
   */
  readonly rejectsByOrderLease: boolean;
  readonly maxTaskMs: number;
  readonly failureProbability: number;
}

type Answer<T> = Result<T, EndpointError>;

/** A process that calls endpoints. */
export interface CallingProcess {
  reaches(endpoint: string): boolean;
  /** Whether the answers of the endpoint arrive; as `reaches` if absent. */
  hears?(endpoint: string): boolean;
  /** Runs a timeout by the timer of the process. */
  onTimeout(delayMs: number, subscriber: () => void): void;
  /** Delivers an answer when the process is able to read it. */
  receive(read: () => void): void;
}

export interface SimulatedEndpoint {
  readonly entry: EndpointEntry;
  readonly faults: CallFaults;
  /** Whether calls do not reach it although it is running. */
  isUnreachable: boolean;
  crash(): void;
  restart(): void;
}

export function createSimulatedEndpoints(
  count: number,
  timer: ManualTimer,
  random: Random,
  traits: EndpointTraits,
  trace: (line: string) => void,
  joining = 0,
) {
  const records: RecordedRun[] = [];
  const endpoints = new Map<string, ReturnType<typeof createEndpoint>>();
  const randomBetween = (min: number, max: number) => min + (max - min) * random.next();

  function createEndpoint(id: string, address: string, traitsRandom: Random) {
    const rate = 0.98 + 0.02 * traitsRandom.next();
    const capacity = { cores: SLOTS * 1_000, memoryMb: 1_000, accelerators: 0 };
    const base = { service: 's', dataCentre: 'd', isLeaving: false, labels: [] };
    const entry: EndpointEntry = { id, address, ...base, capacity };
    const faults: CallFaults = { lost: 0, unanswered: 0, late: 0, lateOrders: 0, slow: 0 };
    let isUp = true;
    let bornMs = 1;
    let startedAtMs = timer.nowMs() - 100_000 * traitsRandom.next();
    let fence = 0;
    let leaseEndMs = 0;
    let endCount = 0;
    let ended: EndedTask[] = [];
    const liveRuns = new Map<string, LiveRun>();
    const lastEndedRun = new Map<string, number>();

    const clockMs = () => (timer.nowMs() - startedAtMs) * rate;
    const endMsOf = (liveRun: LiveRun) =>
      Math.min(liveRun.doneMs, liveRun.stoppedMs, startedAtMs + leaseEndMs / rate);

    function endDueRuns(): void {
      const due = [...liveRuns].filter(([, liveRun]) => endMsOf(liveRun) <= timer.nowMs());
      for (const [name, liveRun] of due.sort(([, a], [, b]) => endMsOf(a) - endMsOf(b))) {
        const atMs = endMsOf(liveRun);
        const earlyEnd = liveRun.stoppedMs === atMs ? RunEnds.STOPPED : RunEnds.LAPSED;
        liveRun.record.toMs = atMs;
        liveRuns.delete(name);
        endCount += 1;
        const end = liveRun.doneMs === atMs ? liveRun.plannedEnd : earlyEnd;
        ended.push({ number: endCount, task: liveRun.task, run: liveRun.run, end });
        markEnded(liveRun.record.key, liveRun.run);
        trace(`${atMs.toFixed(0)} ${id} ends ${name} ${end}`);
      }
    }

    function markEnded(key: string, run: number): void {
      lastEndedRun.set(key, Math.max(lastEndedRun.get(key) ?? 0, run));
    }

    function acceptsFence(order: { readonly fence: number }): boolean {
      endDueRuns();
      if (order.fence < fence) return false;
      fence = order.fence;
      return true;
    }

    function extend(wantedMs: number): void {
      leaseEndMs = Math.max(leaseEndMs, Math.min(wantedMs, clockMs() + MAX_LEASE_MS));
    }

    function start(order: StartOrder): OrderAnswer {
      if (!acceptsFence(order)) return OrderAnswers.FENCED;
      const key = taskKey(order.task);
      const name = `${key}#${order.run}`;
      if (liveRuns.has(name)) return OrderAnswers.ACCEPTED;
      const limitMs = traits.rejectsByOrderLease
        ? order.leaseEndMs
        : Math.max(leaseEndMs, order.leaseEndMs);
      if (limitMs <= clockMs()) return OrderAnswers.TOO_LATE;
      extend(order.leaseEndMs);
      if (order.run <= (lastEndedRun.get(key) ?? 0)) return OrderAnswers.OUTDATED;
      if (liveRuns.size >= SLOTS) return OrderAnswers.NO_ROOM;
      const nowMs = timer.nowMs();
      const record = { key, run: order.run, endpoint: id, fromMs: nowMs, toMs: Infinity };
      records.push(record);
      const plannedEnd = random.next() < traits.failureProbability ? RunEnds.FAILED : RunEnds.DONE;
      const doneMs = nowMs + randomBetween(20, traits.maxTaskMs);
      const { task, run } = order;
      liveRuns.set(name, {
        task,
        run,
        percent: 1,
        record,
        doneMs,
        plannedEnd,
        stoppedMs: Infinity,
      });
      trace(`${nowMs.toFixed(0)} ${id} starts ${name} fence ${order.fence}`);
      return OrderAnswers.ACCEPTED;
    }

    function stop(order: RunOrder): OrderAnswer {
      if (!acceptsFence(order)) return OrderAnswers.FENCED;
      const key = taskKey(order.task);
      markEnded(key, order.run);
      const liveRun = liveRuns.get(`${key}#${order.run}`);
      if (liveRun !== undefined) {
        liveRun.stoppedMs = Math.min(
          liveRun.stoppedMs,
          timer.nowMs() + randomBetween(1, MAX_STOP_MS),
        );
      }
      return OrderAnswers.ACCEPTED;
    }

    async function renew(order: RenewalOrder): Promise<RenewalAnswer> {
      const bornBefore = bornMs;
      if (!acceptsFence(order)) return { answer: OrderAnswers.FENCED };
      const seen = order.endsSeen ?? 0;
      ended = ended.filter((task) => task.number > seen);
      if (order.leaseEndMs !== undefined) extend(order.leaseEndMs);
      const untilMs = timer.nowMs() + order.waitMs;
      while (ended.length === 0 && timer.nowMs() < untilMs && bornMs === bornBefore && isUp) {
        const next = Math.min(untilMs, ...[...liveRuns.values()].map(endMsOf));
        await timer.sleep(Math.max(0.1, Math.min(POLL_MS, next - timer.nowMs())));
        endDueRuns();
      }
      const running = [...liveRuns.values()].map(({ task, run, percent }) => ({
        task,
        run,
        percent,
      }));
      const report = { clockMs: Math.floor(clockMs()), bornMs, running, ended: [...ended] };
      return { answer: OrderAnswers.ACCEPTED, report };
    }

    function order<T>(from: CallingProcess, execute: () => T): Promise<Answer<T>> {
      return call(from, ORDER_TIMEOUT_MS, faults.late + faults.lateOrders, execute);
    }

    function call<T>(
      from: CallingProcess,
      timeoutMs: number,
      lateProbability: number,
      execute: () => T | Promise<T>,
    ): Promise<Answer<T>> {
      const draw = random.next();
      const isLost = draw < faults.lost;
      const isLate = !isLost && draw < faults.lost + lateProbability;
      const isAnswerLost = random.next() < faults.unanswered;
      const slowMs = random.next() < faults.slow ? randomBetween(10, 220) : 0;
      const requestMs = isLate ? randomBetween(150, 2_500) : randomBetween(0.3, 2) + slowMs;
      const replyMs =
        randomBetween(0.3, 2) + (random.next() < faults.slow ? randomBetween(10, 220) : 0);
      return new Promise((resolve) => {
        const timeOut = () => {
          resolve(Result.err(new EndpointError(ErrorCodes.ENDPOINT_SILENT)));
        };
        const isUnreachable = () => control.isUnreachable || !from.reaches(id);
        const isUnheard = () =>
          control.isUnreachable || !(from.hears === undefined ? from.reaches(id) : from.hears(id));
        from.onTimeout(timeoutMs, timeOut);
        if (isLost) return;
        timer.onAfter(requestMs, () => {
          if (isUnreachable()) return;
          if (!isUp && !isLate) from.receive(timeOut);
          if (!isUp) return;
          const bornBefore = bornMs;
          void Promise.resolve(execute()).then((value) => {
            if (isLate || isAnswerLost || isUnheard()) return;
            if (!isUp || bornBefore !== bornMs) {
              from.receive(timeOut);
              return;
            }
            timer.onAfter(replyMs, () => {
              if (!isUnheard()) {
                from.receive(() => {
                  resolve(Result.ok(value));
                });
              }
            });
          });
        });
      });
    }

    function crash(): void {
      endDueRuns();
      isUp = false;
      for (const liveRun of liveRuns.values()) liveRun.record.toMs = timer.nowMs();
      liveRuns.clear();
      trace(`${timer.nowMs().toFixed(0)} ${id} crashes`);
    }

    function restart(): void {
      if (isUp) return;
      isUp = true;
      bornMs += 1;
      startedAtMs = timer.nowMs();
      fence = 0;
      leaseEndMs = 0;
      endCount = 0;
      ended = [];
      lastEndedRun.clear();
      trace(`${timer.nowMs().toFixed(0)} ${id} restarts`);
    }

    const control: SimulatedEndpoint = { entry, faults, isUnreachable: false, crash, restart };
    return { control, endDueRuns, start, stop, renew, order, call };
  }

  function addEndpoints(added: number, traitsRandom: Random): void {
    for (let left = added; left > 0; left -= 1) {
      const number = endpoints.size;
      const address = `127.0.0.1:${FIRST_PORT + number}`;
      endpoints.set(`e${number}`, createEndpoint(`e${number}`, address, traitsRandom));
    }
  }

  addEndpoints(count, random);
  // Their traits have numbers of their own, so that a seed plays the same with and without them.
  addEndpoints(joining, createRandom(count));

  /** Returns the endpoints from the point of view of one process. */
  function networkOf(from: CallingProcess): EndpointNetwork {
    return {
      open(entry) {
        const endpoint = endpoints.get(entry.id);
        if (endpoint === undefined) throw new RangeError(`no endpoint ${entry.id}`);
        return {
          start: (order) => endpoint.order(from, () => endpoint.start(order)),
          stop: (order) => endpoint.order(from, () => endpoint.stop(order)),
          renew: (order) =>
            endpoint.call(from, order.waitMs + RENEWAL_GRACE_MS, endpoint.control.faults.late, () =>
              endpoint.renew(order),
            ),
          close: () => undefined,
        };
      },
    };
  }

  return {
    networkOf,
    /** The endpoints from the point of view of a process without faults. */
    network: networkOf({
      reaches: () => true,
      onTimeout: (delayMs, subscriber) => timer.onAfter(delayMs, subscriber),
      receive: (read) => {
        read();
      },
    }),
    all: [...endpoints.values()].map(({ control }) => control),
    /** Returns a description of each pair of runs of the same task that overlapped in time. */
    overlaps(): string[] {
      for (const endpoint of endpoints.values()) endpoint.endDueRuns();
      return records.flatMap((record, index) =>
        records.slice(index + 1).flatMap((other) => {
          const sharedMs =
            Math.min(record.toMs, other.toMs) - Math.max(record.fromMs, other.fromMs);
          if (record.key !== other.key || sharedMs <= 0) return [];
          const runs = [record, other].map((run) => `run ${run.run} on ${run.endpoint}`).join(', ');
          const fromMs = Math.max(record.fromMs, other.fromMs);
          return [`${record.key}: ${runs}, ${sharedMs.toFixed(0)} ms from ${fromMs.toFixed(0)} ms`];
        }),
      );
    },
    starts: () => records.length,
  };
}
