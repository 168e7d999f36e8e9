/** The connection of an instance to a dispatcher in virtual time; what crosses a cut is lost. */
import { Result } from 'true-myth';
import { JobStates, ProtocolError, type PeerLink } from '@celerybarrow/protocol';
import { ErrorCodes, type ErrorCode, type Random } from '@celerybarrow/shared';
import type { ManualTimer } from '@celerybarrow/timer';
import type { SimulatedInstance } from './simulatedInstance.js';

const SHORTEST_WAY_MS = 0.3;
const LONGEST_WAY_MS = 3;

export interface SimulatedLinkOptions {
  readonly timer: ManualTimer;
  readonly random: Random;
  readonly shard: number;
  readonly from: SimulatedInstance;
  readonly to: SimulatedInstance | undefined;
  readonly isOpen: () => boolean;
  /** Called when connections that are not open any more are found to be lost. */
  readonly onLoss: Set<() => void>;
}

type Ask = Readonly<Record<string, unknown>>;

export function createSimulatedLink(options: SimulatedLinkOptions): PeerLink {
  const { timer, random, shard, from, to, isOpen, onLoss } = options;

  /** Hands over at the other side after the way there, unless it is cut. */
  function carry(host: SimulatedInstance['host'], read: () => void): void {
    const wayMs = SHORTEST_WAY_MS + (LONGEST_WAY_MS - SHORTEST_WAY_MS) * random.next();
    timer.onAfter(wayMs, () => {
      if (isOpen()) host.receive(read);
    });
  }

  async function answer(at: SimulatedInstance, type: string, ask: Ask): Promise<unknown> {
    const dispatcher = at.led[shard]?.dispatcher;
    if (type === 'withdraw') {
      const gateway = ask['gateway'] as string;
      return { found: dispatcher?.withdraw(ask['job'] as string, gateway) ?? false };
    }
    const moved = { state: JobStates.MOVED, reason: 'does not dispatch' };
    return dispatcher?.submit(ask as never) ?? moved;
  }

  function request(type: string, ask: Ask, wait: { timeoutMs: number }): Promise<unknown> {
    return new Promise((resolve) => {
      const fail = (code: ErrorCode) => {
        resolve(Result.err(new ProtocolError(code)));
      };
      if (to === undefined || !isOpen()) {
        fail(ErrorCodes.PEER_UNREACHABLE);
        return;
      }
      const silent = () => {
        from.host.receive(() => {
          fail(ErrorCodes.PEER_SILENT);
        });
      };
      from.host.timer.onTimeout(wait.timeoutMs, silent);
      const lose = () => {
        if (!isOpen()) silent();
      };
      onLoss.add(lose);
      carry(to.host, () => {
        void answer(to, type, ask).then((value) => {
          carry(from.host, () => {
            onLoss.delete(lose);
            resolve(Result.ok(value));
          });
        });
      });
    });
  }

  return { request } as unknown as PeerLink;
}
