/** Errors of the claims layer; codes 501 to 503. */
import { LayerError } from '@celerybarrow/shared';

export class ClaimError extends LayerError {}
