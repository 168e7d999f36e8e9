/**
 * Qualifies the answer to a submission of which an earlier copy got no reply. A copy that was held up
 * in a cut connection still arrives after the cut, also when its sender has closed the connection,
 * and its receiver may then start the job or forward it. Even the end of the receiver's process proves
 * nothing, because it may have forwarded the copy before.
 */
import { Outcomes } from '@celerybarrow/shared';
import type { Answer } from '@celerybarrow/protocol';

export function qualifyAnswer(answer: Answer, mayCopyArrive: boolean): Answer {
  const isNotRun = 'problem' in answer && answer.problem.outcome === Outcomes.NOT_RUN;
  if (!mayCopyArrive || !isNotRun) return answer;
  return { ...answer, problem: { ...answer.problem, outcome: Outcomes.MAY_HAVE_RUN } };
}
