import { createServer } from 'node:http';
import { once } from 'node:events';
import { afterEach, describe, it } from 'node:test';
import type { IncomingMessage, ServerResponse } from 'node:http';
import { expect } from 'earl';
import { createEndpointClient } from '../src/index.js';

type Answer = (request: IncomingMessage, response: ServerResponse) => void;

interface AnswerCase {
  readonly behaviour: string;
  readonly answer: Answer;
  /** What is known of the task. */
  readonly expected: 'done' | 'not started' | 'may have started';
}

const json =
  (status: number, body: unknown, headers = {}): Answer =>
  (_request, response) => {
    response.writeHead(status, headers).end(JSON.stringify(body));
  };

const answerCases: AnswerCase[] = [
  { behaviour: 'answers', answer: json(200, { body: { a: [1] } }), expected: 'done' },
  { behaviour: 'answers null', answer: json(200, { body: null }), expected: 'done' },
  {
    behaviour: 'refuses by its guard',
    answer: json(503, {}, { 'celerybarrow-not-started': '1' }),
    expected: 'not started',
  },
  {
    behaviour: 'fails with 503 but not by its guard',
    answer: json(503, {}),
    expected: 'may have started',
  },
  { behaviour: 'fails', answer: json(500, {}), expected: 'may have started' },
  {
    behaviour: 'answers without JSON',
    answer: (_request, response) => response.end('<html>'),
    expected: 'may have started',
  },
  { behaviour: 'answers a list', answer: json(200, [1]), expected: 'may have started' },
  {
    behaviour: 'drops the connection',
    answer: (request) => request.socket.destroy(),
    expected: 'may have started',
  },
  {
    behaviour: 'ends in the middle of its answer',
    answer: (_request, response) => {
      response.writeHead(200, { 'content-length': 100 }).write('{"body":');
      setTimeout(() => response.destroy(), 10);
    },
    expected: 'may have started',
  },
];

const closers: (() => Promise<unknown>)[] = [];

afterEach(async () => {
  for (const close of closers.splice(0)) await close();
});

function runTask(address: string) {
  const client = createEndpointClient();
  closers.push(() => client.close());
  return client.run({
    address,
    job: 'j',
    task: 't',
    kind: 'k',
    payload: '{"x":1}',
    startBefore: 1,
    timeoutMs: 500,
  });
}

describe('the endpoint client', () => {
  for (const { behaviour, answer, expected } of answerCases) {
    it(`knows a task as ${expected} when the endpoint ${behaviour}`, async () => {
      const server = createServer(answer);
      server.listen(0, '127.0.0.1');
      await once(server, 'listening');
      closers.push(() => once(server.close(), 'close'));
      const bound = server.address();
      const port = typeof bound === 'object' && bound !== null ? bound.port : 0;
      const result = await runTask(`127.0.0.1:${port}`);
      const known = result.isOk
        ? 'done'
        : result.error.isNotStarted
          ? 'not started'
          : 'may have started';
      expect(known).toEqual(expected);
    });
  }

  it('knows that nothing started when nobody listens', async () => {
    const result = await runTask('127.0.0.1:1');
    expect(result.isErr && result.error.isNotStarted).toEqual(true);
  });
});
