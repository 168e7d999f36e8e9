/** An error that ends the command with an exit code and one line for the operator. */
import type { ExitCode } from './exitCodes.js';

export class CliError extends Error {
  constructor(
    readonly exitCode: ExitCode,
    message: string,
  ) {
    super(message);
    this.name = 'CliError';
  }
}
