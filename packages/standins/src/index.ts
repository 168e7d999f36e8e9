export {
  startEndpointStandin,
  type EndpointBehaviour,
  type EndpointStandin,
} from './endpointStandin.js';
export { startLinkStandin, type LinkStandin } from './linkStandin.js';
export {
  startPlatformStandin,
  type PlatformFaults,
  type PlatformStandin,
} from './platformStandin.js';
