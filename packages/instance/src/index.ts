export { createRoutingWatcher, type RoutingStatus, type RoutingWatcher } from './watchRouting.js';
export {
  createInstance,
  type Instance,
  type InstanceOptions,
  type ParsedEntry,
  type StoredSource,
} from './instance.js';
export type { LoopbackEndpoints } from './warmUp.js';
