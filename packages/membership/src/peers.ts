/** Manages the links of an instance to other instances, one for each incarnation at an address. */
import type { Random } from '@celerybarrow/shared';
import type { TimerService } from '@celerybarrow/timer';
import {
  createPeerLink,
  type RequestBody,
  type Greeting,
  type Member,
  type PeerLink,
  type ProtocolError,
  type Reply,
  type RequestOptions,
  type RequestType,
  type Traffic,
} from '@celerybarrow/protocol';
import type { Result } from 'true-myth';

const SWEEP_INTERVAL_MS = 10_000;
const MAX_FAILED_ATTEMPTS = 10;

export interface Peers {
  /** Returns the link to a member; opens it on first use. */
  linkTo(member: Member): PeerLink;
  request<T extends RequestType>(
    member: Member,
    type: T,
    ask: RequestBody<T>,
    options: RequestOptions,
  ): Promise<Result<Reply<T>, ProtocolError>>;
  close(): void;
}

export interface PeersOptions {
  readonly self: Greeting;
  readonly localHost?: string | undefined;
  readonly timer: TimerService;
  readonly random: Random;
  readonly traffic: Traffic;
  /** Whether a roster lists an incarnation; failing links to unlisted incarnations are closed. */
  readonly isListed: (incarnation: string) => boolean;
}

export function createPeers(options: PeersOptions): Peers {
  const links = new Map<string, PeerLink>();

  function linkTo(member: Member): PeerLink {
    const known = links.get(member.incarnation);
    if (known !== undefined) return known;
    const link = createPeerLink({
      address: member.peer,
      localHost: options.localHost,
      self: options.self,
      expectedIncarnation: member.incarnation,
      timer: options.timer,
      random: options.random,
      traffic: options.traffic,
    });
    links.set(member.incarnation, link);
    return link;
  }

  function closeUnlistedLinks(): void {
    for (const [incarnation, link] of links) {
      if (options.isListed(incarnation) || link.failedAttempts() < MAX_FAILED_ATTEMPTS) continue;
      link.close();
      links.delete(incarnation);
    }
  }

  const stopSweeping = options.timer.onEvery(SWEEP_INTERVAL_MS, closeUnlistedLinks);

  return {
    linkTo,
    request: (member, type, ask, requestOptions) =>
      linkTo(member).request(type, ask, requestOptions),
    close() {
      stopSweeping();
      for (const link of links.values()) link.close();
      links.clear();
    },
  };
}
