/** What a simulated instance knows of each shard, and what can befall it and its surroundings. */
import type { Dispatcher } from '@celerybarrow/dispatch';
import type { Entry } from '@celerybarrow/entry';
import type { View } from '@celerybarrow/protocol';
import type { SimulatedHost } from './simulatedHost.js';

/** What one shard is, as an instance sees it. */
export interface Led {
  view: View | undefined;
  dispatcher: Dispatcher | undefined;
  isListCurrent: boolean;
  heardMs: number;
  askedMs: number | undefined;
  doubtedMs: number | undefined;
  raisedMs: number;
  missedMs: number | undefined;
  wasFenced: boolean;
}

export interface SimulatedInstance {
  readonly name: string;
  readonly zone: string;
  readonly host: SimulatedHost;
  readonly entry: Entry;
  readonly led: readonly Led[];
  isCut: boolean;
  isStoreless: boolean;
  /** Whether its list of endpoints differs, so that jobs fall to another shard. */
  hasOtherList: boolean;
}

/** The network and the store that the instances share. */
export interface SimulatedSurroundings {
  /** The data centre that is cut off from the other. */
  cutZone: string | undefined;
  /** Whether the store is out of reach of that data centre as well. */
  isStoreCut: boolean;
  /** Endpoints whose entries have lapsed in the store. */
  readonly lapsed: Set<string>;
  /** Endpoints that lists which were spread among instances do not have yet. */
  readonly unspread: Set<string>;
}
