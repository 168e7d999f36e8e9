/**
 * Base class of the errors of each layer. A layer does not pass on errors of a lower layer; it
 * wraps them as `cause` of an error with its own code.
 */
import { errorMessages, type ErrorCode } from './errorCodes.js';

export abstract class LayerError extends Error {
  readonly code: ErrorCode;

  constructor(code: ErrorCode, detail?: string, cause?: unknown) {
    const message = errorMessages[code];
    super(detail === undefined ? message : `${message}: ${detail}`, { cause });
    this.code = code;
    this.name = new.target.name;
  }
}

/** Returns the message of a thrown value of any type. */
export function describeError(error: unknown): string {
  return error instanceof Error ? error.message : String(error);
}
