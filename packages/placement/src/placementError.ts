/** Errors of the placement layer, with codes 601 to 603. */
import { ErrorCodes, LayerError } from '@celerybarrow/shared';

export class PlacementError extends LayerError {
  /** Whether the error proves that the endpoint did not start the task. */
  get isNotStarted(): boolean {
    return (
      this.code === ErrorCodes.ENDPOINT_REFUSED || this.code === ErrorCodes.ENDPOINT_UNREACHABLE
    );
  }
}
