import { describe, it } from 'node:test';
import { expect } from 'earl';
import fc from 'fast-check';
import type { Member, Roster } from '@celerybarrow/protocol';
import { createUuidV7 } from '@celerybarrow/shared';
import { createLogger } from '@celerybarrow/telemetry';
import {
  createFirstRoster,
  createRosterCache,
  evictMember,
  findHome,
  isEvictionSafe,
  isLastBaseMember,
  isTransferComplete,
  joinRoster,
  leaveRoster,
  rankMembers,
  completeTransfer,
} from '../src/index.js';

const SEED = 20261204;
const NOW_MS = 1_000_000;
const write = { writeId: 'w', nowMs: NOW_MS };
const member = (name: string): Member => ({
  instance: name,
  incarnation: `${name}.1`,
  peer: '127.0.0.1:1',
});

function rosterOf(...names: string[]): Roster {
  const [first = 'a', ...others] = names;
  const joined = others.reduce(
    (roster, name) => joinRoster(roster, member(name), write),
    createFirstRoster('dub1', member(first), write),
  );
  return completeTransfer(joined, write);
}

const evict = (roster: Roster, name: string, isProven = true) =>
  evictMember(roster, { incarnation: `${name}.1`, isProven }, write);

describe('roster changes', () => {
  const cases: [string, Roster, boolean][] = [
    ['one eviction', evict(rosterOf('a', 'b', 'c'), 'a'), false],
    [
      'an eviction after the transfer for the previous one',
      evict(completeTransfer(evict(rosterOf('a', 'b', 'c'), 'a'), write), 'b'),
      false,
    ],
    [
      'two evictions before the transfer for the first',
      evict(evict(rosterOf('a', 'b', 'c'), 'a'), 'b'),
      true,
    ],
    ['the eviction of the only member', evict(rosterOf('a'), 'a'), true],
    [
      'a leave and an eviction',
      evict(leaveRoster(rosterOf('a', 'b', 'c'), 'a.1', write), 'b'),
      false,
    ],
    // Guards against an unnoticed loss of claims: an instance stops after its only successor has
    // crashed.
    [
      'an eviction and the leave of the last member',
      leaveRoster(evict(rosterOf('a', 'b'), 'a'), 'b.1', write),
      true,
    ],
    [
      'the eviction of the last base member after another has joined',
      evict(joinRoster(rosterOf('a'), member('b'), write), 'a'),
      true,
    ],
    // Guard against an unnoticed loss of claims: the only active member has the only copies, while
    // other members are still stopping.
    [
      'the loss of the only active member after another has handed over to it alone',
      evict(leaveRoster(rosterOf('a', 'b', 'c'), 'c.1', write, new Set(['b.1', 'c.1'])), 'a'),
      true,
    ],
    [
      'the loss of the only active member after a transfer to it alone',
      evict(completeTransfer(evict(rosterOf('a', 'b', 'c'), 'c'), write, new Set(['b.1'])), 'a'),
      true,
    ],
    [
      'the loss of one of two active members while another stops',
      evict(leaveRoster(rosterOf('a', 'b', 'c'), 'c.1', write, new Set(['c.1'])), 'a'),
      false,
    ],
  ];
  for (const [description, roster, isLost] of cases) {
    it(`advance memoryLostBefore only if claims may be lost: ${description}`, () => {
      expect(roster.memoryLostBefore > NOW_MS).toEqual(isLost);
    });
  }

  it('allow removing one unresponsive member at a time and any number of ended ones', () => {
    const roster = evict(rosterOf('a', 'b', 'c', 'd'), 'a', false);
    expect(isEvictionSafe(roster, { incarnation: 'b.1', isProven: false })).toEqual(false);
    expect(isEvictionSafe(roster, { incarnation: 'b.1', isProven: true })).toEqual(true);
    expect(
      isEvictionSafe(completeTransfer(roster, write), { incarnation: 'b.1', isProven: false }),
    ).toEqual(true);
  });

  it('identify the last member of the base', () => {
    expect(isLastBaseMember(rosterOf('a', 'b'), 'a.1')).toEqual(false);
    expect(isLastBaseMember(evict(rosterOf('a', 'b'), 'b'), 'a.1')).toEqual(true);
  });

  it('raise the version with every change and the epoch with every change of members', () => {
    const complete = rosterOf('a', 'b');
    const left = leaveRoster(complete, 'b.1', write);
    expect([left.version, left.epoch]).toEqual([complete.version + 1, complete.epoch + 1]);
    const completeAgain = completeTransfer(left, write);
    expect([completeAgain.version, completeAgain.epoch, isTransferComplete(completeAgain)]).toEqual(
      [left.version + 1, left.epoch, true],
    );
    expect(joinRoster(complete, member('a'), write)).toEqual(complete);
  });
});

describe('ownership', () => {
  it('reassigns only the ids of a member that leaves', () => {
    fc.assert(
      fc.property(fc.uuid(), (id) => {
        const before = rankMembers({ roster: rosterOf('a', 'b', 'c', 'd'), ceded: new Set() }, id);
        const after = rankMembers({ roster: rosterOf('a', 'b', 'd'), ceded: new Set() }, id);
        const expected = before.filter((one) => one.instance !== 'c').map((one) => one.instance);
        expect(after.map((one) => one.instance)).toEqual(expected);
      }),
      { seed: SEED, numRuns: 200 },
    );
  });

  it('makes the witness the owner when the owner has sealed', () => {
    const roster = rosterOf('a', 'b', 'c');
    const [owner, witness] = rankMembers({ roster, ceded: new Set() }, 'x');
    const [successor] = rankMembers({ roster, ceded: new Set([owner?.incarnation ?? '']) }, 'x');
    expect(successor).toEqual(witness);
  });

  it('keeps the home of an id when data centres are added', () => {
    const before = { dataCentres: [{ name: 'dub1', since: 0 }] };
    const after = { dataCentres: [...before.dataCentres, { name: 'dub2', since: NOW_MS }] };
    for (let index = 0; index < 50; index += 1) {
      expect(findHome(after, createUuidV7(NOW_MS - 1))).toEqual('dub1');
    }
    const homes = new Set(Array.from({ length: 50 }, () => findHome(after, createUuidV7(NOW_MS))));
    expect(homes.size).toEqual(2);
  });

  it('keeps the home of an id without a creation time when data centres are added', () => {
    const before = { dataCentres: [{ name: 'dub1', since: 0 }] };
    const after = { dataCentres: [...before.dataCentres, { name: 'dub2', since: NOW_MS }] };
    for (let index = 0; index < 50; index += 1) {
      expect(findHome(after, `id${index}`)).toEqual(findHome(before, `id${index}`));
    }
  });
});

describe('the roster cache', () => {
  it('keeps the higher version and ignores invalid rosters', () => {
    const rosters = createRosterCache('dub1', createLogger('test'));
    const newer = rosterOf('a', 'b');
    rosters.update(newer);
    rosters.update(rosterOf('a'));
    for (const text of ['', '{}', '[]', 'null', '{"epoch":99}']) rosters.updateFromText(text);
    expect(rosters.ownView()?.roster).toEqual(newer);
  });
});
