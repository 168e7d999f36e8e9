import { afterEach, describe, it } from 'node:test';
import { expect } from 'earl';
import { Result } from 'true-myth';
import { createElapsedClock, createManualTimer } from '@celerybarrow/timer';
import {
  createEndpointController,
  createProbeBudget,
  OrderAnswers,
  TerminationProofs,
  RunEnds,
  type TerminationProof,
  type OrphanedRunListing,
  type Run,
  type RunEnd,
  type EndpointController,
  type EndpointEntry,
} from '../src/index.js';
import { createFakeEndpoint } from './fakeEndpoint.js';

const demand = { cores: 14_000, memoryMb: 64, accelerators: 0 };
const task = { job: 'a', step: 0, index: 0 };
const order = { task, run: 1, fence: 1 };
/** The monotonic and the elapsed clock start at different times, as on a real machine. */
const MONOTONIC_START_MS = 100_000;
const openControllers: EndpointController[] = [];

afterEach(() => {
  for (const controller of openControllers.splice(0)) controller.close();
});

const entry: EndpointEntry = {
  id: 'i-1',
  service: 's',
  address: '127.0.0.1:1',
  dataCentre: 'd',
  isLeaving: false,
  capacity: { cores: 32_000, memoryMb: 1_000, accelerators: 0 },
  labels: [],
};

async function openController(prepare?: (endpoint: ReturnType<typeof createFakeEndpoint>) => void) {
  const timer = createManualTimer();
  /** How far the local wall clock was set forward. */
  const wallStep = { ms: 0 };
  const endpoint = createFakeEndpoint(timer);
  prepare?.(endpoint);
  const dispatcher = { fence: 1 };
  const ends: { run: Run; end: RunEnd; atMs: number }[] = [];
  const logs: string[] = [];
  const proofs: TerminationProof[] = [];
  const listings: OrphanedRunListing[] = [];
  const controller = createEndpointController({
    entry,
    endpoint,
    fence: () => dispatcher.fence,
    timer: { ...timer, nowMs: () => timer.nowMs() + MONOTONIC_START_MS },
    clock: createElapsedClock({ ...timer, wallMs: () => timer.wallMs() + wallStep.ms }),
    probes: createProbeBudget(timer),
    events: {
      onEnd: (run, end) => ends.push({ run, end, atMs: timer.nowMs() }),
      onStartSettled: () => undefined,
      onFenced: () => undefined,
      onChange: () => undefined,
      onReport: () => undefined,
      onLog: (message) => logs.push(message),
      onInferredEnd: (_run, proof) => proofs.push(proof),
      onOrphanedRun: (listing) => listings.push(listing),
      onPossibleRestart: () => undefined,
    },
  });
  openControllers.push(controller);
  await timer.advance(20);
  return { timer, endpoint, controller, ends, logs, proofs, listings, dispatcher, wallStep };
}

function startRun(controller: EndpointController, number = 1): Run {
  return controller.start({ task, number, demand, payload: '' });
}

describe('the endpoint controller', () => {
  it('reports the end of a run that it started', async () => {
    const { timer, endpoint, controller, ends } = await openController();
    const run = startRun(controller);
    await timer.advance(50);
    endpoint.end(order, RunEnds.DONE);
    await timer.advance(20);
    expect(ends.map(({ end }) => end)).toEqual([RunEnds.DONE]);
    expect(ends[0]?.run).toEqual(run);
  });

  it('reserves capacity for a run until the end of the run is certain', async () => {
    const { timer, endpoint, controller } = await openController();
    startRun(controller);
    expect(controller.room().cores).toEqual(18_000);
    await timer.advance(50);
    endpoint.end(order, RunEnds.DONE);
    await timer.advance(20);
    expect(controller.room().cores).toEqual(32_000);
  });

  it('ends a run with an unacknowledged start only after a stop was answered', async () => {
    const { timer, endpoint, controller, ends } = await openController(
      (fake) => (fake.areStartsLost = true),
    );
    startRun(controller);
    await timer.advance(90);
    expect(ends).toEqual([]);
    await timer.advance(60);
    expect(endpoint.stops.length).toEqual(1);
    expect(ends.map(({ end }) => end)).toEqual([RunEnds.NOT_STARTED]);
    endpoint.carryOut(order);
    expect(endpoint.running()).toEqual([]);
  });

  it('starts no further task after an unacknowledged start until the endpoint reports again', async () => {
    const { timer, endpoint, controller } = await openController();
    expect(controller.isUsable()).toEqual(true);
    endpoint.isUnresponsive = true;
    startRun(controller);
    await timer.advance(110);
    expect(controller.isUsable()).toEqual(false);
    endpoint.isUnresponsive = false;
    await timer.advance(200);
    expect(controller.isUsable()).toEqual(true);
  });

  // Guards against logging a replaced address at every poll, which wrote ten lines a second for
  // each address until the directory entry was removed.
  it('logs once that another endpoint has taken over the address', async () => {
    const { timer, endpoint, logs } = await openController();
    endpoint.isReplaced = true;
    await timer.advance(4_000);
    expect(
      logs.filter((message) => message === 'Endpoint was restarted or replaced.').length,
    ).toEqual(1);
  });

  it('stops a run that started although its start order got no answer', async () => {
    const { timer, endpoint, controller, ends } = await openController(
      (fake) => (fake.areStartsLost = true),
    );
    startRun(controller);
    endpoint.carryOut(order);
    await timer.advance(500);
    expect(ends.length <= 1).toEqual(true);
    const isKnown = [...controller.runs()].length === 1 || ends[0]?.end === RunEnds.STOPPED;
    expect(isKnown).toEqual(true);
  });

  it('does not lapse the runs of an unresponsive endpoint before their lease has certainly ended', async () => {
    const { timer, endpoint, controller, ends } = await openController();
    startRun(controller);
    await timer.advance(300);
    const lastLease = () =>
      Math.max(...endpoint.renewals.map((renewal) => renewal.leaseEndMs ?? 0)) - 5_000;
    endpoint.isUnresponsive = true;
    await timer.advance(3_000);
    expect(ends.map(({ end }) => end)).toEqual([RunEnds.LAPSED]);
    expect((ends[0]?.atMs ?? 0) > lastLease()).toEqual(true);
  });

  it('does not extend leases while the endpoint does not answer', async () => {
    const { timer, endpoint, controller } = await openController();
    startRun(controller);
    await timer.advance(300);
    endpoint.isUnresponsive = true;
    await timer.advance(600);
    const before = endpoint.renewals.length;
    await timer.advance(600);
    const later = endpoint.renewals.slice(before);
    expect(later.length > 0).toEqual(true);
    expect(later.every((renewal) => renewal.leaseEndMs === undefined)).toEqual(true);
  });

  it('lets a job claim an orphaned run and renews its lease', async () => {
    const { timer, endpoint, controller, ends } = await openController((fake) => {
      fake.carryOut(order);
    });
    const claimed = controller.claim(task, demand);
    expect(typeof claimed).toEqual('object');
    await timer.advance(400);
    expect(endpoint.stops).toEqual([]);
    expect(endpoint.renewals.some((renewal) => renewal.leaseEndMs !== undefined)).toEqual(true);
    endpoint.end(order, RunEnds.DONE);
    await timer.advance(20);
    expect(ends.map(({ end }) => end)).toEqual([RunEnds.DONE]);
  });

  it('does not lapse a claimed run as soon as the endpoint stops answering', async () => {
    const { timer, endpoint, controller, ends } = await openController((fake) => {
      fake.carryOut(order);
    });
    controller.claim(task, demand);
    endpoint.isUnresponsive = true;
    await timer.advance(500);
    expect(ends).toEqual([]);
  });

  it('is empty once the lease of an orphaned run on an unresponsive endpoint has ended', async () => {
    const { timer, endpoint, controller } = await openController((fake) => {
      fake.carryOut(order);
    });
    endpoint.isUnresponsive = true;
    await timer.advance(900);
    expect(controller.isEmpty()).toEqual(false);
    await timer.advance(500);
    expect(controller.isEmpty()).toEqual(true);
  });

  it('stops unclaimed runs and is not usable before they have ended', async () => {
    const { timer, endpoint, controller } = await openController((fake) => {
      fake.carryOut(order);
    });
    expect(controller.isUsable()).toEqual(false);
    await timer.advance(400);
    expect(endpoint.stops.length > 0).toEqual(true);
    expect(endpoint.running()).toEqual([]);
    await timer.advance(100);
    expect(controller.isUsable()).toEqual(true);
  });

  it('ends a run of an earlier incarnation of the endpoint once', async () => {
    const { timer, endpoint, controller, ends } = await openController();
    startRun(controller);
    await timer.advance(50);
    endpoint.end(order, RunEnds.STOPPED);
    endpoint.bornMs = 2;
    await timer.advance(400);
    expect(ends.length).toEqual(1);
  });

  it('reports the proof of an end that the endpoint did not list', async () => {
    const { timer, endpoint, controller, proofs } = await openController(
      (fake) => (fake.areStartsLost = true),
    );
    startRun(controller);
    await timer.advance(150);
    expect(proofs).toEqual([TerminationProofs.STOP_ANSWERED]);
    endpoint.areStartsLost = false;
    controller.start({ task: { ...task, index: 1 }, number: 1, demand, payload: '' });
    await timer.advance(50);
    endpoint.restart();
    await timer.advance(400);
    expect(proofs).toEqual([TerminationProofs.STOP_ANSWERED, TerminationProofs.UNLISTED]);
  });

  it('logs an unanswered stop once', async () => {
    const { timer, endpoint, controller, logs } = await openController();
    const run = startRun(controller);
    await timer.advance(50);
    endpoint.areStopsLost = true;
    controller.stop(run);
    await timer.advance(600);
    expect(logs).toEqual(['Stop got no answer.']);
  });

  it('reports no inferred end when the endpoint listed the end', async () => {
    const { timer, endpoint, controller, proofs } = await openController();
    startRun(controller);
    await timer.advance(50);
    endpoint.end(order, RunEnds.DONE);
    await timer.advance(20);
    expect(proofs).toEqual([]);
  });

  it('reports a listed run whose end it had inferred, with the proof', async () => {
    const { timer, endpoint, controller, proofs, listings } = await openController();
    startRun(controller);
    await timer.advance(300);
    endpoint.isUnresponsive = true;
    await timer.advance(3_000);
    expect(proofs).toEqual([TerminationProofs.SILENCE]);
    endpoint.isUnresponsive = false;
    await timer.advance(300);
    expect(listings[0]?.run.run).toEqual(1);
    expect(listings[0]?.inferredEnd?.proof).toEqual(TerminationProofs.SILENCE);
  });

  it('reports a run of an earlier dispatcher without an inferred end', async () => {
    const { listings } = await openController((fake) => {
      fake.carryOut(order);
    });
    expect(listings.length > 0).toEqual(true);
    expect(listings[0]?.inferredEnd).toEqual(undefined);
  });

  it('pauses between polls of an endpoint with unclaimed runs', async () => {
    const { timer, endpoint } = await openController((fake) => {
      fake.carryOut(order);
    });
    const before = endpoint.renewals.length;
    await timer.advance(180);
    expect(endpoint.renewals.length - before <= 10).toEqual(true);
  });

  it('does not infer the end of a run when the local wall clock is set forward', async () => {
    const { timer, endpoint, controller, ends, wallStep } = await openController();
    startRun(controller);
    await timer.advance(400);
    wallStep.ms = 2_000;
    endpoint.isUnresponsive = true;
    await timer.advance(300);
    expect(ends).toEqual([]);
  });

  it('is not empty before the first report when the local wall clock is set forward', async () => {
    const { timer, endpoint, controller, wallStep } = await openController(
      (fake) => (fake.isUnresponsive = true),
    );
    endpoint.carryOut(order);
    expect(controller.isEmpty()).toEqual(false);
    wallStep.ms = 2_000;
    await timer.advance(20);
    expect(controller.isEmpty()).toEqual(false);
  });

  it('logs whether the stop of an unclaimed run was answered', async () => {
    const { timer, logs } = await openController((fake) => {
      fake.carryOut(order);
    });
    await timer.advance(400);
    expect(logs).toEqual(['Unclaimed run is stopped.', 'Stop of an unclaimed run has ended.']);
  });

  it('does not infer the end of a run that began after a restart of the endpoint', async () => {
    const { timer, endpoint, controller, ends } = await openController();
    endpoint.bornMs = 2;
    startRun(controller);
    await timer.advance(400);
    expect(endpoint.running().length).toEqual(1);
    expect(ends).toEqual([]);
    endpoint.end(order, RunEnds.DONE);
    await timer.advance(20);
    expect(ends.map(({ end }) => end)).toEqual([RunEnds.DONE]);
  });

  it('continues with an endpoint that restarted after its wall clock was set back', async () => {
    const { timer, endpoint, controller, ends } = await openController(
      (fake) => (fake.bornMs = 5_000),
    );
    startRun(controller);
    await timer.advance(50);
    endpoint.restart();
    endpoint.bornMs = 3_000;
    await timer.advance(400);
    expect(ends.map(({ end }) => end)).toEqual([RunEnds.LAPSED]);
    startRun(controller, 2);
    await timer.advance(50);
    endpoint.end({ ...order, run: 2 }, RunEnds.DONE);
    await timer.advance(20);
    expect(ends.map(({ end }) => end)).toEqual([RunEnds.LAPSED, RunEnds.DONE]);
  });

  it('does not infer the end of a run whose start may still reach the restarted endpoint', async () => {
    const { timer, endpoint, controller, ends } = await openController(
      (fake) => (fake.areStartsLost = true),
    );
    startRun(controller);
    await timer.advance(50);
    endpoint.bornMs = 2;
    controller.refresh();
    await timer.advance(20);
    endpoint.isUnresponsive = true;
    await timer.advance(3_000);
    expect(ends).toEqual([]);
    endpoint.isUnresponsive = false;
    await timer.advance(400);
    expect(ends.map(({ end }) => end)).toEqual([RunEnds.NOT_STARTED]);
  });

  // The endpoint may check an unacknowledged start against a lease that it received after the start
  // was sent.
  it('does not infer the end of a run whose start may be carried out after its lease', async () => {
    const { timer, endpoint, controller, ends } = await openController((fake) => {
      fake.areStartsLost = true;
      fake.areStopsLost = true;
    });
    startRun(controller);
    await timer.advance(1_500);
    expect(ends).toEqual([]);
    expect(controller.isUsable()).toEqual(false);
    endpoint.areStopsLost = false;
    await timer.advance(300);
    expect(ends.map(({ end }) => end)).toEqual([RunEnds.NOT_STARTED]);
    expect(controller.isUsable()).toEqual(true);
  });

  it('renews no lease under which an abandoned start could begin a run', async () => {
    const { timer, endpoint, controller, ends } = await openController(
      (fake) => (fake.areStartsLost = true),
    );
    endpoint.areStopsLost = true;
    endpoint.isUnresponsive = true;
    startRun(controller);
    controller.update({ ...entry, isLeaving: true });
    await timer.advance(2_000);
    expect(ends.map(({ end }) => end)).toEqual([RunEnds.LAPSED]);
    controller.update(entry);
    endpoint.isUnresponsive = false;
    const before = endpoint.renewals.length;
    await timer.advance(1_000);
    const later = endpoint.renewals.slice(before);
    expect(later.length > 0 && later.length < 30).toEqual(true);
    expect(later.every((renewal) => renewal.leaseEndMs === undefined)).toEqual(true);
    expect(controller.isUsable()).toEqual(false);
    endpoint.areStopsLost = false;
    await timer.advance(400);
    expect(controller.isUsable()).toEqual(true);
  });

  // A restarted endpoint has forgotten the stop and would carry out the start.
  it('soon detects that an endpoint has forgotten the stop of an unacknowledged start', async () => {
    const { timer, endpoint, controller, ends, logs } = await openController((fake) => {
      fake.areStartsLost = true;
    });
    startRun(controller);
    await timer.advance(1_000);
    expect(ends.map(({ end }) => end)).toEqual([RunEnds.NOT_STARTED]);
    const before = endpoint.stops.length;
    endpoint.restart();
    await timer.advance(350);
    expect(logs).toInclude('Endpoint was restarted or replaced.');
    expect(endpoint.stops.length > before).toEqual(true);
    endpoint.carryOut(order);
    expect(endpoint.running()).toEqual([]);
  });

  // Guards against seeds 8433 and 3051 of concurrentRuns.spec.ts: the run counted as ended with its
  // lease, its task was started elsewhere, and the next incarnation carried out the start.
  it('does not end a run with an unacknowledged start while the endpoint is silent, for 12 s', async () => {
    const { timer, endpoint, controller, ends } = await openController();
    const confirmed = controller.start({
      task: { ...task, index: 1 },
      number: 1,
      demand,
      payload: '',
    });
    await timer.advance(300);
    endpoint.isUnresponsive = true;
    startRun(controller);
    await timer.advance(11_900);
    expect(ends.map(({ run, end }) => [run, end])).toEqual([[confirmed, RunEnds.LAPSED]]);
    await timer.advance(1_000);
    expect(ends.length).toEqual(2);
  });

  it('ends a run with an unacknowledged start once the endpoint has restarted and was sent the stop', async () => {
    const { timer, endpoint, controller, ends } = await openController();
    endpoint.isDown = true;
    startRun(controller);
    await timer.advance(2_000);
    expect(ends).toEqual([]);
    endpoint.restart();
    endpoint.isDown = false;
    await timer.advance(200);
    expect(ends.map(({ end }) => end)).toEqual([RunEnds.NOT_STARTED]);
    endpoint.carryOut(order);
    expect(endpoint.running()).toEqual([]);
  });

  // Guards against seed 3809 of concurrentRuns.spec.ts: the start was carried out 32 ms after the
  // restart, 20 ms before the first call that reached the new incarnation.
  for (const downMs of [300, 315, 330, 345, 360]) {
    it(`stops an unacknowledged start soon after a restart that took ${downMs} ms`, async () => {
      const { timer, endpoint, controller } = await openController((fake) => {
        fake.areStartsLost = true;
      });
      startRun(controller);
      await timer.advance(1_000);
      endpoint.isDown = true;
      await timer.advance(downMs);
      endpoint.restart();
      endpoint.isDown = false;
      await timer.advance(25);
      endpoint.carryOut(order);
      expect(endpoint.running()).toEqual([]);
    });
  }

  // A probe of each endpoint that is down would cost the processor time of the dispatcher.
  it('sends no stops to an endpoint that is down without unacknowledged starts', async () => {
    const { timer, endpoint } = await openController();
    endpoint.isDown = true;
    await timer.advance(1_000);
    expect(endpoint.stops).toEqual([]);
    expect(endpoint.renewals.length < 30).toEqual(true);
  });

  it('polls an idle endpoint rarely again once no start can arrive late', async () => {
    const { timer, endpoint, controller } = await openController((fake) => {
      fake.areStartsLost = true;
    });
    startRun(controller);
    await timer.advance(13_000);
    const before = endpoint.renewals.length;
    await timer.advance(3_000);
    expect(endpoint.renewals.length - before <= 3).toEqual(true);
  });

  it('does not treat a start as too old when the local wall clock is set forward', async () => {
    const { timer, endpoint, controller, ends, wallStep } = await openController((fake) => {
      fake.areStartsLost = true;
      fake.areStopsLost = true;
    });
    startRun(controller);
    await timer.advance(500);
    wallStep.ms = 12_000;
    await timer.advance(500);
    expect(ends).toEqual([]);
    endpoint.carryOut(order);
    expect(endpoint.running().length).toEqual(1);
  });

  it('repeats the stop of an unanswered start after a restart of the endpoint', async () => {
    const { timer, endpoint, controller, ends } = await openController(
      (fake) => (fake.areStartsLost = true),
    );
    controller.stop(startRun(controller));
    await timer.advance(300);
    expect(ends.map(({ end }) => end)).toEqual([RunEnds.NOT_STARTED]);
    endpoint.restart();
    controller.refresh();
    await timer.advance(300);
    endpoint.carryOut(order);
    expect(endpoint.running()).toEqual([]);
  });

  // The endpoint forgets the fencing token, but the other dispatcher still dispatches.
  it('is not usable after a restart of an endpoint that has obeyed another dispatcher', async () => {
    const { timer, endpoint, controller, dispatcher } = await openController();
    endpoint.fence = 2;
    controller.refresh();
    await timer.advance(20);
    expect(controller.isUsable()).toEqual(false);
    endpoint.fence = 0;
    endpoint.bornMs = 2;
    controller.update({ ...entry, bornMs: 2 });
    controller.refresh();
    await timer.advance(300);
    expect(controller.isUsable()).toEqual(false);
    dispatcher.fence = 3;
    await timer.advance(300);
    expect(controller.isUsable()).toEqual(true);
  });
});

// Guards against starts on an endpoint that has restarted as another kind under its id.
describe('an endpoint that restarts with other labels or another capacity', () => {
  it('is not usable from the first report of the restart until its new entry is known', async () => {
    const { timer, endpoint, controller, logs } = await openController();
    controller.update({ ...entry, bornMs: 1 });
    expect(controller.isUsable()).toEqual(true);
    endpoint.restart();
    controller.refresh();
    await timer.advance(20);
    expect(controller.isUsable()).toEqual(false);
    controller.update({ ...entry, bornMs: 1, labels: ['a'] });
    await timer.advance(2_000);
    expect(controller.isUsable()).toEqual(false);
    controller.update({ ...entry, bornMs: 2, labels: ['b'] });
    expect(controller.isUsable()).toEqual(true);
    expect(logs.filter((line) => line.startsWith('Endpoint entry'))).toEqual([
      'Endpoint entry is of another incarnation.',
      'Endpoint entry is of the current incarnation.',
    ]);
  });

  it('is not usable from its new entry until a report of the restart, which it is asked for', async () => {
    const { timer, endpoint, controller } = await openController();
    controller.update({ ...entry, bornMs: 1 });
    endpoint.restart();
    controller.update({ ...entry, bornMs: 2 });
    expect(controller.isUsable()).toEqual(false);
    await timer.advance(20);
    expect(controller.isUsable()).toEqual(true);
  });

  it('is usable by a new dispatcher only with the entry of the incarnation that answers', async () => {
    const { timer, controller } = await openController((fake) => (fake.bornMs = 7));
    controller.update({ ...entry, bornMs: 6 });
    await timer.advance(100);
    expect(controller.isUsable()).toEqual(false);
    controller.update({ ...entry, bornMs: 7 });
    expect(controller.isUsable()).toEqual(true);
  });

  it('is not usable after it closed a connection until a later report', async () => {
    const { timer, controller } = await openController();
    await timer.advance(100);
    controller.handleConnectionLost();
    expect(controller.isUsable()).toEqual(false);
    await timer.advance(20);
    expect(controller.isUsable()).toEqual(true);
  });

  // An entry without a start time may describe the earlier incarnation.
  it('is usable with its next entry where entries tell no start time', async () => {
    const { timer, endpoint, controller } = await openController();
    endpoint.restart();
    controller.refresh();
    await timer.advance(20);
    expect(controller.isUsable()).toEqual(false);
    controller.update({ ...entry, labels: ['b'] });
    expect(controller.isUsable()).toEqual(true);
  });

  it('is usable some time after a restart where entries tell no start time and stay equal', async () => {
    const { timer, endpoint, controller } = await openController();
    endpoint.restart();
    controller.refresh();
    await timer.advance(4_900);
    expect(controller.isUsable()).toEqual(false);
    await timer.advance(1_700);
    expect(controller.isUsable()).toEqual(true);
  });

  // Guards against orders that reach an incarnation of which no report has arrived.
  it('gets start orders that name the incarnation', async () => {
    const { controller, endpoint } = await openController();
    startRun(controller);
    expect(endpoint.starts.map(({ bornMs }) => bornMs)).toEqual([1]);
  });

  it('gets no start after one could not be sent to the incarnation, until a later report', async () => {
    const { timer, controller, endpoint, ends } = await openController();
    endpoint.start = () => Promise.resolve(Result.ok(OrderAnswers.NOT_SENT));
    startRun(controller);
    await timer.advance(0);
    expect(ends.map(({ end }) => end)).toEqual([RunEnds.NOT_STARTED]);
    expect(controller.isUsable()).toEqual(false);
    await timer.advance(200);
    expect(controller.isUsable()).toEqual(true);
  });
});
