export { DIRECTORY_KEY, findHome, readDirectory, type Directory } from './directory.js';
export { createHeartbeat, HEARTBEAT_INTERVAL_MS, type Heartbeat } from './heartbeat.js';
export { createMembership, type Membership } from './membership.js';
export { MembershipError } from './membershipError.js';
export { activeMembers, findOwner, rankMembers, type View } from './ownership.js';
export { createPeers, type Peers } from './peers.js';
export {
  evictMember,
  hasMember,
  isSettled,
  joinRoster,
  leaveRoster,
  liveSources,
  createFirstRoster,
  isEvictionSafe,
  isLastSource,
  settleRoster,
  MAX_CLOCK_LEAD_MS,
  MAX_INSTANCE_SKEW_MS,
} from './rosterChanges.js';
export { createRosterKeeper, ROSTER_PREFIX, type RosterKeeper } from './rosterKeeper.js';
export { createSoleLock, type SoleLock } from './soleLock.js';
