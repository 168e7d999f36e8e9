/** Errors of the connections to endpoints; codes 604 and 605. */
import { LayerError } from '@celerybarrow/shared';

export class EndpointError extends LayerError {}
