/** The controller's state of an endpoint: its busy slots and its health. */
import type { Endpoint } from './endpointDirectory.js';
import { createEndpointHealth, HealthStates, type EndpointHealth } from './endpointHealth.js';

/** Slots that an endpoint may use while it returns from an ejection. */
const SLOTS_WHILE_RETURNING = 1;

export interface EndpointState {
  readonly endpoint: Endpoint;
  readonly health: EndpointHealth;
  /** Returns the number of slots on which a task can start now. */
  freeSlots(): number;
  /** Returns the number of slots, busy or free, that the health state allows. */
  usableSlots(): number;
  /** Returns the number of busy slots divided by the number of all slots. */
  utilization(): number;
  busySlots(): number;
  onStart(): void;
  onEnd(): void;
  /** Pauses the endpoint after a refusal, because others use some of its slots for a while. */
  onRefusal(): void;
}

export interface EndpointStateOptions {
  readonly endpoint: Endpoint;
  readonly health?: EndpointHealth;
  readonly nowMs: () => number;
}

/** How long an endpoint gets no tasks after a refusal or a failed connection. */
const REFUSAL_PAUSE_MS = 50;

export function createEndpointState(options: EndpointStateOptions): EndpointState {
  const { endpoint, nowMs } = options;
  const health = options.health ?? createEndpointHealth();
  let busy = 0;
  let pausedUntilMs = 0;

  function usableSlots(): number {
    const state = health.state(nowMs());
    if (state === HealthStates.EJECTED) return 0;
    return state === HealthStates.RETURNING ? SLOTS_WHILE_RETURNING : endpoint.slots;
  }

  return {
    endpoint,
    health,
    usableSlots,
    freeSlots: () => (nowMs() < pausedUntilMs ? 0 : Math.max(0, usableSlots() - busy)),
    utilization: () => busy / endpoint.slots,
    busySlots: () => busy,
    onStart() {
      busy += 1;
    },
    onEnd() {
      busy -= 1;
    },
    onRefusal() {
      pausedUntilMs = nowMs() + REFUSAL_PAUSE_MS;
    },
  };
}
