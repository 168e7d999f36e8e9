/**
 * Views, and the fencing token of each view. A view names the dispatcher of a shard and is ordered by
 * epoch, then by round. The token rises with the epoch and, while the store is unreachable, with the
 * round. Two disconnected instances that start the same round get different tokens, so an endpoint
 * obeys only one of them.
 */
import { rendezvousWeight } from '@celerybarrow/shared';
import { viewSchema, type View } from '@celerybarrow/protocol';

const ROUNDS_PER_EPOCH = 1_024;
const FENCES_PER_ROUND = 1_024;

/** Returns the fencing token of all orders under a view; unique for each view. */
export function fenceOf(view: View): number {
  const base = (view.epoch * ROUNDS_PER_EPOCH + view.round) * FENCES_PER_ROUND;
  if (view.round === 0) return base;
  return (
    base +
    1 +
    (rendezvousWeight(String(view.round), view.dispatcher.incarnation) % (FENCES_PER_ROUND - 1))
  );
}

/** Whether a view has a higher fencing token than another one; true if there is no other. */
export function isNewer(view: View, than: View | undefined): boolean {
  return than === undefined || fenceOf(view) > fenceOf(than);
}

/** Parses a stored view; returns undefined if the text is malformed. */
export function parseView(text: string): View | undefined {
  try {
    return viewSchema.safeParse(JSON.parse(text)).data;
  } catch {
    return undefined;
  }
}
