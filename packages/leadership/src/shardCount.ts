/**
 * Agrees on the number of shards. The first instance that finds no number in the store writes one
 * that fits the instances registered so far; a compare-and-swap lets exactly one writer succeed.
 */
import { z } from 'zod';
import type { TimerService } from '@celerybarrow/timer';
import type { Entry, Store } from '@celerybarrow/store';
import type { Logger } from '@celerybarrow/telemetry';
import { countShards } from './shards.js';

export const SHARD_COUNT_KEY = 'celerybarrow/shards';

/** Quiet period: the wait for members ends when no instance has registered for this long. */
const QUIET_PERIOD_MS = 600;
/** Upper bound of the wait, for instances that keep registering. */
const MAX_MEMBER_WAIT_MS = 4_000;
const POLL_INTERVAL_MS = 100;
/** Pause between attempts while the store does not answer. */
const RETRY_MS = 150;

/** One shard per instance of the largest fleet. Each shard costs every instance a connection. */
const MAX_SHARDS = 1_000;
const MAX_LOGGED_CHARACTERS = 100;

const shardsSchema = z.object({ shards: z.number().int().positive().max(MAX_SHARDS) });

export interface ShardCountOptions {
  readonly store: Store;
  readonly timer: TimerService;
  readonly logger: Logger;
  /** Returns the number of known running instances, including this one. */
  readonly instances: () => number;
  /** Returns the shard count received from the store watch; undefined if none was received yet. */
  readonly watchedCount: () => number | undefined;
  readonly signal: AbortSignal;
}

/** Resolves to the number of shards, or to undefined if the signal aborts first. */
export async function agreeOnShardCount(options: ShardCountOptions): Promise<number | undefined> {
  const { store, timer, logger, signal } = options;
  await waitForMembers(options);
  while (!signal.aborted) {
    const watchedCount = options.watchedCount();
    if (watchedCount !== undefined) return watchedCount;
    const read = await store.get(SHARD_COUNT_KEY);
    if (read.isOk && read.value !== undefined) {
      const stored = parseShardCount(read.value);
      if (stored !== undefined) return stored;
      logger.error('Number of shards cannot be read.', {
        text: read.value.value.slice(0, MAX_LOGGED_CHARACTERS),
      });
    } else if (read.isOk) {
      const shards = countShards(options.instances());
      const written = await store.compareAndSwap(SHARD_COUNT_KEY, 0, JSON.stringify({ shards }));
      if (written.isOk) {
        logger.info('Number of shards was written to the store.', {
          shards,
          instances: options.instances(),
        });
        return shards;
      }
    }
    await timer.sleep(RETRY_MS, signal);
  }
  return undefined;
}

/** Waits until instances that start together have registered, or the shard count is known. */
async function waitForMembers({
  timer,
  instances,
  watchedCount,
  signal,
}: ShardCountOptions): Promise<void> {
  const startedMs = timer.nowMs();
  let lastGrowthMs = startedMs;
  let maxCount = instances();
  while (!signal.aborted && watchedCount() === undefined) {
    await timer.sleep(POLL_INTERVAL_MS, signal);
    const nowMs = timer.nowMs();
    const count = instances();
    if (count > maxCount) lastGrowthMs = nowMs;
    maxCount = Math.max(maxCount, count);
    if (nowMs - lastGrowthMs >= QUIET_PERIOD_MS || nowMs - startedMs >= MAX_MEMBER_WAIT_MS) return;
  }
}

/** Parses the stored shard count; returns undefined if the entry is malformed. */
export function parseShardCount(entry: Entry): number | undefined {
  try {
    return shardsSchema.safeParse(JSON.parse(entry.value)).data?.shards;
  } catch {
    return undefined;
  }
}
