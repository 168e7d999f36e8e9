/**
 * Estimates the run time of each task kind on an endpoint of speed 1 from recorded runs. The
 * declared time is only the initial value. Geometric means limit the effect of stragglers on the
 * estimate.
 */
const MIN_SAMPLES = 20;
const SMOOTHING = 0.02;

export interface ServiceTimes {
  /** Returns the expected run time at speed 1, in milliseconds. */
  estimateRunMs(service: string, kind: string, declaredMs: number): number;
  /** Whether enough runs were recorded for an estimate without the declared time. */
  hasEnoughSamples(service: string, kind: string): boolean;
  recordRun(service: string, kind: string, ranMs: number): void;
  /** Returns the estimates in milliseconds by `SERVICE/KIND`. */
  entries(): Record<string, number>;
}

interface Estimate {
  logMs: number;
  samples: number;
}

export function createServiceTimes(): ServiceTimes {
  const estimates = new Map<string, Estimate>();

  return {
    estimateRunMs(service, kind, declaredMs) {
      const estimate = estimates.get(`${service}/${kind}`);
      if (estimate === undefined) return declaredMs;
      // The weight of the declared time decreases with every sample.
      const confidence = Math.min(1, estimate.samples / MIN_SAMPLES);
      return Math.exp(confidence * estimate.logMs + (1 - confidence) * Math.log(declaredMs));
    },
    hasEnoughSamples: (service, kind) =>
      (estimates.get(`${service}/${kind}`)?.samples ?? 0) >= MIN_SAMPLES,
    recordRun(service, kind, ranMs) {
      const key = `${service}/${kind}`;
      const estimate = estimates.get(key) ?? { logMs: 0, samples: 0 };
      estimate.samples += 1;
      const weight = Math.max(SMOOTHING, 1 / estimate.samples);
      estimate.logMs += weight * (Math.log(Math.max(1, ranMs)) - estimate.logMs);
      estimates.set(key, estimate);
    },
    entries: () =>
      Object.fromEntries([...estimates].map(([key, estimate]) => [key, Math.exp(estimate.logMs)])),
  };
}
