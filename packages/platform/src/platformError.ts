/** Errors of the platform layer; codes 201 to 204. */
import { LayerError } from '@celerybarrow/shared';

export class PlatformError extends LayerError {}
