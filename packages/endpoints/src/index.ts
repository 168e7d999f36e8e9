export { createEndpointClock, type EndpointClock } from './endpointClock.js';
export { EndpointError } from './endpointError.js';
export {
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
export { RunStates, type Run, type RunRequest, type RunState } from './run.js';
export { createSteward, type Steward, type StewardEvents } from './steward.js';
