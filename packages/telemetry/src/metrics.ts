/** Counters and timings for the status page; also sent to StatsD when an address is configured. */
import { StatsD } from 'hot-shots';
import { createHistograms, type Histograms } from './histograms.js';

export interface Metrics {
  increment(name: string, by?: number): void;
  /** Records a latency in milliseconds under a name and a series, for example a team. */
  time(name: string, series: string, valueMs: number): void;
  counters(): Record<string, number>;
  readonly histograms: Histograms;
  close(): void;
}

export interface MetricsOptions {
  /** Host and port of the StatsD server; when unset, nothing is sent. */
  readonly statsd?: { readonly host: string; readonly port: number };
}

export function createMetrics(options: MetricsOptions = {}): Metrics {
  const totals = new Map<string, number>();
  const histograms = createHistograms();
  const client = options.statsd && createClient(options.statsd.host, options.statsd.port);

  return {
    histograms,
    increment(name, by = 1) {
      totals.set(name, (totals.get(name) ?? 0) + by);
      client?.increment(name, by);
    },
    time(name, series, valueMs) {
      histograms.record(`${name}/${series}`, valueMs);
      client?.timing(name, valueMs, [`series:${series}`]);
    },
    counters: () => Object.fromEntries([...totals].sort(([a], [b]) => a.localeCompare(b))),
    close() {
      client?.close();
    },
  };
}

function createClient(host: string, port: number): StatsD {
  return new StatsD({
    host,
    port,
    prefix: 'celerybarrow.',
    maxBufferSize: 1_400,
    errorHandler: () => undefined,
  });
}
