export { DIRECTORY_KEY, findHome, readDirectory, type Directory } from './directory.js';
export { createHeartbeat, HEARTBEAT_INTERVAL_MS, type Heartbeat } from './heartbeat.js';
export { createMembership, type Membership } from './membership.js';
export { MembershipError } from './membershipError.js';
export { activeMembers, findOwner, rankMembers, type RosterView } from './ownership.js';
export { createPeers, type Peers } from './peers.js';
export {
  evictMember,
  hasMember,
  isTransferComplete,
  joinRoster,
  leaveRoster,
  availableSources,
  createFirstRoster,
  isEvictionSafe,
  isLastBaseMember,
  completeTransfer,
  MAX_CLOCK_LEAD_MS,
  MAX_INSTANCE_SKEW_MS,
} from './rosterChanges.js';
export { createRosterCache, ROSTER_PREFIX, type RosterCache } from './rosterCache.js';
export { createSingleMemberLease, type SingleMemberLease } from './singleMemberLease.js';
