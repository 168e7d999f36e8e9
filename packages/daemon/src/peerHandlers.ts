/** Registers the handlers of peer requests. */
import type { RequestBody, PeerServer, Reply } from '@celerybarrow/protocol';
import type { ClaimRegistry, Handover } from '@celerybarrow/claims';
import type { ActiveConfiguration } from '@celerybarrow/configuration';
import type { JobService, Router, Traces } from '@celerybarrow/jobs';
import type { RosterCache } from '@celerybarrow/membership';
import type { Placement } from '@celerybarrow/placement';

export interface PeerHandlerOptions {
  readonly server: PeerServer;
  readonly rosters: RosterCache;
  readonly configuration: ActiveConfiguration;
  readonly claimRegistry: ClaimRegistry;
  readonly handover: Handover;
  readonly placement: Placement;
  readonly jobs: JobService;
  readonly router: Router;
  readonly traces: Traces;
  readonly createPing: () => RequestBody<'ping'>;
}

export function addPeerHandlers(options: PeerHandlerOptions): void {
  const { server, rosters, configuration, claimRegistry, handover, placement, jobs, router } =
    options;

  server.onRequest('ping', (ask, peer) => {
    if (peer.dataCentre === rosters.dataCentre) placement.onPeerLoad(peer.incarnation, ask.load);
    return options.createPing();
  });
  server.onRequest('load', (ask, peer) => placement.receiveLoad(ask, peer));
  server.onRequest('roster', ({ dataCentre }) => ({ roster: rosters.view(dataCentre)?.roster }));
  server.onRequest('configuration', ({ newerThan }): Reply<'configuration'> => {
    const current = configuration.current();
    return current.version > newerThan ? { document: JSON.stringify(current) } : {};
  });
  server.onRequest('claim', (ask, peer) => claimRegistry.witness(ask, peer));
  server.onRequest('pledge', (ask) => claimRegistry.pledge(ask));
  server.onRequest('transfer', (ask, peer) => handover.receive(ask, peer));
  server.onRequest('cede', (ask) => handover.onSeal(ask));
  server.onRequest('settled', ({ epoch }) => ({ settled: handover.hasTransferredClaims(epoch) }));
  server.onRequest('batch', (ask, peer) => placement.receiveBatch(ask, peer));
  server.onRequest('results', (ask, peer) => placement.receiveResults(ask, peer));
  server.onRequest('drop', (ask) => placement.receiveDrop(ask));
  server.onRequest('submit', (ask, peer) => router.receive(ask, peer));
  server.onRequest('join', (ask) => jobs.join(ask));
  server.onRequest('lookup', ({ id }) => jobs.lookup(id));
  server.onRequest('cancel', ({ id }) => ({ found: jobs.cancel(id) }));
  server.onRequest('trace', ({ id }) => ({ events: [...options.traces.find(id)] }));
}
