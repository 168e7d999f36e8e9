export { ConfigurationError } from './configurationError.js';
export { createActiveConfiguration, type ActiveConfiguration } from './activeConfiguration.js';
export {
  compareConfigurations,
  createNextConfiguration,
  findConflicts,
  isEmptyDifference,
  type Difference,
  type NamedService,
} from './mergeServices.js';
export { publish, type Publication, type PublishOptions } from './publish.js';
export {
  CONFIGURATION_KEY,
  decodeConfiguration,
  readPublished,
  type PublishedConfiguration,
} from './published.js';
export { readServiceFile, type FileIssue, type SourceText } from './readServiceFile.js';
export {
  MAX_TASKS_PER_JOB,
  type Configuration,
  type ServiceFile,
  type ServiceLimits,
  type TaskKind,
  type TeamQuota,
} from './schema.js';
