/**
 * The HTTP interface for callers. A submission gets its response when the job has ended. A caller
 * that disconnects does not cancel its job, because it may submit the same id again.
 */
import type { ServerResponse } from 'node:http';
import { once } from 'node:events';
import {
  computeIngressLimits,
  createGuardedListener,
  createIngress,
  readIngressLimits,
  type Exchange,
  type Ingress,
  type Refusal,
} from '@celerybarrow/ingress';
import { bindListener, describeError, Outcomes, type Address } from '@celerybarrow/shared';
import type { Problem, Reply } from '@celerybarrow/protocol';
import type { Router } from '@celerybarrow/jobs';
import type { Logger, Metrics } from '@celerybarrow/telemetry';
import { sendAnswer, sendJson, sendProblem } from './httpReplies.js';
import { readSubmission } from './readSubmission.js';

const MAX_BODY_BYTES = 4 * 1024 * 1024;
const HEADERS_TIMEOUT_MS = 10_000;
const REQUEST_TIMEOUT_MS = 30_000;
const IDLE_TIMEOUT_MS = 15_000;
const MAX_OPEN_REQUESTS = 4_096;
const BUSY_RETRY_MS = 1_000;
const COUNTED_FIELDS = [{ name: 'tasks', depth: 1 }];
const JOB_PATH = /^\/v1\/jobs\/([^/?]+)$/;

export interface Gateway {
  listen(address: Address): Promise<Address>;
  /** Adds `connection: close` to further responses, so that callers close their connections. */
  startDraining(): void;
  /** Stops accepting connections; resolves when every open request has been answered. */
  close(): Promise<void>;
  openRequests(): number;
}

export interface GatewayOptions {
  readonly router: Router;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Limits for callers; by default those of the environment variables. */
  readonly ingress?: Ingress;
}

export function createGateway(options: GatewayOptions): Gateway {
  const { router, logger, metrics } = options;
  const ingress = options.ingress ?? createDefaultIngress(options);
  let openRequestCount = 0;
  let isDraining = false;
  const listener = createGuardedListener({
    ingress,
    name: 'gateway',
    connectionLimit: () => ingress.limits.connections,
    handle: serve,
    sendRefusal: (response, refusal) => {
      sendProblem(response, refused(refusal));
    },
    sendFailure: (response) => {
      sendProblem(response, internalError());
    },
  });
  const { server } = listener;
  server.headersTimeout = HEADERS_TIMEOUT_MS;
  server.requestTimeout = REQUEST_TIMEOUT_MS;
  listener.setTimes({ headMs: HEADERS_TIMEOUT_MS, idleMs: IDLE_TIMEOUT_MS });

  async function serve(exchange: Exchange): Promise<void> {
    const { response } = exchange;
    openRequestCount += 1;
    if (isDraining) response.setHeader('connection', 'close');
    try {
      await route(exchange);
    } catch (error) {
      logger.error('Request failed with an internal error.', { reason: describeError(error) });
      sendProblem(response, internalError());
    } finally {
      openRequestCount -= 1;
    }
  }

  async function route(exchange: Exchange): Promise<void> {
    const { request, response } = exchange;
    const path = new URL(request.url ?? '/', 'http://gateway').pathname;
    if (path === '/v1/jobs' && request.method === 'POST') {
      await submit(exchange);
      return;
    }
    exchange.discardBody();
    const id = parseJobId(path);
    if (id !== undefined && request.method === 'GET') {
      sendStatus(response, id, await router.lookup(id));
    } else if (id !== undefined && request.method === 'DELETE') {
      await cancel(response, id);
    } else {
      sendProblem(response, notFound(`${request.method ?? '?'} ${path}`));
    }
  }

  async function submit({ response, discardBody, readDocument }: Exchange): Promise<void> {
    if (openRequestCount > MAX_OPEN_REQUESTS) {
      discardBody();
      sendProblem(response, tooBusy());
      return;
    }
    const submission = await readDocument({
      maxBytes: MAX_BODY_BYTES,
      withinMs: REQUEST_TIMEOUT_MS,
      countedFields: COUNTED_FIELDS,
      maxItems: ingress.limits.steps,
      parse: (text) => readSubmission(text, (id) => router.findHome(id)),
    });
    if (submission === undefined) return;
    if (submission.isErr) {
      metrics.increment('gateway.bad-input');
      sendProblem(response, submission.error);
      return;
    }
    sendAnswer(response, await router.submit(submission.value));
  }

  async function cancel(response: ServerResponse, id: string): Promise<void> {
    const isFound = await router.cancel(id);
    if (isFound) sendJson(response, 202, { id, cancelled: true });
    else sendProblem(response, notFound(`job ${id} is not running`));
  }

  return {
    listen: (address) => bindListener(server, address),
    startDraining() {
      isDraining = true;
    },
    async close() {
      isDraining = true;
      const closed = once(server, 'close');
      server.close();
      server.closeIdleConnections();
      await closed;
    },
    openRequests: () => openRequestCount,
  };
}

function parseJobId(path: string): string | undefined {
  const encoded = JOB_PATH.exec(path)?.[1];
  if (encoded === undefined) return undefined;
  try {
    return decodeURIComponent(encoded);
  } catch {
    return undefined;
  }
}

function sendStatus(response: ServerResponse, id: string, reply: Reply<'lookup'>): void {
  if (reply.state === 'unknown') {
    sendProblem(response, notFound(`job ${id} is not known`));
  } else if (reply.answer === undefined) {
    sendJson(response, 200, {
      id,
      state: 'running',
      tasks: reply.tasks,
      endedTasks: reply.endedTasks,
    });
  } else if ('problem' in reply.answer) {
    sendJson(response, 200, { id, state: 'failed', problem: reply.answer.problem });
  } else {
    const answers = reply.answer.answers.map((taskAnswer) => ({
      name: taskAnswer.name,
      body: JSON.parse(taskAnswer.body) as unknown,
    }));
    sendJson(response, 200, { id, state: 'complete', answers });
  }
}

function notFound(detail: string): Problem {
  return { status: 404, title: 'Not found', detail, outcome: Outcomes.MAY_HAVE_RUN };
}

function refused({ status, reason }: Refusal): Problem {
  if (status === 413) return tooLarge();
  return { status, title: 'Refused', detail: reason, outcome: Outcomes.NOT_RUN };
}

function tooLarge(): Problem {
  const detail = `the body is larger than ${MAX_BODY_BYTES} bytes`;
  return { status: 413, title: 'Body too large', detail, outcome: Outcomes.NOT_RUN };
}

function createDefaultIngress({ logger, metrics }: GatewayOptions): Ingress {
  const limits = readIngressLimits({}, process.env);
  if (limits.isErr)
    logger.error('Ingress limits are not valid.', { faults: limits.error.join('; ') });
  return createIngress({ limits: limits.unwrapOr(computeIngressLimits()), logger, metrics });
}

function tooBusy(): Problem {
  const detail = 'this instance has too many open requests';
  return {
    status: 503,
    title: 'Busy',
    detail,
    outcome: Outcomes.MAY_HAVE_RUN,
    retryAfterMs: BUSY_RETRY_MS,
  };
}

function internalError(): Problem {
  return {
    status: 500,
    title: 'Internal error',
    detail: 'see the log',
    outcome: Outcomes.MAY_HAVE_RUN,
  };
}
