import { describe, it } from 'node:test';
import { expect } from 'earl';
import type { DepartingEndpoint } from '@celerybarrow/endpoints';
import { createReplicatedDocuments } from '@celerybarrow/leadership';
import type { Logger } from '@celerybarrow/telemetry';
import { createManualTimer } from '@celerybarrow/timer';
import { createDepartureSharing } from '../src/shareDepartures.js';

const CHECK_MS = 50;
/** Least interval between two documents of which the second one only drops endpoints. */
const REDUCTION_MS = 1_000;
const FIRST_CHECK_MS = 500;

function departureOf(id: string, ...jobs: string[]): DepartingEndpoint {
  const capacity = { cores: 1_000, memoryMb: 1, accelerators: 0 };
  const place = { service: 's', address: '127.0.0.1:80', dataCentre: 'd', isLeaving: true };
  return { entry: { id, ...place, labels: [], capacity }, jobs };
}

/** An instance that dispatches shard 0 of two shards. */
function createTestInstance(epoch: number) {
  const timer = createManualTimer();
  const ignore = () => undefined;
  const logger: Logger = { debug: ignore, info: ignore, warn: ignore, error: ignore };
  const documents = createReplicatedDocuments(timer);
  const state = { departures: [] as DepartingEndpoint[], inherited: [] as string[] };
  const dispatcher = {
    departures: () => state.departures,
    inherit(departures: readonly DepartingEndpoint[]) {
      state.inherited.push(...departures.map(({ entry }) => entry.id));
    },
  };
  const dispatchers = () => [{ shard: 0, epoch, dispatcher }];
  const sharing = createDepartureSharing({ documents, clock: timer, logger, dispatchers });
  sharing.subscribe(2);
  sharing.introduce(0, dispatcher);
  timer.onEvery(CHECK_MS, sharing.check);
  return { timer, documents, sharing, state, dispatcher };
}

describe('the departing endpoints of a shard', () => {
  it('are shared again only when an endpoint or a job is added, or an endpoint is empty', async () => {
    const { timer, sharing, state } = createTestInstance(3);
    const versionAfter = async (...departures: DepartingEndpoint[]) => {
      state.departures = departures;
      await timer.advance(CHECK_MS);
      return sharing.version(0);
    };
    await timer.advance(FIRST_CHECK_MS);
    expect(sharing.version(0)).toEqual(0);
    const first = await versionAfter(departureOf('a', 'j1', 'j2'));
    expect(await versionAfter(departureOf('a', 'j2'))).toEqual(first);
    expect(await versionAfter(departureOf('a', 'j3'))).toEqual(first + 1);
    expect(await versionAfter(departureOf('a', 'j3'), departureOf('b'))).toEqual(first + 2);
    expect(sharing.versionWithEndpoints(0)).toEqual(first + 2);
    // All endpoints of a starting fleet are shared as joined ones, and dropped a few at a time.
    expect(await versionAfter()).toEqual(first + 2);
    await timer.advance(REDUCTION_MS - 2 * CHECK_MS);
    expect(sharing.version(0)).toEqual(first + 2);
    await timer.advance(2 * CHECK_MS);
    expect(sharing.version(0)).toEqual(first + 3);
    expect(sharing.versionWithEndpoints(0)).toEqual(undefined);
  });

  // A dispatcher that has just started may receive the document of the earlier one after its start.
  it('of an earlier dispatcher are not replaced before they can have arrived', async () => {
    const { timer, documents, state, sharing } = createTestInstance(3);
    state.departures = [departureOf('own', 'j')];
    await timer.advance(FIRST_CHECK_MS - CHECK_MS);
    const text = JSON.stringify([departureOf('earlier', 'j')]);
    documents.offer('departures/0', { version: 65_536 * 2 + 5, text }, 'gateway');
    expect(state.inherited).toEqual(['earlier']);
    await timer.advance(2 * CHECK_MS);
    expect(sharing.version(0)).toEqual(65_536 * 3);
  });

  it('are passed to a dispatcher that begins, and travel with the heartbeats of the shard only', () => {
    const { documents, sharing, state, dispatcher } = createTestInstance(1);
    const text = JSON.stringify([departureOf('a', 'j'), { entry: 'malformed' }]);
    documents.offer('departures/1', { version: 1, text }, 'gateway');
    expect(state.inherited).toEqual([]);
    sharing.introduce(1, dispatcher);
    expect(state.inherited).toEqual(['a']);
    expect([documents.versions(0), documents.versions(1)]).toEqual([{}, { 'departures/1': 1 }]);
    expect(Object.keys(documents.announce({}, 0))).toEqual([]);
    expect(Object.keys(documents.announce({}, 1))).toEqual(['departures/1']);
  });
});
