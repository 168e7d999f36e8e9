export { createJobRun, type JobRun } from './jobRun.js';
export { createJobService, type JobService } from './jobService.js';
export * as problems from './problems.js';
export { createRouter, type Router } from './router.js';
export { createTraces, type Traces } from './traces.js';
