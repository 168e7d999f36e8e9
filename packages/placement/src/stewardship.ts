/**
 * Divides endpoints among the members of a data centre. Each endpoint has one steward, the only
 * member that starts tasks on it, so that nobody probes and nobody overfills. Every member works
 * out the same division from the same lists; while lists differ an endpoint may have two stewards,
 * which costs refusals by its guard and nothing else.
 */
import { rankByRendezvous } from '@celerybarrow/shared';
import type { Endpoint } from './endpointDirectory.js';

/** Maps the id of each endpoint to the name of its steward. */
export type Stewards = ReadonlyMap<string, string>;

/** Assigns endpoints by rendezvous, service by service, with at most an even share for each member. */
export function assignStewards(
  endpoints: readonly Endpoint[],
  members: readonly string[],
): Stewards {
  const stewards = new Map<string, string>();
  if (members.length === 0) return stewards;
  for (const group of groupByService(endpoints)) assignGroup(group, members, stewards);
  return stewards;
}

function assignGroup(
  group: readonly Endpoint[],
  members: readonly string[],
  stewards: Map<string, string>,
): void {
  const totalSlots = group.reduce((sum, endpoint) => sum + endpoint.slots, 0);
  const shareSlots = Math.ceil(totalSlots / members.length);
  const takenSlots = new Map<string, number>();
  for (const endpoint of [...group].sort((a, b) => a.id.localeCompare(b.id))) {
    const ranked = rankByRendezvous(endpoint.id, members, (member) => member);
    const open = ranked.find((member) => (takenSlots.get(member) ?? 0) < shareSlots);
    const steward = open ?? ranked[0];
    if (steward === undefined) continue;
    stewards.set(endpoint.id, steward);
    takenSlots.set(steward, (takenSlots.get(steward) ?? 0) + endpoint.slots);
  }
}

function groupByService(endpoints: readonly Endpoint[]): readonly Endpoint[][] {
  const groups = new Map<string, Endpoint[]>();
  for (const endpoint of endpoints) {
    const key = endpoint.service ?? '';
    const group = groups.get(key) ?? [];
    group.push(endpoint);
    groups.set(key, group);
  }
  return [...groups.values()];
}
