import { afterEach, describe, it } from 'node:test';
import { expect } from 'earl';
import { Result } from 'true-myth';
import { createRandom } from '@celerybarrow/shared';
import { createElapsedClock, createManualTimer } from '@celerybarrow/timer';
import {
  TerminationProofs,
  OrderAnswers,
  type EndpointEntry,
  type EndpointNetwork,
  type OrphanedRunListing,
  type RunningTask,
} from '@celerybarrow/endpoints';
import { createMetrics, type LogContext, type Logger } from '@celerybarrow/telemetry';
import { JobStates, type LeasedJob } from '@celerybarrow/protocol';
import { createDispatcher, type Dispatcher } from '../src/index.js';
import { outcomeName } from '../src/describeOutcome.js';
import { recordLength } from '../src/jobLength.js';
import { createJobRecord } from '../src/jobRecord.js';
import { createJobSizeClassifier, JobSizes } from '../src/jobSizes.js';
import { createDuplicateRunDetector } from '../src/duplicateRunDetector.js';

interface LogRecord {
  readonly level: string;
  readonly sentence: string;
  readonly context: LogContext;
}

const opened: Dispatcher[] = [];

afterEach(() => {
  for (const dispatcher of opened.splice(0)) dispatcher.close();
});

function createRecordingLogger() {
  const lines: LogRecord[] = [];
  const at =
    (level: string) =>
    (sentence: string, context: LogContext = {}) => {
      lines.push({ level, sentence, context });
    };
  const logger: Logger = {
    debug: at('debug'),
    info: at('info'),
    warn: at('warn'),
    error: at('error'),
  };
  const find = (sentence: string) => lines.find((line) => line.sentence === sentence);
  return { lines, logger, find };
}

function job(id: string, change: Partial<LeasedJob> = {}): LeasedJob {
  const demand = { cores: 1_000, memoryMb: 64, accelerators: 0 };
  return {
    id,
    team: 't',
    service: 's',
    priority: 1,
    maxAttempts: 2,
    objectiveStretch: 1.6,
    objectiveAllowanceMs: 60,
    payload: '',
    steps: [{ tasks: 1, demand, estimateMs: 200, after: [] }],
    ageMs: 0,
    remainingMs: 1_500,
    ...change,
  };
}

function entry(id: string): EndpointEntry {
  const capacity = { cores: 1_000, memoryMb: 1_000, accelerators: 0 };
  const base = { service: 's', address: id, dataCentre: 'd', isLeaving: false, labels: [] };
  return { id, ...base, capacity };
}

/** Creates a dispatcher with endpoints whose tasks never end; tests may add runs to `running`. */
function createRunningDispatcher(endpoints: readonly string[], silent: readonly string[] = []) {
  const timer = createManualTimer();
  const metrics = createMetrics();
  const running = new Map<string, RunningTask[]>();
  const network: EndpointNetwork = {
    open: ({ id }) => ({
      async start({ task, run }) {
        await timer.sleep(1);
        running.set(id, [...(running.get(id) ?? []), { task, run, percent: 0 }]);
        return Result.ok(OrderAnswers.ACCEPTED);
      },
      async stop() {
        await timer.sleep(1);
        return Result.ok(OrderAnswers.ACCEPTED);
      },
      async renew({ waitMs }) {
        await timer.sleep(silent.includes(id) ? 1e6 : Math.max(1, waitMs));
        const clockMs = timer.nowMs() + 1_000;
        const report = { clockMs, bornMs: 1, running: running.get(id) ?? [], ended: [] };
        return Result.ok({ answer: OrderAnswers.ACCEPTED, report });
      },
      close: () => undefined,
    }),
  };
  const log = createRecordingLogger();
  const state = { fence: 1 };
  const dispatcher = createDispatcher({
    network,
    instance: 'g',
    timer,
    clock: createElapsedClock(timer),
    random: createRandom(1),
    logger: log.logger,
    metrics,
    fence: () => state.fence,
    onFenced: () => undefined,
  });
  opened.push(dispatcher);
  const submit = (submitted: LeasedJob, resubmissions = 0) => {
    void dispatcher.submit({ job: submitted, gateway: 'g', resubmissions });
  };
  const advance = async (ms: number) => {
    for (let passed = 0; passed < ms; passed += 50) {
      dispatcher.renewGatewayLease('g');
      await timer.advance(50);
    }
  };
  dispatcher.renewGatewayLease('g');
  dispatcher.setEndpoints(endpoints.map(entry));
  return { ...log, dispatcher, timer, metrics, running, state, submit, advance };
}

describe('the duplicate run detector', () => {
  function createDetector(isRunning: boolean) {
    const metrics = createMetrics();
    const { lines, logger } = createRecordingLogger();
    const origin = { arrivedMs: 0, criticalPathMs: 100, firstRun: 101, mayHaveRun: true };
    const record = createJobRecord(job('j'), 'g', origin, () => undefined);
    const [task] = record.tasks;
    if (task === undefined) throw new Error('the job has no task');
    if (isRunning) {
      task.endpoint = 'b';
      task.run = {
        task: task.ref,
        key: task.key,
        number: 101,
        demand: { cores: 1, memoryMb: 1, accelerators: 0 },
        sentMs: 0,
        state: 'running',
        percent: 0,
        percentAtMs: 0,
        seenMs: 0,
      };
    }
    const clock = createElapsedClock(createManualTimer());
    const detector = createDuplicateRunDetector({
      clock,
      logger,
      metrics,
      find: () => ({ record, task }),
    });
    const listing: OrphanedRunListing = {
      run: { task: task.ref, run: 1, firstSeenMs: 0, isLate: false, percent: 10 },
      inferredEnd: undefined,
      firstReportMs: 0,
    };
    return { detector, listing, lines, metrics };
  }

  it('logs and counts a listed run that was considered terminated, once', () => {
    const { detector, listing, lines, metrics } = createDetector(false);
    const inferredEnd = { run: 1, proof: TerminationProofs.SILENCE, atMs: 0 };
    detector.check('a', { ...listing, inferredEnd });
    detector.check('a', { ...listing, inferredEnd });
    expect(lines.map(({ level, sentence }) => [level, sentence])).toEqual([
      ['error', 'Endpoint lists a run that was considered terminated.'],
    ]);
    expect(lines[0]?.context['proof']).toEqual(TerminationProofs.SILENCE);
    expect(metrics.counters()).toEqual({ 'second-run/silence': 1 });
  });

  it('logs and counts a task that also runs elsewhere, once', () => {
    const { detector, listing, lines, metrics } = createDetector(true);
    detector.check('a', listing);
    detector.check('a', listing);
    expect(lines.map(({ level, sentence }) => [level, sentence])).toEqual([
      ['error', 'Task has two runs.'],
    ]);
    const { run, endpoint, otherRun, otherEndpoint } = lines[0]?.context ?? {};
    expect([run, endpoint, otherRun, otherEndpoint]).toEqual([1, 'a', 101, 'b']);
    expect(metrics.counters()).toEqual({ 'second-run/elsewhere': 1 });
  });

  it('ignores an orphaned run whose task has no other run', () => {
    const { detector, listing, lines, metrics } = createDetector(false);
    detector.check('a', listing);
    expect(lines).toEqual([]);
    expect(metrics.counters()).toEqual({});
  });
});

describe('the log of a new dispatcher', () => {
  it('contains when all endpoints have reported, and the number of orphaned runs', async () => {
    const { running, advance, find } = createRunningDispatcher(['a', 'b']);
    running.set('a', [{ task: { job: 'j', step: 0, index: 0 }, run: 1, percent: 0 }]);
    await advance(50);
    const { listed, foreign } = find('All endpoints have reported.')?.context ?? {};
    expect([listed, foreign]).toEqual([2, 1]);
  });

  it('names the endpoints that have not reported in time', async () => {
    const { advance, find } = createRunningDispatcher(['a', 'b'], ['b']);
    await advance(500);
    expect(find('All endpoints have reported.')).toEqual(undefined);
    expect(find('Endpoints have not reported.')?.context['names']).toEqual('b');
  });

  it('names the claimed runs of a job, and those that are being stopped', async () => {
    const { running, submit, advance, find } = createRunningDispatcher(['a', 'b']);
    const steps = [{ ...job('j').steps[0], tasks: 2 }] as LeasedJob['steps'];
    running.set('a', [{ task: { job: 'j', step: 0, index: 0 }, run: 1, percent: 0 }]);
    await advance(350);
    submit(job('j', { steps }), 1);
    await advance(100);
    const { claimed, missing, unclaimed } = find('Orphaned runs were reconciled.')?.context ?? {};
    expect([claimed, missing, unclaimed]).toEqual(['0/0@a stopping', 1, '']);
  });

  it('contains a job that is submitted for the first time before all endpoints have reported', async () => {
    const { submit, advance, find } = createRunningDispatcher(['a', 'b'], ['b']);
    await advance(50);
    submit(job('j'));
    await advance(50);
    const line = find('Job was submitted during reconciliation.');
    expect([line?.context['listed'], line?.context['unreported']]).toEqual([2, 1]);
  });

  it('contains no placement of a task whose orphaned run was claimed instead of a start', async () => {
    const { running, submit, advance, lines } = createRunningDispatcher(['a', 'b']);
    await advance(2_000);
    running.set('a', [{ task: { job: 'j', step: 0, index: 0 }, run: 1, percent: 0 }]);
    await advance(1_600);
    submit(job('j'));
    await advance(50);
    expect(running.get('b')).toEqual(undefined);
    const places = lines
      .filter(({ sentence }) => sentence === 'Tasks are placed.')
      .map(({ context }) => context['places']);
    expect(places).toEqual([]);
    const claim = lines.find(
      ({ sentence }) => sentence === 'Orphaned run is claimed instead of a new start.',
    );
    expect([claim?.context['endpoint'], claim?.context['run']]).toEqual(['a', 1]);
  });

  it('contains the run number in each placement after the first run of a task', async () => {
    const { submit, advance, lines } = createRunningDispatcher(['a']);
    await advance(50);
    submit(job('first'));
    await advance(50);
    submit(job('again'), 1);
    await advance(2_000);
    const places = lines
      .filter(({ sentence }) => sentence === 'Tasks are placed.')
      .map(({ context }) => context['places']);
    expect(places[0]).toEqual('0/0@a');
    expect(places.slice(1).every((place) => String(place).includes('#'))).toEqual(true);
  });
});

// Guards against two runs of one task whose lines do not tell which dispatcher knew what.
describe('the log of two dispatchers of one job', () => {
  it('contains what was known of a job and its gateway, at its first start under each token', async () => {
    const { dispatcher, submit, advance, state, timer, lines } = createRunningDispatcher([
      'a',
      'b',
    ]);
    await advance(400);
    await timer.advance(30);
    const steps = [{ ...job('j').steps[0], tasks: 4 }] as LeasedJob['steps'];
    submit(job('j', { steps, ageMs: 70, remainingMs: 30_000 }));
    state.fence = 2;
    await advance(50);
    const titles = ['Fencing token of the dispatcher has changed.', 'Tasks are placed.'];
    const [change, first] = lines.filter(({ sentence }) => titles.includes(sentence));
    expect([change?.sentence, first?.sentence]).toEqual(titles);
    const { gateway, resubmissions, ageMs, dispatcherAgeMs } = first?.context ?? {};
    expect([gateway, resubmissions, ageMs, dispatcherAgeMs]).toEqual(['g', 0, 70, 440]);
    const { fence, admittedFence } = first?.context ?? {};
    expect([fence, admittedFence]).toEqual([2, 1]);
    const { leaseRenewedAgoMs, admittedLeaseRenewedAgoMs } = first?.context ?? {};
    expect([leaseRenewedAgoMs, admittedLeaseRenewedAgoMs]).toEqual([10, 80]);
    const { leaseGrantedAgoMs, admittedLeaseGrantedAgoMs } = first?.context ?? {};
    expect([leaseGrantedAgoMs, admittedLeaseGrantedAgoMs]).toEqual([440, 430]);
    dispatcher.setEndpoints(['a', 'b', 'c'].map(entry));
    await advance(400);
    const later = lines.filter(({ sentence }) => sentence === titles[1]).slice(1);
    expect(later.some(({ context }) => 'fence' in context)).toEqual(false);
    expect(later.length > 0).toEqual(true);
    state.fence = 3;
    dispatcher.setEndpoints(['a', 'b', 'c', 'd'].map(entry));
    await advance(400);
    const last = lines.filter(({ sentence }) => sentence === titles[1]).at(-1);
    expect([last?.context['fence'], last?.context['admittedFence']]).toEqual([3, 1]);
  });

  it('contains and counts a change of the fencing token, with the jobs that run and those that wait', async () => {
    const { submit, advance, dispatcher, state, timer, lines, metrics } = createRunningDispatcher([
      'a',
    ]);
    await advance(400);
    submit(job('runs', { remainingMs: 30_000 }));
    await advance(50);
    void dispatcher.submit({
      job: job('waits', { remainingMs: 30_000 }),
      gateway: 'other',
      resubmissions: 1,
    });
    await timer.advance(100);
    expect(lines.some(({ sentence }) => sentence.startsWith('Fencing token'))).toEqual(false);
    state.fence = 5;
    await advance(400);
    const changes = lines.filter(({ sentence }) => sentence.startsWith('Fencing token'));
    expect(changes.length).toEqual(1);
    const { earlierFence, fence, jobsWithRuns, waitingJobs } = changes[0]?.context ?? {};
    expect([earlierFence, fence, jobsWithRuns, waitingJobs]).toEqual([1, 5, 1, 1]);
    expect(changes[0]?.context['waitingTasks']).toEqual(1);
    const { oldestWaitingMs, resubmittedJobs, jobsOfOtherGateways } = changes[0]?.context ?? {};
    expect([oldestWaitingMs, resubmittedJobs, jobsOfOtherGateways]).toEqual([100, 1, 1]);
    const counters = metrics.counters();
    expect(counters['fence-changes']).toEqual(1);
    expect(counters['fence-changes/open-jobs-with-runs']).toEqual(1);
    expect(counters['fence-changes/waiting-jobs']).toEqual(1);
  });
});

describe('the log of a job that was not served', () => {
  it('contains its estimate, the work ahead of it and the free capacity', async () => {
    const { submit, advance, lines, metrics } = createRunningDispatcher(['a']);
    await advance(400);
    submit(job('busy', { remainingMs: 30_000 }));
    await advance(100);
    submit(job('refused', { remainingMs: 100 }));
    await advance(200);
    const contextOf = (title: string) =>
      lines.find(({ sentence, context }) => sentence === title && context['job'] === 'refused')
        ?.context;
    const { state, coreMs, priority } = contextOf('Job has ended.') ?? {};
    const unserved = contextOf('Job was not served.');
    const { started, done, freeEndpoints, usableEndpoints } = unserved ?? {};
    expect([state, started, done, priority]).toEqual([JobStates.REFUSED, 0, 0, 1]);
    expect([coreMs, freeEndpoints, usableEndpoints]).toEqual([200, 0, 1]);
    expect(typeof unserved?.['expectedWaitMs']).toEqual('number');
    expect(typeof unserved?.['aheadCoreMs']).toEqual('number');
    expect(metrics.counters()['outcome-by-size/t/unknown/refused']).toEqual(1);
  });

  it('tells a job that is too long for its caller from one that was missed', async () => {
    const { running, submit, advance, timer, metrics, find } = createRunningDispatcher(['a']);
    await advance(400);
    submit(job('long', { remainingMs: 1_500 }));
    await advance(50);
    const startedMs = timer.nowMs();
    const task = { job: 'long', step: 0, index: 0 };
    for (let passed = 0; passed < 1_500; passed += 50) {
      const percent = Math.floor((timer.nowMs() - startedMs) / 30);
      running.set('a', [{ task, run: 1, percent }]);
      await advance(50);
    }
    const { state, allowedMs, longestTaskMs } = find('Job has ended.')?.context ?? {};
    expect([state, allowedMs]).toEqual([JobStates.EXPIRED, 1_500]);
    expect(Number(longestTaskMs) > 2_500).toEqual(true);
    expect(metrics.counters()['outcome-by-size/t/unknown/expired-too-long']).toEqual(1);
  });

  it('tells a job that was started too late as missed', () => {
    const origin = { arrivedMs: 0, criticalPathMs: 100, firstRun: 1, mayHaveRun: false };
    const record = createJobRecord(job('j'), 'g', origin, () => undefined);
    const expired = { state: JobStates.EXPIRED, reason: '' };
    expect(outcomeName(record, expired)).toEqual('expired-unknown');
    for (const task of record.tasks) recordLength(record, task, 1_400, 200);
    expect(outcomeName(record, expired)).toEqual('expired-missed');
    expect(outcomeName(record, { ...expired, isCancelled: true })).toEqual('expired');
  });

  it('contains the end of a run after its job was answered', async () => {
    const { running, submit, advance, lines } = createRunningDispatcher(['a']);
    await advance(400);
    submit(job('j', { remainingMs: 100 }));
    await advance(150);
    running.set('a', []);
    await advance(400);
    const indexOfLine = (sentence: string) => lines.findIndex((line) => line.sentence === sentence);
    const end = lines[indexOfLine('Run ended after its job was answered.')];
    expect(
      indexOfLine('Job has ended.') < indexOfLine('Run ended after its job was answered.'),
    ).toEqual(true);
    expect([end?.context['job'], end?.context['run']]).toEqual(['j', 1]);
  });
});

describe('the size of a job within its team', () => {
  it('is unknown until the team has submitted enough jobs, and then depends on the rank', () => {
    const classifier = createJobSizeClassifier();
    expect(classifier.classify('t', 1_000)).toEqual(JobSizes.UNKNOWN);
    for (let work = 1; work < 100; work += 1) classifier.classify('t', work);
    expect(classifier.classify('t', 95)).toEqual(JobSizes.LARGEST_TENTH);
    expect(classifier.classify('t', 80)).toEqual(JobSizes.NEXT_FIFTH);
    expect(classifier.classify('t', 10)).toEqual(JobSizes.USUAL);
    expect(classifier.classify('another', 10)).toEqual(JobSizes.UNKNOWN);
  });

  it('adapts when the typical work of the team changes', () => {
    const classifier = createJobSizeClassifier();
    for (let index = 0; index < 100; index += 1) classifier.classify('t', 10);
    expect(classifier.classify('t', 50)).toEqual(JobSizes.LARGEST_TENTH);
    for (let index = 0; index < 100; index += 1) classifier.classify('t', 100);
    expect(classifier.classify('t', 50)).toEqual(JobSizes.USUAL);
  });

  it('is unknown for teams beyond the number that the metrics can hold', () => {
    const classifier = createJobSizeClassifier();
    for (let team = 0; team < 100; team += 1) classifier.classify(`t${team}`, 1);
    for (let index = 0; index < 50; index += 1) classifier.classify('late', index);
    expect(classifier.classify('late', 100)).toEqual(JobSizes.UNKNOWN);
  });
});

describe('the number of waiting jobs', () => {
  // The counts of such a team were texts, and heartbeat replies with them were invalid.
  for (const team of ['constructor', '__proto__', 'toString']) {
    it(`is a number for a team with the name ${team}`, () => {
      const { dispatcher } = createRunningDispatcher([]);
      dispatcher.renewGatewayLease('a');
      void dispatcher.submit({ job: job('j1', { team }), gateway: 'a', resubmissions: 0 });
      expect(Object.entries(dispatcher.waiting())).toEqual([[team, 1]]);
    });
  }
});
