import { afterEach, describe, it } from 'node:test';
import { expect } from 'earl';
import type { RunningTask } from '@celerybarrow/endpoints';
import { JobStates } from '@celerybarrow/protocol';
import {
  closeDispatchers,
  createSettledDispatcher,
  HEARTBEAT_MS,
  RAISED_TOKEN,
  SETTLED_MS,
} from './settledDispatcher.js';

afterEach(closeDispatchers);

const runOfOther: RunningTask = { task: { job: 'j', step: 0, index: 0 }, run: 101, percent: 10 };

describe('a job that waits when the fencing token of its dispatcher is raised', () => {
  it('does not start beside a run that another dispatcher started under a token in between', async () => {
    const { fenceOff, starts, running, tokens, advance, submit } = await createSettledDispatcher();
    await fenceOff();
    running['slow'] = [runOfOther];
    tokens.own = RAISED_TOKEN;
    await advance(100, { fence: RAISED_TOKEN, unanswered: 1 });
    submit({ fence: RAISED_TOKEN, unanswered: 1 });
    await advance(150, { fence: RAISED_TOKEN, unanswered: 1 });
    expect(starts).toEqual([]);
    expect(running['slow']).toEqual([runOfOther]);
  });

  it('starts once its gateway has confirmed it and all endpoints have reported', async () => {
    const { fenceOff, starts, tokens, advance } = await createSettledDispatcher();
    await fenceOff();
    tokens.own = RAISED_TOKEN;
    await advance(100);
    expect(starts).toEqual([]);
    await advance(100, { fence: RAISED_TOKEN });
    expect(starts).toEqual(['j@fast']);
  });

  // A job that nobody else has is not lost because one endpoint is down.
  it('starts without the report of a silent endpoint if its gateway has confirmed it', async () => {
    const { fenceOff, starts, silent, tokens, advance } = await createSettledDispatcher();
    await fenceOff();
    silent.add('slow');
    tokens.own = RAISED_TOKEN;
    await advance(500, { fence: RAISED_TOKEN });
    expect(starts).toEqual(['j@fast']);
  });

  it('does not start if its gateway has handed it over elsewhere', async () => {
    const { fenceOff, starts, outcomes, tokens, advance } = await createSettledDispatcher();
    await fenceOff();
    tokens.own = RAISED_TOKEN;
    await advance(1_500, { fence: RAISED_TOKEN, unanswered: 1 });
    expect(starts).toEqual([]);
    expect(outcomes.map(({ state }) => state)).toEqual([JobStates.LOST]);
  });
});

describe('a submission that arrives long after it was sent', () => {
  it('does not start before its gateway has confirmed it', async () => {
    const { starts, submit, advance, timer } = await createSettledDispatcher();
    submit({ heardMs: 0 });
    await timer.advance(HEARTBEAT_MS);
    expect(starts).toEqual([]);
    await advance(100);
    expect(starts).toEqual(['j@fast']);
  });

  it('does not start if its gateway has handed it over elsewhere', async () => {
    const { starts, outcomes, submit, advance } = await createSettledDispatcher();
    submit({ heardMs: 0 });
    await advance(1_500, { unanswered: 1 });
    expect(starts).toEqual([]);
    expect(outcomes.map(({ state }) => state)).toEqual([JobStates.LOST]);
  });

  it('does not start if it was sent under an earlier token and is not confirmed', async () => {
    const { starts, submit, tokens, advance } = await createSettledDispatcher();
    tokens.own = RAISED_TOKEN;
    submit();
    await advance(500);
    expect(starts).toEqual([]);
  });
});

describe('the lease of a gateway', () => {
  it('is not renewed by heartbeats whose sender hears nothing of the dispatcher', async () => {
    const { starts, outcomes, submit, advance } = await createSettledDispatcher();
    submit();
    await advance(100);
    expect(starts).toEqual(['j@fast']);
    await advance(1_000, { heardMs: SETTLED_MS });
    expect(outcomes.map(({ reason }) => reason)).toEqual(['its gateway is silent']);
  });

  it('ends for the jobs of an earlier incarnation when the gateway has restarted', async () => {
    const { outcomes, submit, advance } = await createSettledDispatcher();
    submit();
    await advance(100);
    await advance(100, {}, 'g2');
    expect(outcomes.map(({ reason }) => reason)).toEqual(['its gateway is silent']);
  });
});
