export { allowedTimeMs, MAX_ALLOWED_MS, type TimeLimits } from './allowedTime.js';
export {
  createFrameDecoder,
  decodeFrames,
  encodeFrame,
  MAX_FRAME_BYTES,
  type FrameDecoder,
} from './frames.js';
export {
  PROTOCOL_VERSION,
  rosterSchema,
  TaskOutcomes,
  type Answer,
  type RequestBody,
  type BatchTask,
  type Claim,
  type Greeting,
  type GroupLoad,
  type Load,
  type LostMember,
  type Member,
  type Problem,
  type Reply,
  type RequestType,
  type Roster,
  type Submission,
  type Task,
  type TaskAnswer,
  type TaskBatch,
  type TaskOutcome,
  type TaskResult,
  type TransferredRecord,
} from './messages.js';
export {
  createPeerLink,
  type PeerLink,
  type PeerLinkOptions,
  type RequestOptions,
} from './peerLink.js';
export {
  createPeerServer,
  type PeerServer,
  type PeerServerOptions,
  type RequestHandler,
} from './peerServer.js';
export { ProtocolError } from './protocolError.js';
export { createTraffic, type Traffic, type TrafficCount } from './traffic.js';
export {
  fleetMemberSchema,
  CANCELLED_OUTCOME,
  JobStates,
  viewSchema,
  type FleetMember,
  type JobOutcome,
  type JobState,
  type LeasedJob,
  type GatewayState,
  type Opinion,
  type Resources,
  type Announcement,
  type SharedDocument,
  type Step,
  type View,
  type Withdrawal,
} from './dispatchMessages.js';
