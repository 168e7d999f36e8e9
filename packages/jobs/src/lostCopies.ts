/**
 * The copies of a submission that were sent without a reply. A copy that was held up in a cut
 * connection still arrives after the cut, also when its sender has closed the connection, and its
 * receiver may then start the job. Until that is ruled out, no answer may state that the job has
 * not run.
 */
import { Outcomes } from '@celerybarrow/shared';
import type { Answer, Member } from '@celerybarrow/protocol';

export interface LostCopies {
  add(receiver: Member): void;
  /** Returns the answer, with may-have-run in place of not-run while a copy may still arrive. */
  qualify(answer: Answer): Answer;
}

export function createLostCopies(hasEnded: (receiver: Member) => boolean): LostCopies {
  const receivers = new Map<string, Member>();

  return {
    add(receiver) {
      receivers.set(receiver.incarnation, receiver);
    },
    qualify(answer) {
      if (!('problem' in answer) || answer.problem.outcome !== Outcomes.NOT_RUN) return answer;
      if ([...receivers.values()].every(hasEnded)) return answer;
      return { ...answer, problem: { ...answer.problem, outcome: Outcomes.MAY_HAVE_RUN } };
    },
  };
}
