export { FIRST_ANNOUNCEMENT_MS } from './announcement.js';
export { canRunStep } from './chooseEndpoint.js';
export { coversDepartures, describeDepartures } from './departures.js';
export {
  createDispatcher,
  type Dispatcher,
  type DispatcherOptions,
  type Submission,
} from './dispatcher.js';
export { createEndpointDirectory, type EndpointDirectory } from './endpointDirectory.js';
