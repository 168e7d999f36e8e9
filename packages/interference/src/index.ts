export { groupKey, type GroupedTask } from './groupKey.js';
export {
  createInterference,
  type Interference,
  type InterferenceEvents,
  type NamedPairChange,
  type RunReport,
  type StartedRun,
} from './interference.js';
export { type Group } from './groupTable.js';
export { placementPenaltyMs, type Neighbour } from './placementPenalty.js';
export { type ListedRun } from './runObservation.js';
export { sharedPairSchema, type SharedPair } from './sharedPair.js';
