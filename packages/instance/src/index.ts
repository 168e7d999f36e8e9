export {
  createInstance,
  type Instance,
  type InstanceOptions,
  type StoredSource,
} from './instance.js';
export type { Stage } from './rehearsal.js';
