import { describe, it } from 'node:test';
import { expect } from 'earl';
import { Result } from 'true-myth';
import { ErrorCodes } from '@celerybarrow/shared';
import { createManualTimer, type ManualTimer } from '@celerybarrow/timer';
import { createLogger } from '@celerybarrow/telemetry';
import type { RequestBody, Claim, Member, RequestType } from '@celerybarrow/protocol';
import {
  createFirstRoster,
  createRosterCache,
  joinRoster,
  completeTransfer,
  type Heartbeat,
  type Peers,
  type RosterCache,
} from '@celerybarrow/membership';
import {
  createClaimRegistry,
  createClaimStore,
  type ClaimRegistry,
  type ClaimStore,
} from '../src/index.js';

const WRITE = { writeId: 'w', nowMs: 1_000 };
const DATA_CENTRE = 'dub1';
/** The epoch of the roster of three members. */
const EPOCH = 3;

interface Node {
  readonly member: Member;
  readonly rosters: RosterCache;
  readonly store: ClaimStore;
  readonly claimRegistry: ClaimRegistry;
  readonly timer: ManualTimer;
}

function memberOf(instance: string): Member {
  return { instance, incarnation: `${instance}.1`, peer: '127.0.0.1:1' };
}

function claimOf(id: string, runner: string): Claim {
  const member = memberOf(runner);
  return {
    id,
    digest: 'd',
    createdAt: 1,
    runner,
    runnerIncarnation: member.incarnation,
    runnerPeer: member.peer,
  };
}

/**
 * Creates three members of a roster whose claim transfer is complete. `deliver` delays each request
 * between them.
 */
function createNodes(deliver: () => Promise<void> = () => Promise.resolve()): Node[] {
  const [first, ...others] = [memberOf('e1'), memberOf('e2'), memberOf('e3')] as const;
  const members = [first, ...others];
  const joined = others.reduce(
    (roster, member) => joinRoster(roster, member, WRITE),
    createFirstRoster(DATA_CENTRE, first, WRITE),
  );
  const nodes: Node[] = [];
  for (const member of members) {
    const rosters = createRosterCache(DATA_CENTRE, createLogger('test'));
    rosters.update(completeTransfer(joined, WRITE));
    const store = createClaimStore();
    const timer = createManualTimer();
    const request = async (to: Member, _type: RequestType, ask: RequestBody<'claim'>) => {
      const witness = nodes.find((node) => node.member.incarnation === to.incarnation);
      await deliver();
      return Result.ok(
        witness?.claimRegistry.witness(ask, { ...member, version: 1, dataCentre: DATA_CENTRE }),
      );
    };
    const claimRegistry = createClaimRegistry({
      self: member,
      store,
      rosters,
      peers: { request } as unknown as Peers,
      heartbeat: { isReachable: () => true } as unknown as Heartbeat,
      singleMemberLease: { acquire: () => Promise.resolve(false), validUntilMs: () => 0 },
      timer,
    });
    nodes.push({ member, rosters, store, claimRegistry, timer });
  }
  return nodes;
}

describe('the claim registry', () => {
  // Guards against an owner that cannot ask the runner: if only the witness had the record of an
  // id, the id was refused as contested for a whole epoch.
  it('stores the claim of the other runner after a refusal', async () => {
    const [owner, ...others] = createNodes();
    if (owner === undefined) throw new Error('expected three nodes');
    for (const witness of others) witness.store.add(claimOf('job', 'e4'));
    owner.store.add(claimOf('job', 'e1'));
    const registered = await owner.claimRegistry.register(claimOf('job', 'e1'), EPOCH);
    expect(registered.isErr && registered.error.code).toEqual(ErrorCodes.CLAIM_REFUSED);
    owner.store.remove('job');
    expect(owner.store.find('job')?.claim).toEqual(claimOf('job', 'e4'));
  });

  it('stores no other claim if a pledge caused the refusal', async () => {
    const [owner, ...others] = createNodes();
    if (owner === undefined) throw new Error('expected three nodes');
    for (const witness of others)
      expect(witness.claimRegistry.pledge({ epoch: EPOCH, id: 'job' })).toEqual({ pledged: true });
    owner.store.add(claimOf('job', 'e1'));
    const registered = await owner.claimRegistry.register(claimOf('job', 'e1'), EPOCH);
    expect(registered.isErr && registered.error.code).toEqual(ErrorCodes.CLAIM_REFUSED);
    owner.store.remove('job');
    expect(owner.store.find('job')).toEqual(undefined);
  });

  // Guards against a wrong not-run: an owner gave this answer for a job that its successor had run
  // while the owner was out of the roster.
  it('rejects a claim as outdated if the epoch changes during its last request', async () => {
    const nodes: Node[] = createNodes(() => {
      nodes.forEach(rejoinAfterEviction);
      return Promise.resolve();
    });
    const [owner] = nodes;
    if (owner === undefined) throw new Error('expected three nodes');
    owner.store.add(claimOf('job', 'e1'));
    const registration = owner.claimRegistry.register(claimOf('job', 'e1'), EPOCH, 0);
    await owner.timer.advance(1_000);
    const registered = await registration;
    expect(registered.isErr && registered.error.code).toEqual(ErrorCodes.CLAIM_OUTDATED);
  });

  it('rejects a claim as outdated if its epoch has ended before the registration', async () => {
    const nodes = createNodes();
    const [owner] = nodes;
    if (owner === undefined) throw new Error('expected three nodes');
    nodes.forEach(rejoinAfterEviction);
    const registered = await owner.claimRegistry.register(claimOf('job', 'e1'), EPOCH);
    expect(registered.isErr && registered.error.code).toEqual(ErrorCodes.CLAIM_OUTDATED);
  });

  it('does not confirm an epoch that has ended since the refusal was decided', async () => {
    const nodes = createNodes();
    const [owner] = nodes;
    if (owner === undefined) throw new Error('expected three nodes');
    expect(await owner.claimRegistry.confirm('job', EPOCH)).toEqual(true);
    nodes.forEach(rejoinAfterEviction);
    expect(await owner.claimRegistry.confirm('job', EPOCH)).toEqual(false);
  });

  it('does not confirm an epoch that began after the refusal was decided', async () => {
    let requests = 0;
    const nodes: Node[] = createNodes(() => {
      requests += 1;
      if (requests === 1) nodes.forEach(rejoinAfterEviction);
      return Promise.resolve();
    });
    const [owner] = nodes;
    if (owner === undefined) throw new Error('expected three nodes');
    expect(await owner.claimRegistry.confirm('job', EPOCH)).toEqual(false);
  });
});

/** Offers the roster two epochs later, after the first member was evicted and joined again. */
function rejoinAfterEviction({ rosters }: Node): void {
  const roster = rosters.ownView()?.roster;
  if (roster === undefined) return;
  rosters.update({ ...roster, version: roster.version + 2, epoch: roster.epoch + 2 });
}
