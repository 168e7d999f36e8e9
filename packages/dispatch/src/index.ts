export { isAllowed } from './choosePlace.js';
export {
  createDispatcher,
  type Dispatcher,
  type DispatcherOptions,
  type Submission,
} from './dispatcher.js';
export { createEndpointDirectory, type EndpointDirectory } from './directory.js';
