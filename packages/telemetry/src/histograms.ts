/** Latency histograms, one for each series name; values are whole milliseconds. */
// The library's index loads compression and WebAssembly, which double the start of a process.
import hdrInt32 from 'hdr-histogram-js/dist/Int32Histogram.js';

const Histogram = hdrInt32.default;
type Histogram = InstanceType<typeof Histogram>;

const SMALLEST_MS = 1;
const LARGEST_MS = 600_000;
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

  function find(series: string): Histogram {
    const known = bySeries.get(series);
    if (known !== undefined) return known;
    const created = new Histogram(SMALLEST_MS, LARGEST_MS, SIGNIFICANT_DIGITS);
    bySeries.set(series, created);
    return created;
  }

  return {
    record(series, valueMs) {
      find(series).recordValue(Math.min(LARGEST_MS, Math.max(0, Math.round(valueMs))));
    },
    summarize() {
      return Object.fromEntries([...bySeries].map(([name, one]) => [name, summarizeOne(one)]));
    },
  };
}

function summarizeOne(histogram: Histogram): LatencySummary {
  return {
    count: histogram.totalCount,
    p50Ms: histogram.getValueAtPercentile(50),
    p90Ms: histogram.getValueAtPercentile(90),
    p99Ms: histogram.getValueAtPercentile(99),
    maxMs: histogram.maxValue,
  };
}
