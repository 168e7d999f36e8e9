/**
 * Creates the problems (RFC 9457) that a submission can end with, one function per cause. The
 * outcome states what is known about the tasks: see `Outcomes`.
 */
import { Outcomes, type Outcome } from '@celerybarrow/shared';
import type { Answer, Problem } from '@celerybarrow/protocol';
import { RefusalReasons, type Refusal } from '@celerybarrow/admission';

const UNAVAILABLE_RETRY_MS = 1_000;

function problem(
  status: number,
  title: string,
  detail: string,
  outcome: Outcome,
  retryAfterMs?: number,
): Problem {
  return {
    status,
    title,
    detail,
    outcome,
    ...(retryAfterMs === undefined ? {} : { retryAfterMs }),
  };
}

export function unknownService(service: string): Problem {
  return problem(404, 'Unknown service', `no service ${service} is published`, Outcomes.NOT_RUN);
}

export function unknownKind(service: string, kind: string): Problem {
  return problem(422, 'Unknown kind', `service ${service} has no kind ${kind}`, Outcomes.NOT_RUN);
}

export function unknownHome(home: string): Problem {
  return problem(422, 'Unknown home', `there is no data centre ${home}`, Outcomes.NOT_RUN);
}

/** The id was already submitted with other content, so tasks of that id may have run. */
export function contentMismatch(id: string): Problem {
  return problem(
    409,
    'Id in use',
    `job ${id} was submitted with other content`,
    Outcomes.MAY_HAVE_RUN,
  );
}

export function clockAhead(leadMs: number): Problem {
  const detail = `the submission was created ${Math.round(leadMs)} ms in the future; set the clock`;
  return problem(422, 'Clock ahead', detail, Outcomes.NOT_RUN);
}

export function tooOld(ageMs: number): Problem {
  const detail = `the submission is ${Math.round(ageMs / 1_000)} s old, and no record of it is kept`;
  return problem(422, 'Submission too old', detail, Outcomes.MAY_HAVE_RUN);
}

export function recordLost(): Problem {
  const detail = 'the instances that may have run this submission were lost together';
  return problem(503, 'Record lost', detail, Outcomes.MAY_HAVE_RUN);
}

export function runnerLost(instance: string): Problem {
  const detail = `instance ${instance} held the job and ended`;
  return problem(503, 'Instance lost', detail, Outcomes.MAY_HAVE_RUN);
}

export function answerDiscarded(): Problem {
  const detail = 'the job has ended, and its answer is no longer kept';
  return problem(503, 'Answer no longer kept', detail, Outcomes.MAY_HAVE_RUN);
}

export function claimContested(): Problem {
  const detail = 'another instance holds the claim on this submission';
  return problem(503, 'Claim contested', detail, Outcomes.MAY_HAVE_RUN, UNAVAILABLE_RETRY_MS);
}

export function claimNotRegistered(): Problem {
  const detail = 'the claim could not be registered in time';
  return problem(503, 'Not claimed', detail, Outcomes.NOT_RUN, UNAVAILABLE_RETRY_MS);
}

export function homeUnreachable(home: string, outcome: Outcome): Problem {
  const detail = `no owner of this submission in data centre ${home} could be reached`;
  return problem(503, 'Home unreachable', detail, outcome, UNAVAILABLE_RETRY_MS);
}

export function refused(refusal: Refusal): Problem {
  const { reason, retryAfterMs } = refusal;
  switch (reason) {
    case RefusalReasons.TEAM_RATE:
      return problem(
        429,
        'Over quota',
        'the team is over its quota',
        Outcomes.NOT_RUN,
        retryAfterMs,
      );
    case RefusalReasons.SERVICE_RATE:
      return problem(
        429,
        'Over quota',
        'the service is over its rate',
        Outcomes.NOT_RUN,
        retryAfterMs,
      );
    case RefusalReasons.QUEUE_FULL:
      return problem(503, 'Queue full', 'too many tasks wait', Outcomes.NOT_RUN, retryAfterMs);
    case RefusalReasons.DEADLINE:
      return problem(504, 'Deadline too short', 'the job cannot end in time', Outcomes.NOT_RUN);
    case RefusalReasons.NO_ENDPOINT:
      return problem(
        503,
        'No endpoint',
        'no endpoint of the home runs the service',
        Outcomes.NOT_RUN,
        retryAfterMs,
      );
  }
}

export function taskFailed(name: string, detail: string): Problem {
  return problem(502, 'Task failed', `task ${name}: ${detail}`, Outcomes.FAILED);
}

export function tasksLost(count: number, outcome: Outcome): Problem {
  const detail = `an instance ended while it held ${count} of the tasks`;
  return problem(502, 'Tasks lost', detail, outcome);
}

export function deadlinePassed(outcome: Outcome): Problem {
  return problem(504, 'Deadline passed', 'the job did not end before its deadline', outcome);
}

export function cancelled(outcome: Outcome): Problem {
  return problem(409, 'Cancelled', 'the job was cancelled', outcome);
}

export function answerTooLarge(): Problem {
  return problem(
    502,
    'Answer too large',
    'the bodies of the tasks exceed the limit',
    Outcomes.FAILED,
  );
}

export function toAnswer(id: string, cause: Problem): Answer {
  return { id, problem: cause };
}
