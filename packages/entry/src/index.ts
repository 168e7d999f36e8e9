export { createEntry, type Entry, type EntryOptions, type LocalDispatch } from './entry.js';
export { findQueue, type Queue, type Routing } from './routing.js';
