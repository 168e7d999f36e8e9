/**
 * Distributes the control of endpoints among the members of a data centre. Each endpoint has one
 * controller, the only member that starts tasks on it. The controller therefore knows the free
 * slots without probing and does not overload the endpoint. Every member computes the same
 * assignment from the same lists. While the lists differ, an endpoint may have two controllers. The
 * only effect is that its guard refuses some tasks.
 */
import { pipe } from 'fp-ts/lib/function.js';
import * as NEA from 'fp-ts/lib/NonEmptyArray.js';
import * as Ord from 'fp-ts/lib/Ord.js';
import * as RA from 'fp-ts/lib/ReadonlyArray.js';
import * as S from 'fp-ts/lib/string.js';
import { rankByRendezvous } from '@celerybarrow/shared';
import type { Endpoint } from './endpointDirectory.js';

const ANY_SERVICE = '';

const orderById = pipe(
  S.Ord,
  Ord.contramap((endpoint: Endpoint) => endpoint.id),
);

/** Maps the id of each endpoint to the instance name of its controller. */
export type ControllerAssignment = ReadonlyMap<string, string>;

/**
 * Assigns controllers by rendezvous hashing, separately for each service. A member that has reached
 * an even share of the slots gets no more endpoints.
 */
export function assignControllers(
  endpoints: readonly Endpoint[],
  members: readonly string[],
): ControllerAssignment {
  const assignment = new Map<string, string>();
  if (members.length === 0) return assignment;
  const groups = pipe(
    [...endpoints],
    NEA.groupBy((endpoint) => endpoint.service ?? ANY_SERVICE),
  );
  for (const group of Object.values(groups)) assignGroup(group, members, assignment);
  return assignment;
}

function assignGroup(
  group: readonly Endpoint[],
  members: readonly string[],
  assignment: Map<string, string>,
): void {
  const totalSlots = group.reduce((sum, endpoint) => sum + endpoint.slots, 0);
  const maxSlotsPerMember = Math.ceil(totalSlots / members.length);
  const assignedSlots = new Map<string, number>();
  for (const endpoint of pipe(group, RA.sort(orderById))) {
    const rankedMembers = rankByRendezvous(endpoint.id, members, (member) => member);
    const belowShare = rankedMembers.find(
      (member) => (assignedSlots.get(member) ?? 0) < maxSlotsPerMember,
    );
    const controller = belowShare ?? rankedMembers[0];
    if (controller === undefined) continue;
    assignment.set(endpoint.id, controller);
    assignedSlots.set(controller, (assignedSlots.get(controller) ?? 0) + endpoint.slots);
  }
}
