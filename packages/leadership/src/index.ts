export { createDocuments, type Documents } from './documents.js';
export { createLeadership, DISPATCHER_KEY, type Leadership } from './leadership.js';
export {
  decideTakeover,
  rankMembers,
  Takeovers,
  type Answered,
  type Suspicion,
  type Takeover,
} from './takeover.js';
export { fenceOf, isNewer } from './views.js';
