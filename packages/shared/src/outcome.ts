/** What is known of a submission's tasks when its answer is not complete. */
export const Outcomes = {
  /** Nothing ran, and nothing will, behind this submission. */
  NOT_RUN: 'not-run',
  /** Some task may have started; the answer is not known. */
  MAY_HAVE_RUN: 'may-have-run',
  /** Some task started, and the job is finally failed. */
  FAILED: 'failed',
} as const;

export type Outcome = (typeof Outcomes)[keyof typeof Outcomes];
