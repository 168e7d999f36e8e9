/** An in-memory endpoint. Tests decide how it answers and drive its timer. */
import { Result } from 'true-myth';
import { ErrorCodes } from '@celerybarrow/shared';
import type { ManualTimer } from '@celerybarrow/timer';
import {
  EndpointError,
  OrderAnswers,
  RunEnds,
  taskKey,
  type EndedTask,
  type RenewalAnswer,
  type RenewalOrder,
  type LeasedEndpoint,
  type OrderAnswer,
  type RunEnd,
  type RunOrder,
  type RunningTask,
  type StartOrder,
} from '../src/index.js';

const CLOCK_AHEAD_MS = 5_000;

export interface FakeEndpoint extends LeasedEndpoint {
  readonly starts: StartOrder[];
  readonly stops: RunOrder[];
  readonly renewals: RenewalOrder[];
  /** Whether calls get no answer. */
  isUnresponsive: boolean;
  /** Whether connections are refused, as while the process restarts. */
  isDown: boolean;
  /** Whether starts get no answer and are only carried out by `carryOut`. */
  areStartsLost: boolean;
  /** Whether stops get no answer and are not carried out. */
  areStopsLost: boolean;
  /** Whether another endpoint answers at the address. */
  isReplaced: boolean;
  /** The highest fencing token that the endpoint has seen. */
  fence: number;
  bornMs: number;
  /** Restarts the endpoint, which forgets its runs, ends and stops. */
  restart(): void;
  carryOut(order: RunOrder): void;
  end(order: RunOrder, runEnd: RunEnd): void;
  setPercent(order: RunOrder, percent: number): void;
  running(): readonly RunningTask[];
}

export function createFakeEndpoint(timer: ManualTimer): FakeEndpoint {
  const running = new Map<string, { task: RunningTask['task']; run: number; percent: number }>();
  const ended: EndedTask[] = [];
  const stopped = new Map<string, number>();

  function unanswered(): Result<never, EndpointError> {
    return Result.err(new EndpointError(ErrorCodes.ENDPOINT_SILENT));
  }

  const fake: FakeEndpoint = {
    starts: [],
    stops: [],
    renewals: [],
    isUnresponsive: false,
    isDown: false,
    areStartsLost: false,
    areStopsLost: false,
    isReplaced: false,
    fence: 0,
    bornMs: 1,
    restart() {
      fake.bornMs += 1;
      running.clear();
      stopped.clear();
      ended.length = 0;
    },
    carryOut({ task, run }) {
      if ((stopped.get(taskKey(task)) ?? 0) < run) {
        running.set(taskKey(task), { task, run, percent: 0 });
      }
    },
    end({ task, run }, runEnd) {
      running.delete(taskKey(task));
      ended.push({ number: ended.length + 1, task, run, end: runEnd });
    },
    setPercent({ task }, percent) {
      const listed = running.get(taskKey(task));
      if (listed !== undefined) listed.percent = percent;
    },
    running: () => [...running.values()],
    async start(order): Promise<Result<OrderAnswer, EndpointError>> {
      fake.starts.push(order);
      await timer.sleep(1);
      if (fake.isDown) return unanswered();
      if (fake.isUnresponsive || fake.areStartsLost) {
        await timer.sleep(100);
        return unanswered();
      }
      fake.carryOut(order);
      return Result.ok(OrderAnswers.ACCEPTED);
    },
    async stop(order): Promise<Result<OrderAnswer, EndpointError>> {
      fake.stops.push(order);
      await timer.sleep(1);
      if (fake.isDown) return unanswered();
      if (fake.isUnresponsive || fake.areStopsLost) {
        await timer.sleep(100);
        return unanswered();
      }
      stopped.set(taskKey(order.task), order.run);
      if (running.get(taskKey(order.task))?.run === order.run) fake.end(order, RunEnds.STOPPED);
      return Result.ok(OrderAnswers.ACCEPTED);
    },
    async renew(order): Promise<Result<RenewalAnswer, EndpointError>> {
      fake.renewals.push(order);
      if (fake.isReplaced) return Result.ok({ answer: OrderAnswers.REPLACED });
      if (order.fence < fake.fence) return Result.ok({ answer: OrderAnswers.FENCED });
      const seen = order.endsSeen ?? 0;
      await timer.sleep(1);
      if (fake.isDown) return unanswered();
      for (
        let waited = 0;
        waited < order.waitMs && !fake.isUnresponsive && !fake.isDown;
        waited += 5
      ) {
        if (ended.some((end) => end.number > seen)) break;
        await timer.sleep(5);
      }
      if (fake.isDown) return unanswered();
      if (fake.isUnresponsive) {
        await timer.sleep(100);
        return unanswered();
      }
      const report = {
        clockMs: timer.nowMs() + CLOCK_AHEAD_MS,
        bornMs: fake.bornMs,
        running: [...running.values()].map((listed) => ({ ...listed })),
        ended: ended.filter((end) => end.number > seen),
      };
      return Result.ok({ answer: OrderAnswers.ACCEPTED, report });
    },
    close: () => undefined,
  };
  return fake;
}
