export {
  createEntry,
  type Entry,
  type EntryOptions,
  type LocalDispatch,
  type Route,
} from './entry.js';
export { findQueue, type Queue, type Routing } from './routing.js';
