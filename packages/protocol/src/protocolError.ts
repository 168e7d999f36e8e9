/** Errors of the protocol between instances; codes 101 to 108. */
import { ErrorCodes, LayerError } from '@celerybarrow/shared';

export class ProtocolError extends LayerError {
  /** Whether it is certain that the peer never received the request. */
  get isUnsent(): boolean {
    return (
      this.code === ErrorCodes.PEER_UNREACHABLE ||
      this.code === ErrorCodes.PEER_BUSY ||
      this.code === ErrorCodes.PEER_REPLACED
    );
  }
}
