/** Errors of the protocol between instances; error codes 101 to 108. */
import { ErrorCodes, LayerError } from '@celerybarrow/shared';

export class ProtocolError extends LayerError {
  /** Whether the request was certainly not sent, so the peer cannot have received it. */
  get isUnsent(): boolean {
    return (
      this.code === ErrorCodes.PEER_UNREACHABLE ||
      this.code === ErrorCodes.PEER_BUSY ||
      this.code === ErrorCodes.VERSION_MISMATCH ||
      this.code === ErrorCodes.PEER_REPLACED
    );
  }
}
