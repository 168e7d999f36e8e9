export { createBatchReceiver, type BatchReceiver } from './batchReceiver.js';
export { createBatchSender, type BatchSender } from './batchSender.js';
export { createPeerLoads, type PeerLoads } from './peerLoads.js';
export { createEndpointClient, type EndpointClient, type TaskRequest } from './endpointClient.js';
export {
  createEndpointDirectory,
  type Endpoint,
  type EndpointDirectory,
} from './endpointDirectory.js';
export {
  createEndpointHealth,
  HealthStates,
  type EndpointHealth,
  type HealthState,
} from './endpointHealth.js';
export { type CompletionEstimate } from './estimateCompletion.js';
export { type EndpointState } from './endpointState.js';
export { createTaskDispatcher, type TaskDispatcher } from './taskDispatcher.js';
export { createPlacement, type PlacementJob, type Placement } from './placement.js';
export { PlacementError } from './placementError.js';
export { planPlacement, type TaskAssignment, type CandidateController } from './planPlacement.js';
export { createServiceTimes, type ServiceTimes } from './serviceTimes.js';
export {
  createLoadBalancingPolicy,
  PolicyNames,
  type PolicyName,
  type LoadBalancingPolicy,
} from './loadBalancingPolicy.js';
export { assignControllers, type ControllerAssignment } from './assignControllers.js';
export { createTaskQueue, type QueuedTask, type TaskQueue } from './taskQueue.js';
