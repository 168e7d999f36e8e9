/** Simulates the requests of an instance to a dispatcher, over a simulated connection. */
import { Result } from 'true-myth';
import { JobStates, ProtocolError, type PeerLink } from '@celerybarrow/protocol';
import { ErrorCodes, type ErrorCode } from '@celerybarrow/shared';
import type { SimulatedConnections } from './simulatedConnections.js';
import type { SimulatedInstance } from './simulatedInstance.js';

export interface SimulatedLinkOptions {
  readonly shard: number;
  readonly from: SimulatedInstance;
  readonly incarnation: string;
  readonly to: SimulatedInstance | undefined;
  readonly connections: SimulatedConnections;
  /** Callbacks that fail the requests of connections that are no longer open. */
  readonly onConnectionLoss: Set<() => void>;
  /** Whether a connection to the dispatcher was lost. */
  readonly isLost: () => boolean;
}

type RequestBody = Readonly<Record<string, unknown>>;

export function createSimulatedLink(options: SimulatedLinkOptions): PeerLink {
  const { shard, from, incarnation, to, connections, onConnectionLoss, isLost } = options;

  async function answer(at: SimulatedInstance, type: string, body: RequestBody): Promise<unknown> {
    const dispatcher = at.shardStates[shard]?.dispatcher;
    if (type === 'withdraw') {
      const gateway = body['gateway'] as string;
      return dispatcher?.withdraw(body['job'] as string, gateway) ?? { found: false };
    }
    const moved = { state: JobStates.MOVED, reason: 'does not dispatch' };
    return dispatcher?.submit({ ...body, incarnation } as never) ?? moved;
  }

  function request(type: string, body: RequestBody, wait: { timeoutMs: number }): Promise<unknown> {
    // A message that is delivered late says what was true when it was sent.
    const sentBody = structuredClone(body);
    return new Promise((resolve) => {
      const fail = (code: ErrorCode) => {
        resolve(Result.err(new ProtocolError(code)));
      };
      const connection = to === undefined ? undefined : connections.between(from, to);
      if (to === undefined || connection === undefined) {
        fail(ErrorCodes.PEER_UNREACHABLE);
        return;
      }
      const endPending = () => {
        onConnectionLoss.delete(failIfLost);
        removePending();
      };
      const timeOut = () => {
        from.host.receive(() => {
          endPending();
          fail(ErrorCodes.PEER_SILENT);
        });
      };
      from.host.timer.onTimeout(wait.timeoutMs, timeOut);
      const failIfLost = () => {
        if (isLost()) timeOut();
      };
      onConnectionLoss.add(failIfLost);
      const removePending = connection.addPending(timeOut);
      connection.sendRequest(() => {
        void answer(to, type, sentBody).then((value) => {
          connection.sendReply(() => {
            endPending();
            resolve(Result.ok(value));
          });
        });
      });
    });
  }

  return { request } as unknown as PeerLink;
}
