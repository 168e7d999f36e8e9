/** Tests the removal of a member that may claim jobs alone, while requests to the store are slow. */
import { describe, it } from 'node:test';
import { expect } from 'earl';
import { Result } from 'true-myth';
import { ErrorCodes } from '@celerybarrow/shared';
import { createLogger } from '@celerybarrow/telemetry';
import { createManualTimer, type ManualTimer } from '@celerybarrow/timer';
import { StoreError, type Entry, type Lease, type Store } from '@celerybarrow/store';
import {
  createFirstRoster,
  createMembership,
  createRosterCache,
  createSingleMemberLease,
  evictMember,
  hasMember,
  joinRoster,
  type Heartbeat,
  type Peers,
} from '../src/index.js';
import { parseRoster, rosterKey } from '../src/rosterCache.js';

const DATA_CENTRE = 'dub1';
const WRITE = { writeId: 'w', nowMs: 1_000_000 };
/** Longer than the lease of a single member. */
const HELD_UP_MS = 15_000;

const member = (name: string) => ({
  instance: name,
  incarnation: `${name}.1`,
  peer: '127.0.0.1:1',
});
const aloneFirst = createFirstRoster(DATA_CENTRE, member('e1'), WRITE);
/** e1 is the only member that may have claims, and e2 has joined. */
const joined = joinRoster(aloneFirst, member('e2'), WRITE);

/** A store in memory. `beforeRosterCall` can hold up one instance's calls for the roster. */
function createMemoryStore(timer: ManualTimer) {
  const entries = new Map<string, Entry & { untilMs: number }>();
  let revision = 1;
  let leases = 0;

  function find(key: string): Entry | undefined {
    const entry = entries.get(key);
    return entry !== undefined && entry.untilMs > timer.nowMs() ? entry : undefined;
  }

  function put(key: string, value: string, untilMs = Infinity): Entry {
    revision += 1;
    const entry = { key, value, revision, untilMs };
    entries.set(key, entry);
    return entry;
  }

  put(rosterKey(DATA_CENTRE), JSON.stringify(joined));
  put(
    'celerybarrow/directory',
    JSON.stringify({ dataCentres: [{ name: DATA_CENTRE, addedAt: 0 }] }),
  );

  function storeFor(hooks: { read?: () => Promise<void>; write?: () => Promise<void> } = {}) {
    return {
      async get(key: string) {
        if (key === rosterKey(DATA_CENTRE)) await hooks.read?.();
        return Result.ok(find(key));
      },
      async compareAndSwap(key: string, expected: number, value: string, lease?: Lease) {
        if (key === rosterKey(DATA_CENTRE)) await hooks.write?.();
        if ((find(key)?.revision ?? 0) !== expected)
          return Result.err(new StoreError(ErrorCodes.PLATFORM_CONFLICT));
        return Result.ok(put(key, value, timer.nowMs() + (lease?.ttlMs ?? Infinity)));
      },
      grantLease(ttlMs: number) {
        leases += 1;
        return Promise.resolve(Result.ok({ id: String(leases), ttlMs }));
      },
      renewLease: () => Promise.resolve(Result.err(new StoreError(ErrorCodes.PLATFORM_BAD_ANSWER))),
    } as unknown as Store;
  }

  function storedRoster() {
    return parseRoster(find(rosterKey(DATA_CENTRE))?.value ?? '') ?? joined;
  }

  return { storeFor, storedRoster, put };
}

function start(hooks: { read?: () => Promise<void>; write?: () => Promise<void> }) {
  const timer = createManualTimer(WRITE.nowMs);
  const memory = createMemoryStore(timer);
  const logger = createLogger('test');
  const leaseOf = (name: string, platform: Store) => {
    const rosters = createRosterCache(DATA_CENTRE, logger);
    rosters.update(joined);
    const { incarnation } = member(name);
    const options = { platform, timer, rosters, incarnation };
    return { rosters, lease: createSingleMemberLease(options) };
  };
  const platform = memory.storeFor(hooks);
  const evictor = leaseOf('e2', platform);
  const membership = createMembership({
    self: member('e2'),
    platform,
    timer,
    rosters: evictor.rosters,
    peers: { linkTo: () => ({ isGone: () => false }) } as unknown as Peers,
    heartbeat: {
      isSuspected: (incarnation: string) => incarnation === 'e1.1',
      isReachable: (incarnation: string) => incarnation === 'e2.1',
      isGone: () => false,
    } as unknown as Heartbeat,
    singleMemberLease: evictor.lease,
    logger,
    isDelisted: () => false,
    hasSealed: () => false,
    hasTransferredClaims: () => false,
  });
  const alone = leaseOf('e1', memory.storeFor());
  return { timer, memory, membership, alone: alone.lease };
}

/** Lets e1 acquire its lease as soon as the evictor's has expired. */
async function acquireAgain({ timer, alone }: ReturnType<typeof start>): Promise<void> {
  for (let waitedMs = 0; waitedMs < HELD_UP_MS && alone.validUntilMs() === 0; waitedMs += 500) {
    await alone.acquire(new Set());
    await timer.advance(500);
  }
  expect(alone.validUntilMs() > 0).toEqual(true);
}

describe('the removal of a member that may claim jobs alone', () => {
  it('is made while the lease is held', async () => {
    const run = start({});
    await run.timer.advance(2_000);
    run.membership.close();
    expect(hasMember(run.memory.storedRoster(), 'e1.1')).toEqual(false);
  });

  // Guards against an instance that stands still between the lease and the roster: it removed a
  // member that had acquired the lease since and went on claiming.
  it('is not made after the lease has expired', async () => {
    let reads = 0;
    const run = start({
      read: () => {
        reads += 1;
        return reads === 1 ? run.timer.sleep(HELD_UP_MS) : Promise.resolve();
      },
    });
    await run.timer.advance(500);
    await acquireAgain(run);
    await run.timer.advance(HELD_UP_MS - 9_000);
    run.membership.close();
    expect(hasMember(run.memory.storedRoster(), 'e1.1')).toEqual(true);
  });

  // Guards against a write that is held up in a cut connection until the other member has the lease.
  it('is rejected if it arrives after another instance has acquired the lease', async () => {
    let heldUp = Promise.resolve();
    const run = start({
      write: () => {
        heldUp = run.timer.sleep(HELD_UP_MS);
        return heldUp;
      },
    });
    await run.timer.advance(500);
    await acquireAgain(run);
    run.membership.close();
    await run.timer.advance(HELD_UP_MS);
    await heldUp;
    expect(hasMember(run.memory.storedRoster(), 'e1.1')).toEqual(true);
  });

  it('is not made by an instance that is no longer a member itself', async () => {
    const run = start({});
    const without = evictMember(joined, { incarnation: 'e2.1', isProven: true }, WRITE);
    run.memory.put(
      rosterKey(DATA_CENTRE),
      JSON.stringify({ ...without, base: ['e1.1', 'e3.1'], lost: [] }),
    );
    await run.timer.advance(50);
    run.membership.close();
    expect(hasMember(run.memory.storedRoster(), 'e1.1')).toEqual(true);
  });
});
