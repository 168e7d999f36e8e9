/**
 * TCP proxy to one target address that injects network faults: it can cut the connections from
 * chosen source addresses and delay all data. To simulate a network partition, a cut keeps
 * connections open but forwards no data.
 */
import { connect, createServer, type Socket } from 'node:net';
import { once } from 'node:events';
import { bindListener, type Address } from '@celerybarrow/shared';

export interface FaultProxy {
  readonly address: Address;
  /** Cuts or restores connections from a source IP address, or from all sources with `*`. */
  setCut(source: string, isCut: boolean): void;
  /** Delays data in both directions, on existing connections too. */
  setDelay(delayMs: number): void;
  close(): Promise<void>;
}

export async function startFaultProxy(listen: Address, target: Address): Promise<FaultProxy> {
  const cutSources = new Set<string>();
  const connections = new Set<ProxiedConnection>();
  let delayMs = 0;

  interface ProxiedConnection {
    readonly source: string;
    /** Socket of the client. */
    readonly near: Socket;
    /** Socket of the target. */
    readonly far: Socket;
  }

  function isSourceCut(source: string): boolean {
    return cutSources.has('*') || cutSources.has(source);
  }

  function accept(near: Socket): void {
    const source = near.remoteAddress ?? '';
    const far = connect({ host: target.host, port: target.port, noDelay: true });
    const connection = { source, near, far };
    connections.add(connection);
    relay(near, far, source);
    relay(far, near, source);
    near.on('close', () => connections.delete(connection));
    if (isSourceCut(source)) pauseConnection(connection);
  }

  function relay(from: Socket, to: Socket, source: string): void {
    from.on('error', () => undefined);
    from.on('data', (chunk: Buffer) => {
      if (delayMs === 0) to.write(chunk);
      else setTimeout(() => to.write(chunk), delayMs);
    });
    from.on('close', () => {
      if (isSourceCut(source)) return;
      to.destroy();
    });
  }

  function pauseConnection(connection: ProxiedConnection): void {
    connection.near.pause();
    connection.far.pause();
  }

  function resumeConnection(connection: ProxiedConnection): void {
    if (connection.far.destroyed || connection.near.destroyed) {
      connection.near.destroy();
      connection.far.destroy();
      return;
    }
    connection.near.resume();
    connection.far.resume();
  }

  const server = createServer({ noDelay: true }, accept);
  const address = await bindListener(server, listen);

  return {
    address,
    setCut(source, isCut) {
      if (isCut) cutSources.add(source);
      else cutSources.delete(source);
      for (const connection of connections) {
        if (isSourceCut(connection.source)) pauseConnection(connection);
        else resumeConnection(connection);
      }
    },
    setDelay(newDelayMs) {
      delayMs = newDelayMs;
    },
    async close() {
      const closed = once(server, 'close');
      server.close();
      for (const connection of connections) {
        connection.near.destroy();
        connection.far.destroy();
      }
      await closed;
    },
  };
}
