/**
 * Shares the noisy neighbours that the dispatchers have learned, as one replicated document, so that
 * a new dispatcher does not begin without them.
 *
 * The document is merged from all dispatchers: each adds its own pairs to those that it received. It
 * is advice with an age, so a lost or an old version does no harm beyond a few placements.
 */
import { z } from 'zod';
import { sharedPairSchema, type SharedPair } from '@celerybarrow/interference';
import type { ReplicatedDocuments } from '@celerybarrow/leadership';
import type { Logger } from '@celerybarrow/telemetry';
import type { TimerService, Unsubscribe } from '@celerybarrow/timer';
import { parseDocument } from './parseDocument.js';

export const PAIRS_DOCUMENT = 'interference';
/** Maximum number of pairs in the document, which keeps it to a few kilobytes. */
const MAX_PAIRS = 32;
/** Least interval between versions from this instance. */
const OFFER_INTERVAL_MS = 10_000;
/** A document with unchanged pairs is repeated after this time, so that their ages stay right. */
const REFRESH_MS = 40_000;
/** Older pairs are dropped; a dispatcher without evidence forgets a pair sooner. */
const MAX_AGE_MS = 120_000;

const documentSchema = z.object({
  /** Wall clock of the writer; ages are relative to it. */
  writtenMs: z.number(),
  pairs: z.array(sharedPairSchema).max(MAX_PAIRS),
});

/** What the exchange needs of a dispatcher. */
export interface PairSource {
  exportPairs(): SharedPair[];
  importPairs(pairs: readonly SharedPair[]): void;
}

export interface PairSharingOptions {
  readonly documents: ReplicatedDocuments;
  readonly timer: TimerService;
  readonly logger: Logger;
  /** Returns the dispatchers that run on this instance. */
  readonly dispatchers: () => readonly PairSource[];
}

export interface PairSharing {
  /** Passes the known pairs to a dispatcher that begins. */
  introduce(dispatcher: PairSource): void;
  stop: Unsubscribe;
}

export function createPairSharing(options: PairSharingOptions): PairSharing {
  const { documents, timer, logger, dispatchers } = options;
  let shared: readonly SharedPair[] = [];
  /** When the ages of the shared pairs applied, on the wall clock, and when they were received. */
  let sharedAtMs = 0;
  let receivedMs = 0;

  /** Returns the shared pairs with their present ages, without those that are too old. */
  function currentPairs(): SharedPair[] {
    // The writer's clock may be ahead.
    const elapsedMs = Math.max(timer.wallMs() - sharedAtMs, timer.nowMs() - receivedMs);
    return shared
      .map((pair) => ({ ...pair, ageMs: Math.round(pair.ageMs + elapsedMs) }))
      .filter(({ ageMs }) => ageMs < MAX_AGE_MS);
  }

  function offer(): void {
    const own = dispatchers().flatMap((dispatcher) => dispatcher.exportPairs());
    if (own.length === 0) return;
    const merged = mergePairs([...own, ...currentPairs()]);
    const isUnchanged = describePairs(merged) === describePairs(shared);
    if (isUnchanged && timer.wallMs() - sharedAtMs < REFRESH_MS) return;
    const version = (documents.versions()[PAIRS_DOCUMENT] ?? 0) + 1;
    const text = JSON.stringify({ writtenMs: Math.round(timer.wallMs()), pairs: merged });
    documents.offer(PAIRS_DOCUMENT, { version, text }, 'dispatcher');
    logger.info('Noisy neighbours are shared.', { version, pairs: merged.length });
  }

  documents.onDocument(PAIRS_DOCUMENT, ({ version, text }, source) => {
    const read = documentSchema.safeParse(parseDocument(text));
    if (!read.success) {
      logger.warn('Noisy neighbours from another instance are malformed.', { version, source });
      return false;
    }
    shared = read.data.pairs;
    sharedAtMs = read.data.writtenMs;
    receivedMs = timer.nowMs();
    const pairs = currentPairs();
    for (const dispatcher of dispatchers()) dispatcher.importPairs(pairs);
    return true;
  });

  return {
    introduce(dispatcher) {
      dispatcher.importPairs(currentPairs());
    },
    stop: timer.onEvery(OFFER_INTERVAL_MS, offer),
  };
}

/** Keeps the newest estimate of each pair, and of all pairs those with the largest factors. */
function mergePairs(pairs: readonly SharedPair[]): SharedPair[] {
  const newest = new Map<string, SharedPair>();
  for (const pair of pairs) {
    const key = keyOf(pair);
    const known = newest.get(key);
    if (known === undefined || pair.ageMs < known.ageMs) newest.set(key, pair);
  }
  return [...newest.values()].sort((a, b) => b.factor - a.factor).slice(0, MAX_PAIRS);
}

function describePairs(pairs: readonly SharedPair[]): string {
  return pairs.map(keyOf).sort().join(' ');
}

function keyOf({ target, neighbour }: SharedPair): string {
  return `${target} ${neighbour}`;
}
