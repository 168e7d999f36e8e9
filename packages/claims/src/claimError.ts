/** Errors of the claims layer; codes 501 and 502. */
import { LayerError } from '@celerybarrow/shared';

export class ClaimError extends LayerError {}
