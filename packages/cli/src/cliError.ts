/** Error that ends the command with an exit code and a message on standard error. */
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
