/**
 * Tracks the speed and failures of one endpoint (outlier detection). An endpoint that fails much
 * more often than the others is ejected for a while. It then returns gradually: it gets one task at
 * a time until several in a row succeed. The thresholds for ejection and return differ
 * (hysteresis), so that the endpoint does not oscillate between the states.
 */
const SPEED_SMOOTHING = 0.03;
const SHORT_TERM_SMOOTHING = 0.2;
/** The short-term estimate replaces the long-term one if they differ by more than a factor of 2. */
const SUDDEN_CHANGE_LOG_RATIO = Math.log(2);
/** An optimistic prior, so that the controller tries a new endpoint before it prefers others. */
const PRIOR_SPEED = 2;
const PRIOR_SAMPLES = 0.5;
const FAILURE_SMOOTHING = 0.15;
const EJECT_FAILURE_RATIO = 0.5;
const CONSECUTIVE_FAILURES_TO_EJECT = 4;
const MAX_PEERS_FAILURE_RATIO = 0.25;
const INITIAL_EJECTION_MS = 5_000;
const MAX_EJECTION_MS = 60_000;
const CONSECUTIVE_SUCCESSES_TO_RETURN = 5;
const MIN_SPEED = 0.02;
const MAX_SPEED = 50;

export const HealthStates = {
  SERVING: 'serving',
  EJECTED: 'ejected',
  RETURNING: 'returning',
} as const;
export type HealthState = (typeof HealthStates)[keyof typeof HealthStates];

export interface EndpointHealth {
  /** Returns the speed relative to the data centre's mean; an optimistic estimate at first. */
  speed(): number;
  /** Returns the exponentially weighted share of failed tasks. */
  failureRatio(): number;
  /** Returns the state at a monotonic time. */
  state(nowMs: number): HealthState;
  /** Records a successful run. Updates the speed estimate if the expected time is known. */
  onSuccess(expectedMs: number | undefined, ranMs: number): void;
  /**
   * Records a failure. `peersFailureRatio` is the median failure ratio of the other endpoints;
   * `canEject` is whether the failure may eject an endpoint that is serving.
   */
  onFailure(nowMs: number, peersFailureRatio: number, canEject: boolean): void;
}

export function createEndpointHealth(): EndpointHealth {
  let logSpeed = Math.log(PRIOR_SPEED);
  let shortTermLogSpeed = logSpeed;
  let samples = 0;
  let failureRatio = 0;
  let consecutiveFailures = 0;
  let consecutiveSuccesses = 0;
  let ejectedUntilMs = 0;
  let ejectionMs = INITIAL_EJECTION_MS;
  let isReturning = false;

  function eject(nowMs: number): void {
    ejectedUntilMs = nowMs + ejectionMs;
    ejectionMs = Math.min(MAX_EJECTION_MS, ejectionMs * 2);
    isReturning = true;
    consecutiveSuccesses = 0;
  }

  function updateSpeed(expectedMs: number, ranMs: number): void {
    samples += 1;
    const weight = Math.max(SPEED_SMOOTHING, 1 / (samples + PRIOR_SAMPLES));
    const observed = Math.log(clamp(expectedMs / Math.max(1, ranMs), MIN_SPEED, MAX_SPEED));
    logSpeed += weight * (observed - logSpeed);
    shortTermLogSpeed += Math.max(SHORT_TERM_SMOOTHING, weight) * (observed - shortTermLogSpeed);
    if (Math.abs(shortTermLogSpeed - logSpeed) > SUDDEN_CHANGE_LOG_RATIO)
      logSpeed = shortTermLogSpeed;
  }

  return {
    speed: () => Math.exp(logSpeed),
    failureRatio: () => failureRatio,
    state(nowMs) {
      if (nowMs < ejectedUntilMs) return HealthStates.EJECTED;
      return isReturning ? HealthStates.RETURNING : HealthStates.SERVING;
    },
    onSuccess(expectedMs, ranMs) {
      if (expectedMs !== undefined) updateSpeed(expectedMs, ranMs);
      failureRatio -= FAILURE_SMOOTHING * failureRatio;
      consecutiveFailures = 0;
      consecutiveSuccesses += 1;
      if (isReturning && consecutiveSuccesses >= CONSECUTIVE_SUCCESSES_TO_RETURN) {
        isReturning = false;
        failureRatio = 0;
        ejectionMs = INITIAL_EJECTION_MS;
      }
    },
    onFailure(nowMs, peersFailureRatio, canEject) {
      failureRatio += FAILURE_SMOOTHING * (1 - failureRatio);
      consecutiveFailures += 1;
      consecutiveSuccesses = 0;
      const isOutlier = peersFailureRatio < MAX_PEERS_FAILURE_RATIO;
      const isFailing =
        consecutiveFailures >= CONSECUTIVE_FAILURES_TO_EJECT || failureRatio > EJECT_FAILURE_RATIO;
      if (nowMs < ejectedUntilMs) return;
      if (isReturning || (isFailing && isOutlier && canEject)) eject(nowMs);
    },
  };
}

function clamp(value: number, min: number, max: number): number {
  return Math.min(max, Math.max(min, value));
}
