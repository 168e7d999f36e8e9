/**
 * Selects another endpoint for a task that would slow down its neighbours, or be slowed down, on the
 * endpoint that `chooseEndpoint` returned.
 *
 * Load pattern: some tasks take half as long again beside certain others, while endpoints without
 * them are free. Only the choice among endpoints with free capacity changes: a task that may start
 * starts now, on the usual endpoint if the others are no better.
 */
import {
  expectedRunMs,
  hasCapacityFor,
  isEligible,
  maxRunMsOf,
  safeRunMsOf,
  type Candidate,
  type PlacementRequest,
} from './chooseEndpoint.js';
import type { PlannedStart } from './placeTasks.js';

/** Maximum number of alternatives to compare. It bounds the cost of the decision on a large pool. */
const MAX_ALTERNATIVES = 48;

/** The choice of another endpoint than the usual one. */
export interface Relocation<T extends Candidate = Candidate> {
  readonly candidate: T;
  /** The endpoint that the task would usually start on, and the expected loss there and here. */
  readonly usual: string;
  readonly usualLossMs: number;
  readonly lossMs: number;
}

/**
 * Returns a candidate on which the loss is smaller; undefined to keep the usual one. `extraMs` returns
 * the expected loss on an endpoint, for the new task and for those beside it.
 */
export function quieterEndpoint<T extends Candidate>(
  candidates: readonly T[],
  request: PlacementRequest,
  usual: T,
  extraMs: (endpoint: string, runMs: number) => number,
): Relocation<T> | undefined {
  const usualRunMs = expectedRunMs(usual, request);
  const usualLossMs = extraMs(usual.entry.id, usualRunMs);
  if (usualLossMs <= 0) return undefined;
  const safeRunMs = safeRunMsOf(request);
  const maxRunMs = Math.max(usualRunMs, maxRunMsOf(request));
  // Among candidates on which the task ends well in time despite the loss, the slower one is
  // preferred, as usual. The loss counts against it.
  const rank = (runMs: number, lossMs: number) =>
    runMs + lossMs <= safeRunMs
      ? { isSafe: true, scoreMs: runMs - lossMs }
      : { isSafe: false, scoreMs: -runMs - lossMs };
  let best = { ...rank(usualRunMs, usualLossMs), candidate: usual, lossMs: usualLossMs };
  const first = candidates.indexOf(usual) + 1;
  const count = Math.min(candidates.length - 1, MAX_ALTERNATIVES);
  for (let offset = 0; offset < count; offset += 1) {
    const candidate = candidates[(first + offset) % candidates.length];
    if (candidate === undefined) break;
    if (
      !hasCapacityFor(candidate.room, request.step.demand) ||
      !isEligible(candidate.entry, request)
    )
      continue;
    const runMs = expectedRunMs(candidate, request);
    if (runMs > maxRunMs) continue;
    const lossMs = extraMs(candidate.entry.id, runMs);
    if (lossMs >= usualLossMs) continue;
    const { isSafe, scoreMs } = rank(runMs, lossMs);
    if (isSafe === best.isSafe ? scoreMs > best.scoreMs : isSafe) {
      best = { isSafe, scoreMs, candidate, lossMs };
    }
  }
  if (best.candidate === usual) return undefined;
  return { candidate: best.candidate, usual: usual.entry.id, usualLossMs, lossMs: best.lossMs };
}

/** Describes for the log which tasks were kept away from which endpoint; undefined if none was. */
export function describeRelocations(starts: readonly PlannedStart[]): string | undefined {
  const moved = starts.flatMap(({ task, relocation }) => {
    if (relocation === undefined) return [];
    const { usual, usualLossMs, lossMs } = relocation;
    const losses = `${Math.round(usualLossMs)}>${Math.round(lossMs)}ms`;
    return [`${task.ref.step}/${task.ref.index}@${usual} ${losses}`];
  });
  return moved.length === 0 ? undefined : moved.join(' ');
}
