export { createHttpStore, type HttpStore } from './httpStore.js';
export {
  InstanceRoles,
  InstanceStates,
  type Change,
  type Entry,
  type Instance,
  type InstanceList,
  type InstanceRole,
  type InstanceState,
  type Lease,
  type ListOptions,
  type Store,
  type WatchOptions,
} from './store.js';
export { CALL_TIMEOUT_MS, watchTimeoutMs } from './callTimeouts.js';
export { StoreError } from './storeError.js';
export { instanceSchema } from './schemas.js';
export { swapWithReadBack } from './swapWithReadBack.js';
export { followPrefix, type FollowPrefixOptions } from './followPrefix.js';
