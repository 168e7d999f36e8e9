/** Measures the memory that claims use: `npm run claim-memory`. */
import { createUuidV7 } from '@celerybarrow/shared';
import { createClaimStore, type ClaimStore } from '@celerybarrow/claims';

const CLAIM_COUNTS = [10_000, 20_000, 40_000, 80_000];
const AGE_SPREAD_MS = 900_000;

const stores: ClaimStore[] = [];

function measureClaims(claims: number): number {
  const store = createClaimStore();
  stores.push(store);
  globalThis.gc?.();
  const before = process.memoryUsage().heapUsed;
  for (let index = 0; index < claims; index += 1) {
    const createdAt = Date.now() - Math.floor((index / claims) * AGE_SPREAD_MS);
    store.add({
      id: createUuidV7(createdAt),
      digest: index.toString(36).padStart(16, '0'),
      createdAt,
      runner: 'dub1-e1',
      runnerIncarnation: 'f4b1c0de-0000-4000-8000-000000000000',
      runnerPeer: '127.0.0.1:8082',
      epoch: 3,
    });
  }
  globalThis.gc?.();
  const used = process.memoryUsage().heapUsed - before;
  if (store.size() !== claims) throw new Error('claims are missing');
  return used;
}

for (const claims of CLAIM_COUNTS) {
  const bytes = measureClaims(claims);
  process.stdout.write(`${claims} claims: ${Math.round(bytes / claims)} bytes each\n`);
}
