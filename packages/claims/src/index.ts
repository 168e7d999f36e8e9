export { ClaimError } from './claimError.js';
export { createClaimRegistry, type ClaimRegistry } from './claimRegistry.js';
export { createClaimStore, RETENTION_MS, type ClaimRecord, type ClaimStore } from './claimStore.js';
export { handOverAndLeave } from './handOverAndLeave.js';
export { createHandover, type Handover } from './handover.js';
