/** Errors of the platform layer, with codes 201 to 205. */
import { LayerError } from '@celerybarrow/shared';

export class StoreError extends LayerError {}
