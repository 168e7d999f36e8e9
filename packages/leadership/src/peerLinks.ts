/** Pool of connections to other instances, opened on first use and kept while the peer is a member. */
import {
  createPeerLink,
  type FleetMember,
  type Greeting,
  type PeerLink,
  type Traffic,
} from '@celerybarrow/protocol';
import type { Random } from '@celerybarrow/shared';
import type { TimerService } from '@celerybarrow/timer';
import type { Patience } from './patience.js';

/**
 * A connection that receives nothing for this time is closed. Open connections can stall forever
 * without a reset.
 */
const KEEP_ALIVE_TIMEOUT_MS = 700;
const CONNECT_TIMEOUT_MS = 300;
const MAX_RECONNECT_DELAY_MS = 300;

export interface PeerLinks {
  /** Returns the connection to a member; creates it on first use. */
  to(member: FleetMember): PeerLink;
  /** Whether a connection to an incarnation is currently open. */
  isConnected(incarnation: string): boolean;
  /** Closes all connections except those to the given incarnations. */
  keepOnly(incarnations: ReadonlySet<string>): void;
  close(): void;
}

export interface PeerLinksOptions {
  readonly greeting: Greeting;
  readonly localHost: string;
  readonly timer: TimerService;
  readonly random: Random;
  readonly traffic: Traffic;
  readonly patience: Patience;
}

export function createPeerLinks(options: PeerLinksOptions): PeerLinks {
  const { greeting, localHost, timer, random, traffic, patience } = options;
  const links = new Map<string, PeerLink>();
  let isClosed = false;

  return {
    to(member) {
      const existing = links.get(member.incarnation);
      if (existing !== undefined) return existing;
      const created = createPeerLink({
        address: member.peer,
        localHost,
        self: greeting,
        expectedIncarnation: member.incarnation,
        timer,
        random,
        traffic,
        keepAliveTimeoutMs: () => patience.extend(KEEP_ALIVE_TIMEOUT_MS),
        connectTimeoutMs: () => patience.extend(CONNECT_TIMEOUT_MS),
        maxReconnectDelayMs: MAX_RECONNECT_DELAY_MS,
      });
      links.set(member.incarnation, created);
      // A caller that asks during shutdown would otherwise get a link that reconnects forever.
      if (isClosed) created.close();
      return created;
    },
    isConnected: (incarnation) => links.get(incarnation)?.isConnected() === true,
    keepOnly(incarnations) {
      for (const [incarnation, link] of links) {
        if (incarnations.has(incarnation)) continue;
        link.close();
        links.delete(incarnation);
      }
    },
    close() {
      isClosed = true;
      for (const link of links.values()) link.close();
    },
  };
}
