import { describe, it } from 'node:test';
import { expect } from 'earl';
import { Result } from 'true-myth';
import { createRandom } from '@celerybarrow/shared';
import { createElapsedClock, createManualTimer } from '@celerybarrow/timer';
import { OrderAnswers, type EndpointNetwork } from '@celerybarrow/endpoints';
import { createMetrics, type Logger } from '@celerybarrow/telemetry';
import type { LeasedJob } from '@celerybarrow/protocol';
import { createDispatcher } from '../src/index.js';
import { createPassSchedule, PassCauses, type PassCause } from '../src/passSchedule.js';

const ignore = () => undefined;
const logger: Logger = { debug: ignore, info: ignore, warn: ignore, error: ignore };

function nextTurn(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}

describe('the schedule of placement passes', () => {
  function createSchedule() {
    const passes: PassCause[] = [];
    const schedule = createPassSchedule((cause) => {
      passes.push(cause);
    });
    return { passes, schedule };
  }

  it('runs one pass for all requests of a turn, which is a review if one of them is', async () => {
    const { passes, schedule } = createSchedule();
    schedule.request(PassCauses.CHANGE);
    schedule.request(PassCauses.REVIEW);
    schedule.request(PassCauses.CHANGE);
    await nextTurn();
    schedule.request(PassCauses.CHANGE);
    await nextTurn();
    await nextTurn();
    expect(passes).toEqual([PassCauses.REVIEW, PassCauses.CHANGE]);
  });

  it('runs none once it is closed', async () => {
    const { passes, schedule } = createSchedule();
    schedule.request(PassCauses.CHANGE);
    schedule.close();
    schedule.request(PassCauses.REVIEW);
    await nextTurn();
    expect(passes).toEqual([]);
  });
});

describe('a dispatcher whose turns take longer than its review interval', () => {
  const demand = { cores: 1_000, memoryMb: 1, accelerators: 0 };

  function createJob(number: number): LeasedJob {
    return {
      id: `j${number}`,
      team: 't',
      service: 's',
      priority: 0,
      maxAttempts: 2,
      objectiveStretch: 1.6,
      objectiveAllowanceMs: 60,
      payload: '',
      steps: [{ tasks: 1, demand, estimateMs: 1_000, after: [] }],
      ageMs: 0,
      remainingMs: 5_000,
    };
  }

  // In the turns of a busy dispatcher, 15 of 33 plans in half a second were those of reviews, each
  // followed by the pass of the same turn.
  it('plans the waiting jobs once a turn', async () => {
    const timer = createManualTimer();
    const metrics = createMetrics();
    const network: EndpointNetwork = {
      open: () => ({
        start: () => Promise.resolve(Result.ok(OrderAnswers.ACCEPTED)),
        stop: () => Promise.resolve(Result.ok(OrderAnswers.ACCEPTED)),
        async renew() {
          await timer.sleep(10);
          const report = { clockMs: timer.nowMs(), bornMs: 1, running: [], ended: [] };
          return Result.ok({ answer: OrderAnswers.ACCEPTED, report });
        },
        close: ignore,
      }),
    };
    let submitted = 0;
    /** Jobs that arrive in the turn of each review. */
    let jobsInTurn = 0;
    const submitInTurn = () => {
      for (let index = 0; index < jobsInTurn; index += 1) {
        submitted += 1;
        void dispatcher.submit({ job: createJob(submitted), gateway: 'g', resubmissions: 0 });
      }
    };
    const dispatcher = createDispatcher({
      network,
      timer: {
        ...timer,
        onEvery: (everyMs, subscriber) =>
          timer.onEvery(everyMs, () => {
            subscriber();
            submitInTurn();
          }),
      },
      clock: createElapsedClock(timer),
      random: createRandom(1),
      logger,
      metrics,
      fence: () => 1,
      onFenced: ignore,
    });
    const capacity = { cores: 50_000, memoryMb: 1_000, accelerators: 0 };
    const place = { service: 's', dataCentre: 'd', isLeaving: false, labels: [], capacity };
    dispatcher.setEndpoints([{ id: 'e', address: 'e', ...place }]);
    await timer.advance(509);
    jobsInTurn = 2;
    const passesOfTurns: number[] = [];
    for (let turn = 0; turn < 5; turn += 1) {
      const before = metrics.counters()['placement-passes'] ?? 0;
      // The timer of the review and what follows in its turn.
      await timer.advance(11);
      passesOfTurns.push((metrics.counters()['placement-passes'] ?? 0) - before);
      await timer.advance(9);
    }
    dispatcher.close();
    expect(submitted).toEqual(5 * jobsInTurn);
    expect(passesOfTurns).toEqual([1, 1, 1, 1, 1]);
  });
});
