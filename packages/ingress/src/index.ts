export {
  createGuardedListener,
  type GuardedListener,
  type GuardedListenerOptions,
} from './guardedListener.js';
export type { DocumentOptions, Exchange } from './exchange.js';
export { createIngress, type Ingress, type IngressOptions } from './ingress.js';
export {
  computeIngressLimits,
  limitCallerConnections,
  readIngressLimits,
  type IngressLimits,
  type MachineLimits,
} from './ingressLimits.js';
export { createBoundedLog, type BoundedLog } from './boundedLog.js';
export { Refusals, type Refusal } from './refusals.js';
export { createReadingBudget } from './readingBudget.js';
export { createWorkBudget } from './workBudget.js';
export { createBodyCollector } from './bodyCollector.js';
export { createConnectionLimits } from './connectionLimits.js';
export { findOverdue, OverdueReasons } from './progressLimits.js';
export { decidePipelined, PipelineDecisions } from './pipelineLimits.js';
export { measureDocument, ShapeFaults } from './documentShape.js';
export { createTurnQueue } from './turnQueue.js';
export { createBlockPool } from './blockPool.js';
export { createGarbageBound } from './garbageBound.js';
