/**
 * Logs that a gateway's heartbeat to a dispatcher names another view than the dispatcher's own: once
 * for each gateway while the dispatcher's view lasts, and for a limited number of gateways. Newer views
 * have a limit of their own, since many gateways may have an older one after a change.
 */
import type { View } from '@celerybarrow/protocol';
import type { LogContext, Logger } from '@celerybarrow/telemetry';
import { fenceOf } from './views.js';

const MAX_LINES_PER_VIEW = 8;

/** Returns the log context of a view that another instance has named. */
export function describePeerView(peer: string, view: View): LogContext {
  const { dispatcher, round } = view;
  return { peer, peerDispatcher: dispatcher.instance, peerRound: round, peerFence: fenceOf(view) };
}

export interface PeerViewLog {
  /** Compares the view of a heartbeat with the present view of the dispatcher that received it. */
  check(peer: string, peerView: View, own: View): void;
}

export function createPeerViewLog(logger: Logger): PeerViewLog {
  let lastOwn: View | undefined;
  const loggedOlder = new Set<string>();
  const loggedNewer = new Set<string>();
  return {
    check(peer, peerView, own) {
      const fence = fenceOf(own);
      const peerFence = fenceOf(peerView);
      if (peerFence === fence) return;
      if (own !== lastOwn) {
        lastOwn = own;
        loggedOlder.clear();
        loggedNewer.clear();
      }
      const isNewer = peerFence > fence;
      const logged = isNewer ? loggedNewer : loggedOlder;
      if (logged.has(peer) || logged.size >= MAX_LINES_PER_VIEW) return;
      logged.add(peer);
      logger.info('Heartbeat names another view.', {
        isNewer,
        ...describePeerView(peer, peerView),
        fence,
      });
    },
  };
}
