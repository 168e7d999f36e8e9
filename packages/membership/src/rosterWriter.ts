/** Changes the stored roster of this instance's data centre by compare-and-swap. */
import { randomUUID } from 'node:crypto';
import { Result } from 'true-myth';
import { ErrorCodes } from '@celerybarrow/shared';
import type { TimerService } from '@celerybarrow/timer';
import { swapWithReadBack, type Store } from '@celerybarrow/store';
import type { Roster } from '@celerybarrow/protocol';
import { MembershipError } from './membershipError.js';
import { parseRoster, rosterKey, type RosterCache } from './rosterCache.js';
import type { RosterWrite } from './rosterChanges.js';

/** Computes the changed roster; returns its argument when there is nothing to change. */
export type RosterChange = (roster: Roster | undefined, write: RosterWrite) => Roster | undefined;

export interface RosterWriter {
  /**
   * Reads the roster, applies the change and writes the result. Errors: ROSTER_CHANGED when another
   * instance wrote first, ROSTER_UNAVAILABLE when the platform did not answer.
   */
  change(apply: RosterChange): Promise<Result<Roster | undefined, MembershipError>>;
}

export interface RosterWriterOptions {
  readonly platform: Store;
  readonly timer: TimerService;
  readonly rosters: RosterCache;
}

export function createRosterWriter({
  platform,
  timer,
  rosters,
}: RosterWriterOptions): RosterWriter {
  const key = rosterKey(rosters.dataCentre);

  return {
    async change(apply) {
      const found = await platform.get(key);
      if (found.isErr) return unavailable(found.error);
      const entry = found.value;
      const current = entry && parseRoster(entry.value);
      if (current !== undefined) rosters.update(current);
      const next = apply(current, { writeId: randomUUID(), nowMs: timer.wallMs() });
      if (next === undefined || next === current) return Result.ok(current);
      const text = JSON.stringify(next);
      const written = await swapWithReadBack(platform, timer, key, entry?.revision ?? 0, text);
      if (written.isErr) {
        if (written.error.code !== ErrorCodes.PLATFORM_CONFLICT) return unavailable(written.error);
        return Result.err(new MembershipError(ErrorCodes.ROSTER_CHANGED, undefined, written.error));
      }
      rosters.update(next);
      return Result.ok(next);
    },
  };
}

function unavailable(cause: unknown): Result<never, MembershipError> {
  return Result.err(new MembershipError(ErrorCodes.ROSTER_UNAVAILABLE, undefined, cause));
}
