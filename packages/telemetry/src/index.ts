export { createHistograms, type Histograms, type LatencySummary } from './histograms.js';
export {
  createLogBuffer,
  createLogger,
  routeLogs,
  withContext,
  type LogBuffer,
  type LogContext,
  type Logger,
} from './logger.js';
export { createMetrics, type Metrics, type MetricsOptions } from './metrics.js';
export { renderMetrics, type MetricsText } from './metricsText.js';
