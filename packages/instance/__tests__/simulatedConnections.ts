/**
 * Simulates the TCP connections between instances in virtual time. A connection is closed when a request
 * is pending and its client has received nothing for the keepalive timeout. Messages that meet a cut are
 * lost, or are held and delivered in order after the cut, also when the client has closed the connection.
 */
import type { Random } from '@celerybarrow/shared';
import type { ManualTimer } from '@celerybarrow/timer';
import type { SimulatedInstance } from './simulatedInstance.js';

/** As in `peerLinks.ts` and `peerLink.ts`. */
const KEEP_ALIVE_TIMEOUT_MS = 700;
const KEEP_ALIVE_INTERVAL_MS = KEEP_ALIVE_TIMEOUT_MS / 3;
const MIN_LATENCY_MS = 0.3;
const MAX_LATENCY_MS = 3;
/** TCP repeats a message 200 ms after the first loss, and then at intervals that double. */
const MAX_RETRANSMISSION_DELAY_MS = 400;

export interface SimulatedConnection {
  sendRequest(read: () => void): void;
  sendReply(read: () => void): void;
  /** Adds a pending request, which fails when the connection is closed. Returns a function that removes it. */
  addPending(fail: () => void): () => void;
}

export interface SimulatedConnections {
  /** Returns the connection of a client to a server, or opens one; undefined if neither is possible. */
  between(client: SimulatedInstance, server: SimulatedInstance): SimulatedConnection | undefined;
  /** Delivers the messages that were held in a cut that has ended. */
  releaseMessages(): void;
}

export interface SimulatedConnectionsOptions {
  readonly timer: ManualTimer;
  readonly random: Random;
  /** Random numbers for what a fleet without late messages has as well, so that its seeds stay the same. */
  readonly connectionRandom: Random;
  /** Whether connections stay open in a cut, and messages sent in it arrive after it. */
  readonly holdsMessages: boolean;
  readonly canSend: (from: SimulatedInstance, to: SimulatedInstance) => boolean;
  readonly isRunning: (instance: SimulatedInstance) => boolean;
}

export function createSimulatedConnections(
  options: SimulatedConnectionsOptions,
): SimulatedConnections {
  const { timer, random, connectionRandom, holdsMessages, canSend, isRunning } = options;
  const open = new Map<SimulatedInstance, Map<SimulatedInstance, SimulatedConnection>>();
  const releases = new Set<() => void>();

  /** One direction of a connection. */
  function createChannel(canPass: () => boolean, deliver: (read: () => void) => void) {
    const held: (() => void)[] = [];

    function releaseHeld(): void {
      if (held.length === 0) return;
      timer.onAfter(connectionRandom.next() * MAX_RETRANSMISSION_DELAY_MS, () => {
        if (canPass()) for (const read of held.splice(0)) deliver(read);
      });
    }

    releases.add(releaseHeld);
    return (read: () => void, latencyRandom = random) => {
      const latencyMs = MIN_LATENCY_MS + (MAX_LATENCY_MS - MIN_LATENCY_MS) * latencyRandom.next();
      timer.onAfter(latencyMs, () => {
        if (held.length === 0 && canPass()) deliver(read);
        else if (holdsMessages) held.push(read);
      });
    };
  }

  function createConnection(
    client: SimulatedInstance,
    server: SimulatedInstance,
  ): SimulatedConnection {
    const pending = new Set<() => void>();
    const clientTimer = client.host.timer;
    let isClosed = false;
    let lastReceivedMs = timer.nowMs();
    let stopKeepAlive: (() => void) | undefined;
    const sendRequest = createChannel(
      () => canSend(client, server),
      (read) => {
        if (isRunning(server)) server.host.receive(read);
      },
    );
    const sendReply = createChannel(
      () => canSend(server, client),
      (read) => {
        client.host.receive(() => {
          if (isClosed) return;
          lastReceivedMs = timer.nowMs();
          read();
        });
      },
    );

    function checkKeepAlive(): void {
      const silentMs = timer.nowMs() - lastReceivedMs;
      if (pending.size === 0) {
        stopKeepAlive?.();
        stopKeepAlive = undefined;
      } else if (silentMs > KEEP_ALIVE_TIMEOUT_MS) closeUnlessRead(lastReceivedMs);
      else if (silentMs > KEEP_ALIVE_INTERVAL_MS) {
        sendRequest(() => {
          sendReply(() => undefined, connectionRandom);
        }, connectionRandom);
      }
    }

    /** Closes the connection unless replies were waiting to be read while the client was stalled. */
    function closeUnlessRead(receivedMs: number): void {
      clientTimer.onTimeout(0, () => {
        if (lastReceivedMs === receivedMs) close();
      });
    }

    function close(): void {
      if (isClosed) return;
      isClosed = true;
      stopKeepAlive?.();
      open.get(client)?.delete(server);
      for (const fail of [...pending]) fail();
    }

    return {
      sendRequest(read) {
        sendRequest(read);
      },
      sendReply(read) {
        sendReply(read);
      },
      addPending(fail) {
        pending.add(fail);
        if (stopKeepAlive === undefined) {
          lastReceivedMs = timer.nowMs();
          stopKeepAlive = clientTimer.onEvery(KEEP_ALIVE_INTERVAL_MS, checkKeepAlive);
        }
        return () => {
          pending.delete(fail);
        };
      },
    };
  }

  return {
    between(client, server) {
      if (!isRunning(server)) return undefined;
      const connections = open.get(client) ?? new Map<SimulatedInstance, SimulatedConnection>();
      open.set(client, connections);
      const existing = connections.get(server);
      if (existing !== undefined) {
        return holdsMessages || canSend(client, server) ? existing : undefined;
      }
      if (!canSend(client, server) || !canSend(server, client)) return undefined;
      const created = createConnection(client, server);
      connections.set(server, created);
      return created;
    },
    releaseMessages() {
      for (const release of releases) release();
    },
  };
}
