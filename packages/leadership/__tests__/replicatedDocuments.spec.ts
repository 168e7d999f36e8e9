import { describe, it } from 'node:test';
import { expect } from 'earl';
import { createManualTimer } from '@celerybarrow/timer';
import { createReplicatedDocuments, type ReplicatedDocuments } from '../src/replicatedDocuments.js';

const DISPATCHERS = 11;
const HEARTBEAT_MS = 220;
const LIST = 'endpoints';
const LIST_TEXT = 'x'.repeat(80_000);

/** A gateway that exchanges heartbeats with the dispatchers of eleven shards. */
function startGateway() {
  const timer = createManualTimer();
  const gateway = createReplicatedDocuments(timer);
  const received: string[] = [];
  gateway.onDocument(LIST, ({ text }) => received.push(text) > 0);
  const dispatchers = Array.from({ length: DISPATCHERS }, () => createReplicatedDocuments(timer));
  let sentCharacters = 0;

  function fetch(from: ReplicatedDocuments): void {
    const names = gateway.toFetch(from.announce(gateway.versions()));
    const fetched = from.select(names);
    for (const [name, document] of Object.entries(fetched)) {
      sentCharacters += document.text.length;
      gateway.offer(name, document, 'dispatcher');
    }
    gateway.endFetch(names, true);
  }

  for (const dispatcher of dispatchers) {
    timer.onEvery(HEARTBEAT_MS, () => {
      fetch(dispatcher);
    });
  }
  return { timer, gateway, dispatchers, received, sentCharacters: () => sentCharacters };
}

describe('a new list of endpoints in a large fleet', () => {
  // All dispatchers sent every gateway the whole list: 97 idle instances sent each other 280 MB in
  // half a minute.
  it('reaches a gateway once, whatever the number of dispatchers that have it', async () => {
    const fleet = startGateway();
    fleet.dispatchers.forEach((dispatcher, index) => {
      dispatcher.offer(LIST, { version: 100 + index, text: LIST_TEXT }, 'store');
    });
    await fleet.timer.advance(5_000);
    expect(fleet.received).toEqual([LIST_TEXT]);
    expect(fleet.sentCharacters()).toEqual(LIST_TEXT.length);
    expect(fleet.gateway.versions()[LIST]).toEqual(100 + DISPATCHERS - 1);
  });

  it('does not fill the link of a gateway when the list changes all the time', async () => {
    const fleet = startGateway();
    for (let version = 1; version <= 100; version += 1) {
      for (const dispatcher of fleet.dispatchers)
        dispatcher.offer(LIST, { version, text: `${version}${LIST_TEXT}` }, 'store');
      await fleet.timer.advance(100);
    }
    const charactersPerS = fleet.sentCharacters() / 10;
    expect(charactersPerS < 120_000).toEqual(true);
    await fleet.timer.advance(2_000);
    expect(fleet.gateway.versions()[LIST]).toEqual(100);
  });

  it('is fetched from another dispatcher at once after a failed fetch', () => {
    const { gateway } = startGateway();
    const announced = { [LIST]: { version: 1, digest: 'a' } };
    expect(gateway.toFetch(announced)).toEqual([LIST]);
    expect(gateway.toFetch(announced)).toEqual([]);
    gateway.endFetch([LIST], false);
    expect(gateway.toFetch(announced)).toEqual([LIST]);
  });

  it('is not fetched by an instance that reads it from the store itself', () => {
    const documents = createReplicatedDocuments(createManualTimer());
    documents.onDocument(
      LIST,
      () => true,
      () => false,
    );
    expect(documents.toFetch({ [LIST]: { version: 1, digest: 'a' } })).toEqual([]);
    expect(documents.missing({ [LIST]: 1 })).toEqual([]);
  });
});
