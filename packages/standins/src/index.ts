/** Stand-ins simulate the services around an instance (platform, endpoints, network) for tests. */
export {
  startEndpointStandin,
  type EndpointBehaviour,
  type EndpointStandin,
} from './endpointStandin.js';
export { startFaultProxy, type FaultProxy } from './faultProxy.js';
export {
  startPlatformStandin,
  type PlatformFaults,
  type PlatformStandin,
} from './platformStandin.js';
