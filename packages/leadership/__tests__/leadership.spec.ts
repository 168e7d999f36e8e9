import { describe, it } from 'node:test';
import { expect } from 'earl';
import { Result } from 'true-myth';
import { ErrorCodes } from '@celerybarrow/shared';
import { ProtocolError, type FleetMember, type PeerLink, type View } from '@celerybarrow/protocol';
import { createElapsedClock, createManualTimer } from '@celerybarrow/timer';
import type { Logger } from '@celerybarrow/telemetry';
import { createDocuments } from '../src/documents.js';
import { createLeadership, dispatcherKey } from '../src/leadership.js';
import { createMembers } from '../src/members.js';
import { createStoreContact } from '../src/storeContact.js';
import { createFakeStore } from './fakeStore.js';

const PACE = { intervalMs: 150, silenceMs: 330 };
const ignore = () => undefined;
const logger: Logger = { debug: ignore, info: ignore, warn: ignore, error: ignore };

function member(name: string): FleetMember {
  return {
    instance: name,
    incarnation: `${name}-1`,
    peer: '127.0.0.1:1',
    dataCentre: 'd',
    weight: 1,
  };
}

/** An instance with a connection to the dispatcher `b` that is still being opened, or refused. */
function startLeadership(link: { isRefused: boolean }) {
  const timer = createManualTimer();
  const clock = createElapsedClock(timer);
  const members = createMembers(clock, logger);
  const asked: string[] = [];
  const peer: PeerLink = {
    address: '',
    isConnected: () => false,
    failedAttempts: () => 0,
    isRefused: () => link.isRefused,
    isGone: () => link.isRefused,
    request: async (type, _ask, { connectWaitMs }) => {
      asked.push(type);
      await timer.sleep(connectWaitMs ?? 0);
      return Result.err(new ProtocolError(ErrorCodes.PEER_UNREACHABLE));
    },
    close: ignore,
  };
  const leadership = createLeadership({
    shard: 0,
    pace: PACE,
    self: member('a'),
    store: createFakeStore(),
    members,
    links: { to: () => peer, isConnected: () => false, keepOnly: ignore, close: ignore },
    contact: createStoreContact(clock, logger),
    documents: createDocuments(),
    timer,
    clock,
    logger,
    ranking: () => ({ shardsAhead: 0, dispatchedBy: () => 0 }),
    waiting: () => ({}),
    onPulse: ignore,
  });
  members.note(member('c'));
  const view: View = { epoch: 3, round: 0, dispatcher: member('b') };
  leadership.takeStored({ key: dispatcherKey(0), value: JSON.stringify(view), revision: 7 });
  leadership.start();
  return { timer, asked, leadership };
}

describe('a dispatcher that was just named', () => {
  // Recorded after the loss of all instances: the first dispatcher was deposed 0.3 s after it was
  // named, while it opened its connections to the endpoints.
  it('is given time for its first connections', async () => {
    const { timer, asked, leadership } = startLeadership({ isRefused: false });
    await timer.advance(320);
    expect(asked.includes('opinion')).toEqual(false);
    await timer.advance(300);
    leadership.close();
    expect(asked.includes('opinion')).toEqual(true);
  });

  it('is in doubt at once when its address refuses', async () => {
    const { timer, asked, leadership } = startLeadership({ isRefused: true });
    await timer.advance(100);
    leadership.close();
    expect(asked.includes('opinion')).toEqual(true);
  });
});
