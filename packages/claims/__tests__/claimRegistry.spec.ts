import { describe, it } from 'node:test';
import { expect } from 'earl';
import { Result } from 'true-myth';
import { ErrorCodes } from '@celerybarrow/shared';
import { createManualTimer } from '@celerybarrow/timer';
import { createLogger } from '@celerybarrow/telemetry';
import type { Ask, Claim, Member, RequestType } from '@celerybarrow/protocol';
import {
  createFirstRoster,
  createRosterKeeper,
  joinRoster,
  settleRoster,
  type Heartbeat,
  type Peers,
} from '@celerybarrow/membership';
import {
  createClaimRegistry,
  createClaimStore,
  type ClaimRegistry,
  type ClaimStore,
} from '../src/index.js';

const WRITE = { writeId: 'w', nowMs: 1_000 };
const DATA_CENTRE = 'dub1';

interface Node {
  readonly member: Member;
  readonly store: ClaimStore;
  readonly registry: ClaimRegistry;
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

/** Two members of a settled roster; every ask of one reaches the other at once. */
function createPair(): Node[] {
  const members = [memberOf('e1'), memberOf('e2')] as const;
  const joined = joinRoster(createFirstRoster(DATA_CENTRE, members[0], WRITE), members[1], WRITE);
  const nodes: Node[] = [];
  for (const member of members) {
    const rosters = createRosterKeeper(DATA_CENTRE, createLogger('test'));
    rosters.offer(settleRoster(joined, WRITE));
    const store = createClaimStore();
    const request = (to: Member, _type: RequestType, ask: Ask<'claim'>) => {
      const witness = nodes.find((node) => node.member.incarnation === to.incarnation);
      return Promise.resolve(
        Result.ok(
          witness?.registry.witness(ask, { ...member, version: 1, dataCentre: DATA_CENTRE }),
        ),
      );
    };
    const registry = createClaimRegistry({
      self: member,
      store,
      rosters,
      peers: { request } as unknown as Peers,
      heartbeat: { isReachable: () => true } as unknown as Heartbeat,
      soleLock: { acquire: () => Promise.resolve(false), heldUntilMs: () => 0 },
      timer: createManualTimer(),
    });
    nodes.push({ member, store, registry });
  }
  return nodes;
}

describe('the registry of claims', () => {
  // An id whose only record was with the witness was refused as contested for a whole epoch.
  it('learns from a refusal which runner to ask', async () => {
    const [owner, witness] = createPair();
    if (owner === undefined || witness === undefined) throw new Error('there are two');
    witness.store.add(claimOf('job', 'e3'));
    owner.store.add(claimOf('job', 'e1'));
    const registered = await owner.registry.register(claimOf('job', 'e1'));
    expect(registered.isErr && registered.error.code).toEqual(ErrorCodes.CLAIM_REFUSED);
    owner.store.remove('job');
    expect(owner.store.find('job')?.claim).toEqual(claimOf('job', 'e3'));
  });

  it('knows no other runner when a pledge refused its claim', async () => {
    const [owner, witness] = createPair();
    if (owner === undefined || witness === undefined) throw new Error('there are two');
    expect(witness.registry.pledge({ epoch: 2, id: 'job' })).toEqual({ pledged: true });
    owner.store.add(claimOf('job', 'e1'));
    const registered = await owner.registry.register(claimOf('job', 'e1'));
    expect(registered.isErr && registered.error.code).toEqual(ErrorCodes.CLAIM_REFUSED);
    owner.store.remove('job');
    expect(owner.store.find('job')).toEqual(undefined);
  });
});
