import { describe, it } from 'node:test';
import { expect } from 'earl';
import { RunEnds } from '../src/index.js';
import { provenEnd, type UnlistedRun } from '../src/unlistedRun.js';

/** A report asked for at 100 and answered when the endpoint's clock, 5 s ahead, stood at 5,110. */
const unlisted: UnlistedRun = {
  askedMs: 100,
  askedAtEndpointMs: 5_100,
  reportedAtEndpointMs: 5_110,
  stopAnsweredMs: undefined,
  startAnsweredMs: undefined,
  isInDoubt: false,
  orderEndMs: 5_600,
};

describe('a run that a report does not list', () => {
  const table: [string, Partial<UnlistedRun>, string | undefined][] = [
    ['its start is on the way', {}, undefined],
    ['its start was answered before the report was asked for', { startAnsweredMs: 90 }, 'lapsed'],
    ['its start was answered while the report was on the way', { startAnsweredMs: 105 }, undefined],
    ['its stop was answered before', { stopAnsweredMs: 100, isInDoubt: true }, 'not-started'],
    ['its stop was answered later', { stopAnsweredMs: 101, isInDoubt: true }, undefined],
    ['its start got no answer, and its lease runs', { isInDoubt: true }, undefined],
    [
      'its start got no answer, and its lease ended while the report was on the way',
      { isInDoubt: true, orderEndMs: 5_105 },
      undefined,
    ],
    [
      'its start got no answer, and its lease had ended before',
      { isInDoubt: true, orderEndMs: 5_050 },
      'not-started',
    ],
    [
      'the clock of the endpoint is not known',
      { isInDoubt: true, orderEndMs: 5_050, askedAtEndpointMs: undefined },
      undefined,
    ],
    ['a new life of the endpoint', { isInDoubt: true, orderEndMs: Infinity }, undefined],
  ];
  for (const [name, change, expected] of table) {
    it(`${expected ?? 'proves nothing'}: ${name}`, () => {
      expect(provenEnd({ ...unlisted, ...change })).toEqual(expected as never);
    });
  }

  it('uses the words of the endpoint protocol', () => {
    expect([RunEnds.LAPSED, RunEnds.NOT_STARTED]).toEqual(['lapsed', 'not-started']);
  });
});
