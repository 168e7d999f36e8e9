export { choosePeersToPoll, rankMembers, type RankingOptions } from './candidates.js';
export {
  createReplicatedDocuments,
  shardDocumentName,
  type ReplicatedDocuments,
} from './replicatedDocuments.js';
export {
  createFleetLeadership,
  MANY_SHARDS_HEARTBEAT,
  ONE_SHARD_HEARTBEAT,
  type FleetLeadership,
  type FleetLeadershipOptions,
} from './fleetLeadership.js';
export type { Leadership } from './leadership.js';
export {
  countShards,
  createShardHash,
  shardOfEndpoint,
  shardOfJob,
  type ShardCapacity,
  type ShardHash,
} from './shards.js';
export { createStoreContact, type StoreContact } from './storeContact.js';
export { dispatcherKey } from './storedView.js';
export {
  decideTakeover,
  TakeoverDecisions,
  type OpinionReply,
  type TakeoverEvidence,
  type TakeoverDecision,
} from './takeover.js';
export { fenceOf, isNewer } from './views.js';
