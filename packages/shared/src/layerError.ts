/**
 * Base class of the errors of each layer. A layer never lets an error of a lower layer through;
 * it wraps it as `cause` under a code of its own.
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

/** The message of anything that was thrown. */
export function describeError(error: unknown): string {
  return error instanceof Error ? error.message : String(error);
}
