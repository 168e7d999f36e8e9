/** Sends JSON requests to the HTTP interfaces for callers and operators. */
import { Agent, request, type Dispatcher } from 'undici';
import { describeError } from '@celerybarrow/shared';
import { CliError } from './cliError.js';
import { ExitCodes } from './exitCodes.js';

export interface JsonResponse {
  readonly status: number;
  readonly body: unknown;
  readonly retryAfterMs: number | undefined;
}

export interface JsonRequestOptions {
  readonly method?: Dispatcher.HttpMethod;
  readonly body?: string;
  /** Timeout for the response headers and between parts of the body; 0 disables it. */
  readonly timeoutMs?: number;
}

const DEFAULT_TIMEOUT_MS = 10_000;
const agent = new Agent({ connect: { timeout: 2_000 } });

/**
 * Sends a request and parses the JSON response. Throws a CliError with the exit code UNREACHABLE if
 * either fails.
 */
export async function requestJson(
  url: string,
  options: JsonRequestOptions = {},
): Promise<JsonResponse> {
  const timeoutMs = options.timeoutMs ?? DEFAULT_TIMEOUT_MS;
  try {
    const response = await request(url, {
      dispatcher: agent,
      method: options.method ?? 'GET',
      headersTimeout: timeoutMs,
      bodyTimeout: timeoutMs,
      ...(options.body === undefined
        ? {}
        : { body: options.body, headers: { 'content-type': 'application/json' } }),
    });
    const retryAfter = response.headers['retry-after'];
    return {
      status: response.statusCode,
      body: JSON.parse(await response.body.text()) as unknown,
      retryAfterMs: typeof retryAfter === 'string' ? Number(retryAfter) * 1_000 : undefined,
    };
  } catch (error) {
    throw new CliError(ExitCodes.UNREACHABLE, `no answer from ${url}: ${describeError(error)}`);
  }
}
