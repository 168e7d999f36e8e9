export { createHttpPlatform, type HttpPlatform } from './httpPlatform.js';
export {
  InstanceRoles,
  InstanceStates,
  type Change,
  type Entry,
  type Instance,
  type InstanceRole,
  type InstanceState,
  type Lease,
  type Platform,
} from './platform.js';
export { PlatformError } from './platformError.js';
export { instanceSchema } from './schemas.js';
export { settleSwap } from './settleSwap.js';
export { watchPrefix, type WatchOptions } from './watchPrefix.js';
