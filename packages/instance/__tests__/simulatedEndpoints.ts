/**
 * Endpoints in virtual time that keep the rules of leased dispatch: fences that a restart forgets,
 * leases that never shorten, rejection of runs that were stopped or have ended, and orders without an
 * answer that may be carried out seconds later. Every run is recorded with its begin and end.
 */
import { Result } from 'true-myth';
import { ErrorCodes, type Random } from '@celerybarrow/shared';
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

const LONGEST_LEASE_MS = 1_000;
const LONGEST_STOP_MS = 50;
const ORDER_TIMEOUT_MS = 150;
const RENEWAL_GRACE_MS = 130;
const SLOTS = 2;
const POLL_MS = 20;

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
  readonly how: RunEnd;
  stoppedMs: number;
}

/** How often calls are lost, or carried out without an answer, now or late. */
export interface CallFaults {
  lost: number;
  unanswered: number;
  late: number;
  /** Like `late`, for starts and stops only. */
  lateOrders: number;
  slow: number;
}

export interface EndpointTraits {
  /** Whether a start is late by its own lease, or by the lease of all that runs there. */
  readonly judgesByOrder: boolean;
  readonly longestTaskMs: number;
  readonly failShare: number;
}

type Answer<T> = Result<T, EndpointError>;

/** The process whose calls reach endpoints, or do not. */
export interface Caller {
  reaches(endpoint: string): boolean;
  /** A time limit that the process counts itself. */
  onTimeout(delayMs: number, subscriber: () => void): void;
  /** Hands over an answer when the process reads it. */
  receive(read: () => void): void;
}

export interface SimulatedEndpoint {
  readonly entry: EndpointEntry;
  readonly faults: CallFaults;
  /** Whether calls do not reach it, while it runs on. */
  isCut: boolean;
  crash(): void;
  restart(): void;
}

export function createSimulatedEndpoints(
  count: number,
  timer: ManualTimer,
  random: Random,
  traits: EndpointTraits,
  trace: (line: string) => void,
) {
  const records: RecordedRun[] = [];
  const endpoints = new Map<string, ReturnType<typeof createOne>>();
  const between = (least: number, most: number) => least + (most - least) * random.next();

  function createOne(id: string) {
    const rate = between(0.98, 1);
    const capacity = { cores: SLOTS * 1_000, memoryMb: 1_000, accelerators: 0 };
    const base = { service: 's', dataCentre: 'd', isLeaving: false, labels: [] };
    const entry: EndpointEntry = { id, address: id, ...base, capacity };
    const faults: CallFaults = { lost: 0, unanswered: 0, late: 0, lateOrders: 0, slow: 0 };
    let isUp = true;
    let bornMs = 1;
    let lifeStartMs = timer.nowMs() - between(0, 100_000);
    let fence = 0;
    let leaseEndMs = 0;
    let ends = 0;
    let ended: EndedTask[] = [];
    const live = new Map<string, LiveRun>();
    const over = new Map<string, number>();

    const clockMs = () => (timer.nowMs() - lifeStartMs) * rate;
    const endOf = (one: LiveRun) =>
      Math.min(one.doneMs, one.stoppedMs, lifeStartMs + leaseEndMs / rate);

    function settle(): void {
      const due = [...live].filter(([, one]) => endOf(one) <= timer.nowMs());
      for (const [name, one] of due.sort(([, a], [, b]) => endOf(a) - endOf(b))) {
        const atMs = endOf(one);
        const cut = one.stoppedMs === atMs ? RunEnds.STOPPED : RunEnds.LAPSED;
        one.record.toMs = atMs;
        live.delete(name);
        ends += 1;
        const end = one.doneMs === atMs ? one.how : cut;
        ended.push({ number: ends, task: one.task, run: one.run, end });
        bury(one.record.key, one.run);
        trace(`${atMs.toFixed(0)} ${id} ends ${name} ${end}`);
      }
    }

    function bury(key: string, run: number): void {
      over.set(key, Math.max(over.get(key) ?? 0, run));
    }

    function obeys(order: { readonly fence: number }): boolean {
      settle();
      if (order.fence < fence) return false;
      fence = order.fence;
      return true;
    }

    function extend(wantedMs: number): void {
      leaseEndMs = Math.max(leaseEndMs, Math.min(wantedMs, clockMs() + LONGEST_LEASE_MS));
    }

    function start(order: StartOrder): OrderAnswer {
      if (!obeys(order)) return OrderAnswers.FENCED;
      const key = taskKey(order.task);
      const name = `${key}#${order.run}`;
      if (live.has(name)) return OrderAnswers.ACCEPTED;
      const limitMs = traits.judgesByOrder
        ? order.leaseEndMs
        : Math.max(leaseEndMs, order.leaseEndMs);
      if (limitMs <= clockMs()) return OrderAnswers.TOO_LATE;
      extend(order.leaseEndMs);
      if (order.run <= (over.get(key) ?? 0)) return OrderAnswers.OUTDATED;
      if (live.size >= SLOTS) return OrderAnswers.NO_ROOM;
      const nowMs = timer.nowMs();
      const record = { key, run: order.run, endpoint: id, fromMs: nowMs, toMs: Infinity };
      records.push(record);
      const how = random.next() < traits.failShare ? RunEnds.FAILED : RunEnds.DONE;
      const doneMs = nowMs + between(20, traits.longestTaskMs);
      const { task, run } = order;
      live.set(name, { task, run, percent: 1, record, doneMs, how, stoppedMs: Infinity });
      trace(`${nowMs.toFixed(0)} ${id} starts ${name} fence ${order.fence}`);
      return OrderAnswers.ACCEPTED;
    }

    function stop(order: RunOrder): OrderAnswer {
      if (!obeys(order)) return OrderAnswers.FENCED;
      const key = taskKey(order.task);
      bury(key, order.run);
      const one = live.get(`${key}#${order.run}`);
      if (one !== undefined) {
        one.stoppedMs = Math.min(one.stoppedMs, timer.nowMs() + between(1, LONGEST_STOP_MS));
      }
      return OrderAnswers.ACCEPTED;
    }

    async function renew(order: RenewalOrder): Promise<RenewalAnswer> {
      const life = bornMs;
      if (!obeys(order)) return { answer: OrderAnswers.FENCED };
      const seen = order.endsSeen ?? 0;
      ended = ended.filter((one) => one.number > seen);
      if (order.leaseEndMs !== undefined) extend(order.leaseEndMs);
      const untilMs = timer.nowMs() + order.waitMs;
      while (ended.length === 0 && timer.nowMs() < untilMs && bornMs === life && isUp) {
        const next = Math.min(untilMs, ...[...live.values()].map(endOf));
        await timer.sleep(Math.max(0.1, Math.min(POLL_MS, next - timer.nowMs())));
        settle();
      }
      const running = [...live.values()].map(({ task, run, percent }) => ({ task, run, percent }));
      const report = { clockMs: Math.floor(clockMs()), bornMs, running, ended: [...ended] };
      return { answer: OrderAnswers.ACCEPTED, report };
    }

    function order<T>(by: Caller, carryOut: () => T): Promise<Answer<T>> {
      return call(by, ORDER_TIMEOUT_MS, faults.late + faults.lateOrders, carryOut);
    }

    function call<T>(
      by: Caller,
      timeoutMs: number,
      lateShare: number,
      carryOut: () => T | Promise<T>,
    ): Promise<Answer<T>> {
      const draw = random.next();
      const isLost = draw < faults.lost;
      const isLate = !isLost && draw < faults.lost + lateShare;
      const isAnswerLost = random.next() < faults.unanswered;
      const slowMs = random.next() < faults.slow ? between(10, 220) : 0;
      const outMs = isLate ? between(150, 2_500) : between(0.3, 2) + slowMs;
      const backMs = between(0.3, 2) + (random.next() < faults.slow ? between(10, 220) : 0);
      return new Promise((resolve) => {
        const silent = () => {
          resolve(Result.err(new EndpointError(ErrorCodes.ENDPOINT_SILENT)));
        };
        const isOutOfReach = () => control.isCut || !by.reaches(id);
        by.onTimeout(timeoutMs, silent);
        if (isLost) return;
        timer.onAfter(outMs, () => {
          if (isOutOfReach()) return;
          if (!isUp && !isLate) by.receive(silent);
          if (!isUp) return;
          const life = bornMs;
          void Promise.resolve(carryOut()).then((value) => {
            if (isLate || isAnswerLost || isOutOfReach()) return;
            if (!isUp || life !== bornMs) {
              by.receive(silent);
              return;
            }
            timer.onAfter(backMs, () => {
              if (!isOutOfReach()) {
                by.receive(() => {
                  resolve(Result.ok(value));
                });
              }
            });
          });
        });
      });
    }

    function crash(): void {
      settle();
      isUp = false;
      for (const one of live.values()) one.record.toMs = timer.nowMs();
      live.clear();
      trace(`${timer.nowMs().toFixed(0)} ${id} crashes`);
    }

    function restart(): void {
      if (isUp) return;
      isUp = true;
      bornMs += 1;
      lifeStartMs = timer.nowMs();
      fence = 0;
      leaseEndMs = 0;
      ends = 0;
      ended = [];
      over.clear();
      trace(`${timer.nowMs().toFixed(0)} ${id} restarts`);
    }

    const control: SimulatedEndpoint = { entry, faults, isCut: false, crash, restart };
    return { control, settle, start, stop, renew, order, call };
  }

  for (let number = 0; number < count; number += 1) {
    endpoints.set(`e${number}`, createOne(`e${number}`));
  }

  /** The endpoints as one process sees them. */
  function networkOf(by: Caller): EndpointNetwork {
    return {
      open(entry) {
        const one = endpoints.get(entry.id);
        if (one === undefined) throw new RangeError(`no endpoint ${entry.id}`);
        return {
          start: (order) => one.order(by, () => one.start(order)),
          stop: (order) => one.order(by, () => one.stop(order)),
          renew: (order) =>
            one.call(by, order.waitMs + RENEWAL_GRACE_MS, one.control.faults.late, () =>
              one.renew(order),
            ),
          close: () => undefined,
        };
      },
    };
  }

  return {
    networkOf,
    /** The endpoints as a process sees them that is never cut off, nor held up. */
    network: networkOf({
      reaches: () => true,
      onTimeout: (delayMs, subscriber) => timer.onAfter(delayMs, subscriber),
      receive: (read) => {
        read();
      },
    }),
    all: [...endpoints.values()].map(({ control }) => control),
    /** Pairs of runs of one task that were at work at the same time. */
    overlaps(): string[] {
      for (const one of endpoints.values()) one.settle();
      return records.flatMap((one, index) =>
        records.slice(index + 1).flatMap((other) => {
          const sharedMs = Math.min(one.toMs, other.toMs) - Math.max(one.fromMs, other.fromMs);
          if (one.key !== other.key || sharedMs <= 0) return [];
          const places = [one, other].map((run) => `run ${run.run} on ${run.endpoint}`).join(', ');
          const fromMs = Math.max(one.fromMs, other.fromMs);
          return [`${one.key}: ${places}, ${sharedMs.toFixed(0)} ms from ${fromMs.toFixed(0)} ms`];
        }),
      );
    },
    starts: () => records.length,
  };
}
