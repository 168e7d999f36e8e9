/**
 * Runs tasks on endpoints over HTTP with `undici`. Two failures prove that the task did not start:
 * a failure before the first byte of the request was written, and a refusal by the endpoint's
 * guard. After any other failure the task may have started.
 */
import { Result } from 'true-myth';
import { errors, Pool } from 'undici';
import { z } from 'zod';
import { describeError, ErrorCodes } from '@celerybarrow/shared';
import { PlacementError } from './placementError.js';

const CONNECT_TIMEOUT_MS = 500;
const ANSWER_GRACE_MS = 2_000;
const MAX_CONNECTIONS = 60;
const MAX_ANSWER_BYTES = 4 * 1024 * 1024;
const NOT_STARTED_HEADER = 'celerybarrow-not-started';

const answerSchema = z.object({ body: z.unknown() });

export interface TaskRequest {
  /** `IP:PORT` of the endpoint. */
  readonly address: string;
  readonly job: string;
  readonly task: string;
  readonly kind: string;
  /** JSON text. */
  readonly payload: string;
  /** Wall-clock time after which the endpoint must not start the task, milliseconds. */
  readonly startBefore: number;
  /** Time limit for the response, milliseconds. */
  readonly timeoutMs: number;
}

export interface EndpointClient {
  /**
   * Runs one task and returns the `body` field of the endpoint's answer as JSON text. Errors:
   * ENDPOINT_REFUSED and ENDPOINT_UNREACHABLE if the task did not start, ENDPOINT_FAILED if it may
   * have started.
   */
  run(request: TaskRequest): Promise<Result<string, PlacementError>>;
  close(): Promise<void>;
}

export function createEndpointClient(): EndpointClient {
  const pools = new Map<string, Pool>();

  function getPool(address: string): Pool {
    const existing = pools.get(address);
    if (existing !== undefined) return existing;
    const pool = new Pool(`http://${address}`, {
      connections: MAX_CONNECTIONS,
      pipelining: 1,
      connect: { timeout: CONNECT_TIMEOUT_MS },
      maxResponseSize: MAX_ANSWER_BYTES,
    });
    pools.set(address, pool);
    return pool;
  }

  async function run(request: TaskRequest): Promise<Result<string, PlacementError>> {
    const timeoutMs = request.timeoutMs + ANSWER_GRACE_MS;
    try {
      const response = await getPool(request.address).request({
        method: 'POST',
        path: '/v1/tasks',
        headers: { 'content-type': 'application/json' },
        body: encodeRequest(request),
        headersTimeout: timeoutMs,
        bodyTimeout: timeoutMs,
        idempotent: false,
      });
      const text = await response.body.text();
      const isRefusal = response.statusCode === 503 && response.headers[NOT_STARTED_HEADER] === '1';
      if (isRefusal) return Result.err(new PlacementError(ErrorCodes.ENDPOINT_REFUSED));
      if (response.statusCode !== 200) return fail(`status ${response.statusCode}`);
      return parseAnswer(text);
    } catch (error) {
      if (!isUnsent(error)) return fail(describeError(error), error);
      return Result.err(
        new PlacementError(ErrorCodes.ENDPOINT_UNREACHABLE, describeError(error), error),
      );
    }
  }

  return {
    run,
    async close() {
      await Promise.all([...pools.values()].map((pool) => pool.destroy()));
      pools.clear();
    },
  };
}

/** Encodes a request as JSON. The payload is inserted unchanged because it is already JSON text. */
function encodeRequest({ job, task, kind, startBefore, payload }: TaskRequest): string {
  const head = JSON.stringify({ job, task, kind, startBefore });
  return `${head.slice(0, -1)},"payload":${payload}}`;
}

function parseAnswer(text: string): Result<string, PlacementError> {
  try {
    const parsed = answerSchema.safeParse(JSON.parse(text));
    if (!parsed.success) return fail('answer without a body');
    return Result.ok(JSON.stringify(parsed.data.body ?? null));
  } catch (error) {
    return fail('answer is not JSON', error);
  }
}

function fail(detail: string, cause?: unknown): Result<string, PlacementError> {
  return Result.err(new PlacementError(ErrorCodes.ENDPOINT_FAILED, detail, cause));
}

/** Whether no connection was made, so that no byte of the request was sent. */
function isUnsent(error: unknown): boolean {
  if (error instanceof errors.ConnectTimeoutError) return true;
  if (!(error instanceof Error) || !('code' in error)) return false;
  return (
    error.code === 'ECONNREFUSED' || error.code === 'EHOSTUNREACH' || error.code === 'ENETUNREACH'
  );
}
