import { describe, it } from 'node:test';
import { expect } from 'earl';
import type { SharedPair } from '@celerybarrow/interference';
import { createReplicatedDocuments } from '@celerybarrow/leadership';
import { createManualTimer } from '@celerybarrow/timer';
import { createPairSharing, PAIRS_DOCUMENT } from '../src/sharePairs.js';

const pair: SharedPair = { target: 'a', neighbour: 'b', factor: 1.6, weight: 100, ageMs: 1_000 };

function createTestInstance(pairs: readonly SharedPair[]) {
  const timer = createManualTimer();
  const documents = createReplicatedDocuments(timer);
  const imported: SharedPair[][] = [];
  const ignore = () => undefined;
  const dispatcher = {
    exportPairs: () => [...pairs],
    importPairs: (others: readonly SharedPair[]) => {
      imported.push([...others]);
    },
  };
  const logger = { debug: ignore, info: ignore, warn: ignore, error: ignore };
  const dispatchers = () => [dispatcher];
  const sharing = createPairSharing({ documents, timer, logger, dispatchers });
  return { timer, documents, imported, sharing, dispatcher };
}

describe('the noisy neighbours that instances share', () => {
  // Guards against a new dispatcher that has to learn all pairs again.
  it('reach a dispatcher elsewhere, and one that begins later, with their age', async () => {
    const from = createTestInstance([pair]);
    const to = createTestInstance([]);
    await from.timer.advance(10_000);
    await to.timer.advance(10_000);
    const document = from.documents.select([PAIRS_DOCUMENT])[PAIRS_DOCUMENT];
    if (document === undefined) throw new Error('nothing was shared');
    to.documents.offer(PAIRS_DOCUMENT, document, 'from');
    expect(to.imported).toEqual([[pair]]);
    await to.timer.advance(30_000);
    to.sharing.introduce(to.dispatcher);
    expect(to.imported.at(-1)).toEqual([{ ...pair, ageMs: 31_000 }]);
    await to.timer.advance(100_000);
    to.sharing.introduce(to.dispatcher);
    expect(to.imported.at(-1)).toEqual([]);
  });

  // Guards against documents that take a share of a slow link although nothing has changed.
  it('are sent only after a change or a while, in a few kilobytes', async () => {
    const team = 'x'.repeat(60);
    const many = Array.from({ length: 50 }, (_, index) => ({ ...pair, target: `${team}${index}` }));
    const { timer, documents } = createTestInstance(many);
    await timer.advance(10_000);
    const { version, text } = documents.select([PAIRS_DOCUMENT])[PAIRS_DOCUMENT] ?? {};
    expect(version).toEqual(1);
    expect((text ?? '').length < 6_000).toEqual(true);
    await timer.advance(30_000);
    expect(documents.versions()).toEqual({ [PAIRS_DOCUMENT]: 1 });
    await timer.advance(30_000);
    expect(documents.versions()).toEqual({ [PAIRS_DOCUMENT]: 2 });
  });

  it('are refused if they are malformed', () => {
    const { documents, imported } = createTestInstance([]);
    const text = JSON.stringify({ writtenMs: 0, pairs: [{ ...pair, factor: 'x' }] });
    documents.offer(PAIRS_DOCUMENT, { version: 1, text }, 'from');
    expect([imported, documents.versions()]).toEqual([[], {}]);
  });
});
