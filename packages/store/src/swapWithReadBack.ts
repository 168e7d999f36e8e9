/**
 * Compare-and-swap that settles a lost answer: after an unknown outcome the key is read back, and
 * the write counts as done when the value there is the one that was written.
 */
import { Result } from 'true-myth';
import { ErrorCodes } from '@celerybarrow/shared';
import type { TimerService } from '@celerybarrow/timer';
import type { Entry, Store } from './store.js';
import { StoreError } from './storeError.js';

const READ_BACK_ATTEMPTS = 5;
const READ_BACK_PAUSE_MS = 200;

/**
 * Writes `value`, which must differ from every value that others may write (it should carry an id
 * of its writer). Fails with PLATFORM_CONFLICT when the write certainly did not take effect, and
 * with PLATFORM_UNKNOWN_OUTCOME when the platform stayed away during every read.
 */
export async function swapWithReadBack(
  platform: Store,
  timer: TimerService,
  key: string,
  expectedRevision: number,
  value: string,
): Promise<Result<Entry, StoreError>> {
  const written = await platform.compareAndSwap(key, expectedRevision, value);
  if (written.isOk) return written;
  if (written.error.code !== ErrorCodes.PLATFORM_UNKNOWN_OUTCOME) return written;
  return readBack(platform, timer, key, expectedRevision, value);
}

async function readBack(
  platform: Store,
  timer: TimerService,
  key: string,
  expectedRevision: number,
  value: string,
): Promise<Result<Entry, StoreError>> {
  for (let attempt = 0; attempt < READ_BACK_ATTEMPTS; attempt += 1) {
    const found = await platform.get(key);
    if (found.isErr) {
      await timer.sleep(READ_BACK_PAUSE_MS);
      continue;
    }
    const entry = found.value;
    if (entry?.value === value) return Result.ok(entry);
    const revision = entry?.revision ?? 0;
    if (revision !== expectedRevision)
      return Result.err(new StoreError(ErrorCodes.PLATFORM_CONFLICT));
    // The first request may still be under way, so it is raced with the same expected revision.
    const again = await platform.compareAndSwap(key, expectedRevision, value);
    if (again.isOk) return again;
  }
  return Result.err(new StoreError(ErrorCodes.PLATFORM_UNKNOWN_OUTCOME, key));
}
