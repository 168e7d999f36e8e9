export { departingEndpointSchema, type DepartingEndpoint } from './departingEndpoint.js';
export { createEndpointClock, type EndpointClock } from './endpointClock.js';
export { TerminationProofs, type InferredEnd, type TerminationProof } from './terminationProof.js';
export { EndpointError } from './endpointError.js';
export { type OrphanedRun } from './orphanedRuns.js';
export {
  endpointEntrySchema,
  OrderAnswers,
  RunEnds,
  taskKey,
  type EndedTask,
  type EndpointEntry,
  type EndpointNetwork,
  type EndpointReport,
  type RenewalAnswer,
  type RenewalOrder,
  type LeasedEndpoint,
  type OrderAnswer,
  type RunEnd,
  type RunOrder,
  type RunningTask,
  type StartOrder,
  type TaskRef,
} from './leasedEndpoint.js';
export { createProbeBudget, type ProbeBudget } from './probeBudget.js';
export { createRetainedStarts, type RetainedStarts } from './retainedStarts.js';
export { MAX_ORDER_DELAY_MS, type UnacknowledgedStart } from './unacknowledgedStarts.js';
export { RunStates, type Listing, type Run, type RunRequest, type RunState } from './run.js';
export {
  createEndpointController,
  type OrphanedRunListing,
  type LogDetails,
  type EndpointController,
  type EndpointControllerEvents,
} from './endpointController.js';
