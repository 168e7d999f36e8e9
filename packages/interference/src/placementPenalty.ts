/** Expected loss of run time if a task starts beside others. */

/** A run beside which a task may start. */
export interface Neighbour<G> {
  readonly group: G;
  /** Expected time until the run ends. */
  readonly remainingMs: number;
}

/**
 * Returns the expected loss of the new task and of those beside it, in milliseconds of run time. A
 * run loses time only while the other one runs as well. `remainingMsOf` is called for runs with a
 * loss only.
 */
export function placementPenaltyMs<G, R extends { readonly group: G }>(
  neighbours: Iterable<R>,
  group: G,
  runMs: number,
  factorOf: (target: G, neighbour: G) => number,
  remainingMsOf: (neighbour: R) => number,
): number {
  let lossMs = 0;
  for (const neighbour of neighbours) {
    const own = factorOf(group, neighbour.group);
    const others = factorOf(neighbour.group, group);
    if (own === 1 && others === 1) continue;
    lossMs += Math.min(runMs, remainingMsOf(neighbour)) * (own - 1 + others - 1);
  }
  return lossMs;
}
