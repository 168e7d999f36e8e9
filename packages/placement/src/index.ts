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
export { type Estimate } from './estimateEnd.js';
export { type EndpointState } from './endpointState.js';
export { createDispatcher, type Dispatcher } from './dispatcher.js';
export { createPlacement, type PlacedJob, type Placement } from './placement.js';
export { PlacementError } from './placementError.js';
export { planPlacement, type Assignment, type Candidate } from './planPlacement.js';
export { createServiceTimes, type ServiceTimes } from './serviceTimes.js';
export { createSlotPolicy, PolicyNames, type PolicyName, type SlotPolicy } from './slotPolicy.js';
export { assignStewards, type Stewards } from './stewardship.js';
export { createTaskQueue, type QueuedTask, type TaskQueue } from './taskQueue.js';
