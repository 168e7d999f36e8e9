/** What is known about the tasks of a submission that has not completed. */
export const Outcomes = {
  /** No task of this submission ran, and none will run. */
  NOT_RUN: 'not-run',
  /** At least one task may have started; the result is not known. */
  MAY_HAVE_RUN: 'may-have-run',
  /** At least one task started, and the job has failed permanently. */
  FAILED: 'failed',
} as const;

export type Outcome = (typeof Outcomes)[keyof typeof Outcomes];
