/**
 * Logs malformed entries of the store. A malformed entry stays in the store and is read again with
 * every list, so each fault is logged once until the entry changes, in a line of bounded length.
 */
import type { Logger } from '@celerybarrow/telemetry';

const MAX_LOGGED_KEYS = 1_000;
const MAX_KEY_CHARACTERS = 100;
const MAX_FAULT_CHARACTERS = 200;

export interface FaultLog {
  /**
   * Logs the first fault of an entry, unless it is the one logged last. An empty list means that the
   * entry is well-formed again, so that its next fault is logged.
   */
  record(key: string, faults: readonly string[]): void;
}

export function createFaultLog(logger: Logger, sentence: string): FaultLog {
  const logged = new Map<string, string>();

  return {
    record(key, faults) {
      const name = key.slice(0, MAX_KEY_CHARACTERS);
      const fault = faults[0]?.slice(0, MAX_FAULT_CHARACTERS);
      if (fault === undefined) {
        logged.delete(name);
        return;
      }
      if (logged.get(name) === fault || (!logged.has(name) && logged.size >= MAX_LOGGED_KEYS))
        return;
      logged.set(name, fault);
      logger.warn(sentence, { key: name, fault, faults: faults.length });
    },
  };
}
