/**
 * Decides about a request that arrives on a connection with open requests. Handles clients that
 * pipeline very many requests or do not read the responses: a single read of 64 KB can contain more
 * than two thousand requests, which Node.js emits at once.
 */
import type { IngressLimits } from './ingressLimits.js';

export const PipelineDecisions = {
  RUN: 'run',
  /** The request waits until an earlier one has its response, and reading pauses. */
  WAIT: 'wait',
  CLOSE: 'close',
} as const;
export type PipelineDecision = (typeof PipelineDecisions)[keyof typeof PipelineDecisions];

export interface PipelineLoad {
  readonly runningRequests: number;
  /** Running and waiting ones, with the new request. */
  readonly openRequests: number;
  /** Bytes of responses that the client has not taken. */
  readonly unsentBytes: number;
}

export function decidePipelined(
  load: PipelineLoad,
  limits: Pick<IngressLimits, 'runningRequests' | 'openRequests' | 'unsentBytes'>,
): PipelineDecision {
  if (load.openRequests > limits.openRequests) return PipelineDecisions.CLOSE;
  if (load.unsentBytes > limits.unsentBytes) return PipelineDecisions.CLOSE;
  if (load.runningRequests >= limits.runningRequests) return PipelineDecisions.WAIT;
  return PipelineDecisions.RUN;
}
