/**
 * Estimates the clock of an endpoint from the readings in its answers. A reading is at least as old
 * as the answer that carries it, so the estimate never runs ahead of the endpoint's clock. That is
 * the safe direction both for requesting a lease (it ends no later than requested) and for
 * concluding that a lease has ended. The local clock is the monotonic one: a suspension of the
 * machine makes it late, and a step of the wall clock does not move it.
 */

/** Rate of the slowest clock that the platform allows, which runs 2% slow. */
const SLOWEST_RATE = 0.98;

export interface EndpointClock {
  /** Adds a reading that was received at `receivedMs` on the local monotonic clock. */
  read(clockMs: number, receivedMs: number): void;
  /** Returns a time that the endpoint's clock has reached; undefined before the first reading. */
  lowerBoundMs(nowMs: number): number | undefined;
  /** Drops the readings, for a new incarnation of the endpoint. */
  reset(): void;
}

export function createEndpointClock(): EndpointClock {
  let clockMs: number | undefined;
  let receivedMs = 0;

  function reachedMs(nowMs: number): number | undefined {
    return clockMs === undefined ? undefined : clockMs + (nowMs - receivedMs) * SLOWEST_RATE;
  }

  return {
    read(reading, atMs) {
      if (reading < (reachedMs(atMs) ?? -Infinity)) return;
      clockMs = reading;
      receivedMs = atMs;
    },
    lowerBoundMs: reachedMs,
    reset() {
      clockMs = undefined;
    },
  };
}
