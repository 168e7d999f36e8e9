export { Cancellations, type Cancellation } from './canceller.js';
export { createEntry, type Entry, type EntryOptions } from './entry.js';
export type { LocalDispatcher, Route } from './route.js';
export { findQueue, routingSchema, type Queue, type Routing } from './routing.js';
