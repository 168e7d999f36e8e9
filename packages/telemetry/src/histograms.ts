/** Latency histograms, one for each series name. Values are whole milliseconds. */
// Imports the class directly: the library's index also loads compression and WebAssembly, which
// doubles the start-up time of a process.
import hdrInt32 from 'hdr-histogram-js/dist/Int32Histogram.js';

const Histogram = hdrInt32.default;
type Histogram = InstanceType<typeof Histogram>;

const MIN_VALUE_MS = 1;
const MAX_VALUE_MS = 600_000;
const SIGNIFICANT_DIGITS = 2;

export interface LatencySummary {
  readonly count: number;
  readonly p50Ms: number;
  readonly p90Ms: number;
  readonly p99Ms: number;
  readonly maxMs: number;
}

export interface Histograms {
  record(series: string, valueMs: number): void;
  summarize(): Record<string, LatencySummary>;
}

export function createHistograms(): Histograms {
  const bySeries = new Map<string, Histogram>();

  function findOrCreate(series: string): Histogram {
    const existing = bySeries.get(series);
    if (existing !== undefined) return existing;
    const created = new Histogram(MIN_VALUE_MS, MAX_VALUE_MS, SIGNIFICANT_DIGITS);
    bySeries.set(series, created);
    return created;
  }

  return {
    record(series, valueMs) {
      findOrCreate(series).recordValue(Math.min(MAX_VALUE_MS, Math.max(0, Math.round(valueMs))));
    },
    summarize() {
      return Object.fromEntries(
        [...bySeries].map(([name, histogram]) => [name, summarizeHistogram(histogram)]),
      );
    },
  };
}

function summarizeHistogram(histogram: Histogram): LatencySummary {
  return {
    count: histogram.totalCount,
    p50Ms: histogram.getValueAtPercentile(50),
    p90Ms: histogram.getValueAtPercentile(90),
    p99Ms: histogram.getValueAtPercentile(99),
    maxMs: histogram.maxValue,
  };
}
