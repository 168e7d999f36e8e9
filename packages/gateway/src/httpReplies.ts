/** Sends JSON answers and problem details (RFC 9457) to callers. */
import type { ServerResponse } from 'node:http';
import type { Answer, Problem } from '@celerybarrow/protocol';

export function sendAnswer(response: ServerResponse, answer: Answer): void {
  if ('problem' in answer) {
    sendProblem(response, answer.problem, answer.id);
    return;
  }
  sendText(response, 200, 'application/json', encodeComplete(answer));
}

/**
 * Encodes the answer of a completed job. Bodies are already JSON text and are inserted unchanged.
 */
function encodeComplete({ id, answers }: Extract<Answer, { answers: unknown }>): string {
  const items = answers.map(
    (taskAnswer) => `{"name":${JSON.stringify(taskAnswer.name)},"body":${taskAnswer.body}}`,
  );
  return `{"id":${JSON.stringify(id)},"outcome":"complete","answers":[${items.join(',')}]}`;
}

export function sendProblem(response: ServerResponse, problem: Problem, id?: string): void {
  const { retryAfterMs, ...members } = problem;
  if (retryAfterMs !== undefined) {
    response.setHeader('retry-after', String(Math.max(1, Math.ceil(retryAfterMs / 1_000))));
  }
  const body = JSON.stringify({
    type: 'about:blank',
    ...members,
    ...(id === undefined ? {} : { id }),
  });
  sendText(response, problem.status, 'application/problem+json', body);
}

export function sendJson(response: ServerResponse, status: number, body: unknown): void {
  sendText(response, status, 'application/json', JSON.stringify(body));
}

export function sendText(
  response: ServerResponse,
  status: number,
  contentType: string,
  text: string,
): void {
  if (response.destroyed || response.headersSent) return;
  response.writeHead(status, {
    'content-type': contentType,
    'content-length': Buffer.byteLength(text),
  });
  response.end(text);
}
