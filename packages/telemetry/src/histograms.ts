/** Latency histograms, one for each series name; values are whole milliseconds. */
import { build, type Histogram } from 'hdr-histogram-js';

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
    const created = build({
      lowestDiscernibleValue: 1,
      highestTrackableValue: LARGEST_MS,
      numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
    });
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
