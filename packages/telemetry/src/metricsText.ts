/**
 * Renders the counters and latency summaries in the Prometheus text format. The library is loaded
 * on the first request, so that it does not slow down the start of a process.
 */
import type { Metrics } from './metrics.js';

export interface MetricsText {
  readonly contentType: string;
  readonly text: string;
}

const PERCENTILES = [
  ['0.5', 'p50Ms'],
  ['0.9', 'p90Ms'],
  ['0.99', 'p99Ms'],
] as const;

/**
 * Renders all counters as one metric. A counter name such as `outcome/completed` is split into the
 * labels `event` and `class`.
 */
export async function renderMetrics(metrics: Metrics): Promise<MetricsText> {
  const { Counter, Gauge, Registry } = await import('prom-client');
  const promRegistry = new Registry();
  const registers = [promRegistry];
  const counter = new Counter({
    name: 'celerybarrow_events_total',
    help: 'Events by name and class.',
    labelNames: ['event', 'class'],
    registers,
  });
  const latency = new Gauge({
    name: 'celerybarrow_latency_ms',
    help: 'Latency by what was measured, class and quantile.',
    labelNames: ['measure', 'class', 'quantile'],
    registers,
  });
  const count = new Gauge({
    name: 'celerybarrow_latency_count',
    help: 'Measurements behind each latency.',
    labelNames: ['measure', 'class'],
    registers,
  });
  for (const [name, value] of Object.entries(metrics.counters())) {
    const [event, label] = splitName(name);
    counter.inc({ event, class: label }, value);
  }
  for (const [name, summary] of Object.entries(metrics.histograms.summarize())) {
    const [measure, label] = splitName(name);
    count.set({ measure, class: label }, summary.count);
    for (const [quantile, field] of PERCENTILES) {
      latency.set({ measure, class: label, quantile }, summary[field]);
    }
  }
  return { contentType: promRegistry.contentType, text: await promRegistry.metrics() };
}

function splitName(name: string): [string, string] {
  const [first = '', ...rest] = name.split('/');
  return [first, rest.join('/')];
}
