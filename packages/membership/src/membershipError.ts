/** Errors of the membership layer; codes 401 to 403. */
import { LayerError } from '@celerybarrow/shared';

export class MembershipError extends LayerError {}
