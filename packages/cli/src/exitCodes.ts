/** Exit codes of `celerybarrow`, documented in docs/operators/command-line.md. */
import { Outcomes, type Outcome } from '@celerybarrow/shared';

export const ExitCodes = {
  DONE: 0,
  FAILED: 1,
  BAD_ARGUMENTS: 2,
  NOT_RUN: 3,
  MAY_HAVE_RUN: 4,
  CONFLICT: 5,
  UNREACHABLE: 6,
} as const;
export type ExitCode = (typeof ExitCodes)[keyof typeof ExitCodes];

/** Returns the exit code for the outcome of a job that did not complete. */
export function exitCodeOf(outcome: Outcome): ExitCode {
  switch (outcome) {
    case Outcomes.NOT_RUN:
      return ExitCodes.NOT_RUN;
    case Outcomes.MAY_HAVE_RUN:
      return ExitCodes.MAY_HAVE_RUN;
    case Outcomes.FAILED:
      return ExitCodes.FAILED;
  }
}
