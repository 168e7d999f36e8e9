/** The state of a simulated instance for each shard, and the faults of its environment. */
import type { Dispatcher } from '@celerybarrow/dispatch';
import type { Entry } from '@celerybarrow/entry';
import type { ReplicatedDocuments } from '@celerybarrow/leadership';
import type { GatewayState, View } from '@celerybarrow/protocol';
import type { ElapsedClock } from '@celerybarrow/timer';
import type { DepartureSharing } from '../src/shareDepartures.js';
import type { OneWayCut } from './simulatedCuts.js';
import type { SimulatedHost } from './simulatedHost.js';

/** The state of one shard from the point of view of one instance. */
export interface ShardState {
  view: View | undefined;
  dispatcher: Dispatcher | undefined;
  dispatchingSinceMs: number;
  /** When the dispatcher first read each endpoint as leaving. */
  readonly readAsLeavingMs: Map<string, number>;
  /** Whether the dispatcher has read the list of endpoints from the store. */
  isListCurrent: boolean;
  /** When the dispatcher last answered a heartbeat, or the view changed. */
  lastContactMs: number;
  /** Whether the dispatcher has answered a heartbeat under the view. */
  hasContact: boolean;
  /** When dispatchers last answered a heartbeat, by incarnation. */
  readonly contacts: Map<string, number>;
  /** Newest clocks that dispatchers have told, and jobs taken from them, by incarnation. */
  readonly heard: Map<string, number>;
  readonly unanswered: Map<string, number>;
  /** When the first heartbeat without an answer was due. */
  unansweredSinceMs: number | undefined;
  /** Since when this instance suspects that the dispatcher has failed. */
  suspectedSinceMs: number | undefined;
  epochRaisedMs: number;
  /** Since when the dispatcher of the stored view is found not to be running. */
  missingSinceMs: number | undefined;
  /** Whether an endpoint rejected the fencing token of a view with a round above 0. */
  wasFenced: boolean;
}

/** The request that a gateway sends to its dispatcher, as it was when it was sent. */
export interface Heartbeat {
  readonly gateway: string;
  readonly view: View;
  /** Versions of the documents that the gateway has. */
  readonly versions: Readonly<Record<string, number>>;
  readonly sender: GatewayState | undefined;
}

export interface SimulatedInstance {
  readonly name: string;
  readonly zone: string;
  readonly host: SimulatedHost;
  readonly clock: ElapsedClock;
  readonly entry: Entry;
  readonly shardStates: readonly ShardState[];
  readonly documents: ReplicatedDocuments;
  readonly departures: DepartureSharing;
  /** Whether it reaches neither other instances, nor endpoints, nor the store. */
  isIsolated: boolean;
  isStoreUnreachable: boolean;
  /** Whether its list of endpoints differs, so that it assigns jobs to another shard. */
  hasOtherList: boolean;
}

/** Faults of the network and the store that the instances share. */
export interface SimulatedEnvironment {
  /** The data centre that is isolated from the other one. */
  isolatedZone: string | undefined;
  oneWayCut: OneWayCut | undefined;
  /** Whether the isolated data centre cannot reach the store either. */
  isZoneWithoutStore: boolean;
  isStoreDown: boolean;
  /** Endpoints whose entries have expired in the store. */
  readonly lapsed: Set<string>;
  /** Endpoints that are listed as leaving. */
  readonly departing: Set<string>;
  /** Endpoints that have left all lists although they run. */
  readonly departed: Set<string>;
  /** Endpoints that have not joined yet, so that no list contains them. */
  readonly unlisted: Set<string>;
  /** Departed endpoints that a dispatcher has dropped from its list. */
  readonly dropped: Set<string>;
  /** Endpoints that the lists shared among instances do not contain yet. */
  readonly missingFromSharedLists: Set<string>;
}
