export { formatAddress, isDialable, parseAddress, type Address } from './address.js';
export { bindListener } from './bindListener.js';
export { createDeferred, type Deferred } from './deferred.js';
export { ErrorCodes, errorMessages, type ErrorCode } from './errorCodes.js';
export { createUuidV7, readCreationTime } from './jobId.js';
export { describeError, LayerError } from './layerError.js';
export { Outcomes, type Outcome } from './outcome.js';
export { createRandom, addJitter, type Random } from './random.js';
export { rankByRendezvous, rendezvousWeight } from './rendezvous.js';
