/** Errors of the configuration layer; codes 301 to 303. */
import { LayerError } from '@celerybarrow/shared';

export class ConfigurationError extends LayerError {}
