/** Parses a request body into a submission, or into a problem that describes what is invalid. */
import { createHash } from 'node:crypto';
import { Result } from 'true-myth';
import { Outcomes, readCreationTime } from '@celerybarrow/shared';
import type { Problem, Submission } from '@celerybarrow/protocol';
import { callerSubmissionSchema, type CallerSubmission } from './submissionSchema.js';

/** Length of the digest in base64 characters; 16 characters hold 96 bits. */
const DIGEST_LENGTH = 16;

export type HomeResolver = (id: string) => string | undefined;

/** Parses and validates a body. `findHome` chooses the home of a submission without one. */
export function readSubmission(text: string, findHome: HomeResolver): Result<Submission, Problem> {
  const json = parseJson(text);
  if (json.isErr) return Result.err(invalidSubmission(400, 'Malformed JSON', json.error));
  const parsed = callerSubmissionSchema.safeParse(json.value);
  if (!parsed.success) {
    const issues = parsed.error.issues.map(
      (issue) => `${issue.path.join('.') || 'submission'}: ${issue.message}`,
    );
    return Result.err(invalidSubmission(422, 'Submission not valid', issues.join('; ')));
  }
  return toSubmission(parsed.data, findHome);
}

function toSubmission(
  caller: CallerSubmission,
  findHome: HomeResolver,
): Result<Submission, Problem> {
  const createdAt = readCreationTime(caller.id) ?? caller.createdAt ?? 0;
  const home = caller.home ?? findHome(caller.id);
  if (home === undefined) {
    return Result.err({
      status: 503,
      title: 'No data centre known',
      detail: 'this instance has not yet read the directory; name a home or try again',
      outcome: Outcomes.MAY_HAVE_RUN,
      retryAfterMs: 1_000,
    });
  }
  const tasks = caller.tasks.map((task) => ({
    name: task.name,
    kind: task.kind,
    payload: JSON.stringify(task.payload ?? null),
  }));
  return Result.ok({
    id: caller.id,
    service: caller.service,
    home,
    createdAt,
    ...(caller.deadlineMs === undefined ? {} : { deadlineMs: caller.deadlineMs }),
    digest: computeDigest(caller.service, tasks),
    tasks,
  });
}

function computeDigest(service: string, tasks: Submission['tasks']): string {
  return createHash('sha256')
    .update(JSON.stringify([service, tasks]))
    .digest('base64')
    .slice(0, DIGEST_LENGTH);
}

function parseJson(text: string): Result<unknown, string> {
  try {
    return Result.ok(JSON.parse(text) as unknown);
  } catch (error) {
    return Result.err(error instanceof Error ? error.message : 'not JSON');
  }
}

function invalidSubmission(status: number, title: string, detail: string): Problem {
  return { status, title, detail, outcome: Outcomes.NOT_RUN };
}
