/** Errors of the placement layer; codes 601 to 603. */
import { ErrorCodes, LayerError } from '@celerybarrow/shared';

export class PlacementError extends LayerError {
  /** Whether it is proven that the endpoint did not start the task. */
  get isNotStarted(): boolean {
    return (
      this.code === ErrorCodes.ENDPOINT_REFUSED || this.code === ErrorCodes.ENDPOINT_UNREACHABLE
    );
  }
}
