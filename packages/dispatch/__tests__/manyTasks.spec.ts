/** Callers that send jobs of thousands of tasks without a demand, which fit on every endpoint at once. */
import { afterEach, describe, it } from 'node:test';
import { expect } from 'earl';
import { Result } from 'true-myth';
import { createRandom } from '@celerybarrow/shared';
import { createElapsedClock, createManualTimer } from '@celerybarrow/timer';
import {
  OrderAnswers,
  RunEnds,
  type EndedTask,
  type EndpointNetwork,
} from '@celerybarrow/endpoints';
import { createMetrics, type Logger } from '@celerybarrow/telemetry';
import { JobStates, type JobOutcome } from '@celerybarrow/protocol';
import { createDispatcher, type Dispatcher } from '../src/index.js';

const ENDPOINTS = 4;
const ANSWER_MS = 5;
const opened: Dispatcher[] = [];

afterEach(() => {
  for (const dispatcher of opened.splice(0)) dispatcher.close();
});

async function openDispatcher() {
  const timer = createManualTimer();
  const ignore = () => undefined;
  const logger: Logger = { debug: ignore, info: ignore, warn: ignore, error: ignore };
  const seen = { starts: new Map<string, number>(), mostInFlight: 0 };
  const network: EndpointNetwork = {
    open() {
      const ended: EndedTask[] = [];
      let inFlight = 0;
      return {
        async start({ task, run }) {
          inFlight += 1;
          seen.mostInFlight = Math.max(seen.mostInFlight, inFlight);
          await timer.sleep(ANSWER_MS);
          inFlight -= 1;
          seen.starts.set(task.job, (seen.starts.get(task.job) ?? 0) + 1);
          ended.push({ number: ended.length + 1, task, run, end: RunEnds.DONE });
          return Result.ok(OrderAnswers.ACCEPTED);
        },
        stop: () => Promise.resolve(Result.ok(OrderAnswers.ACCEPTED)),
        async renew({ endsSeen = 0 }) {
          await timer.sleep(ANSWER_MS);
          const report = { clockMs: timer.nowMs(), bornMs: 1, running: [], ended };
          return Result.ok({
            answer: OrderAnswers.ACCEPTED,
            report: { ...report, ended: ended.slice(endsSeen) },
          });
        },
        close: ignore,
      };
    },
  };
  const dispatcher = createDispatcher({
    network,
    timer,
    clock: createElapsedClock(timer),
    random: createRandom(1),
    logger,
    metrics: createMetrics(),
    fence: () => 1,
    onFenced: ignore,
  });
  opened.push(dispatcher);
  const capacity = { cores: 32_000, memoryMb: 1_000, accelerators: 0 };
  const base = { service: 's', dataCentre: 'd', isLeaving: false, labels: [], capacity };
  const ids = Array.from({ length: ENDPOINTS }, (_none, index) => `e${index}`);
  dispatcher.setEndpoints(ids.map((id) => ({ id, address: id, ...base })));
  const outcomes = new Map<string, JobOutcome>();
  const submit = (id: string, tasks: number) => {
    const demand = { cores: 0, memoryMb: 0, accelerators: 0 };
    const job = {
      id,
      team: 't',
      service: 's',
      priority: 1,
      maxAttempts: 1,
      objectiveStretch: 1.6,
      objectiveAllowanceMs: 60,
      payload: '',
      steps: [{ tasks, demand, estimateMs: 1, after: [] }],
      ageMs: 0,
      remainingMs: 20_000,
    };
    void dispatcher
      .submit({ job, gateway: 'g', resubmissions: 0 })
      .then((outcome) => outcomes.set(id, outcome));
  };
  const advance = async (ms: number) => {
    for (let passed = 0; passed < ms; passed += 50) {
      dispatcher.renewGatewayLease('g');
      await timer.advance(50);
    }
  };
  await advance(50);
  return { seen, outcomes, submit, advance };
}

describe('a job of very many tasks', () => {
  // Guards against thousands of open start orders, which wait for four connections and time out.
  it('has few start orders open at each endpoint, and completes', async () => {
    const { seen, outcomes, submit, advance } = await openDispatcher();
    submit('many', 2_000);
    await advance(2_000);
    expect(outcomes.get('many')?.state).toEqual(JobStates.COMPLETED);
    expect(seen.starts.get('many')).toEqual(2_000);
    expect(seen.mostInFlight <= 32).toEqual(true);
  });

  // Guards against memory for the tasks of such jobs that grows with the number of their callers.
  it('is refused while too many tasks are open, and then nothing of it runs', async () => {
    const { seen, outcomes, submit, advance } = await openDispatcher();
    for (let index = 0; index < 6; index += 1) submit(`job${index}`, 10_000);
    await advance(50);
    const refused = [...outcomes].filter(([, { state }]) => state === JobStates.REFUSED);
    expect(refused.map(([id]) => id)).toEqual(['job4', 'job5']);
    expect(refused.every(([, { retryAfterMs = 0 }]) => retryAfterMs > 0)).toEqual(true);
    await advance(500);
    expect(seen.starts.has('job4')).toEqual(false);
  });
});
