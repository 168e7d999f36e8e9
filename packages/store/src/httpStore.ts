/**
 * HTTP client for the platform, based on `undici`. A failure to connect proves that nothing was
 * written; the outcome of a write that fails later is unknown.
 */
import { Result } from 'true-myth';
import { errors, Pool, type Dispatcher } from 'undici';
import type { ZodType, ZodTypeDef } from 'zod';
import { describeError, ErrorCodes } from '@celerybarrow/shared';
import type { Change, Entry, Instance, InstanceList, Lease, Store } from './store.js';
import { CALL_TIMEOUT_MS, watchTimeoutMs } from './callTimeouts.js';
import { StoreError } from './storeError.js';
import { changeSchema, entrySchema, instancesSchema, leaseSchema } from './schemas.js';

const CONNECTIONS = 8;
const NOT_MODIFIED = 304;

export interface HttpStore extends Store, InstanceList {
  /** Returns the number of calls made so far, by kind. */
  calls(): Record<string, number>;
  close(): Promise<void>;
}

interface Call {
  readonly kind: string;
  readonly method: Dispatcher.HttpMethod;
  readonly path: string;
  readonly body?: unknown;
  readonly timeoutMs?: number;
  readonly signal?: AbortSignal;
  /** Entity tag of the cached answer; the platform answers with status 304 if it is still valid. */
  readonly knownTag?: string;
}

interface Reply {
  readonly status: number;
  readonly body: unknown;
  readonly tag?: string;
}

interface TaggedList {
  readonly tag: string;
  readonly list: readonly Instance[];
}

/** Creates a client for the platform at a URL such as `http://127.0.0.1:9000`. */
export function createHttpStore(url: string): HttpStore {
  const pool = new Pool(url, { connections: CONNECTIONS, connect: { timeout: CALL_TIMEOUT_MS } });
  const calls = new Map<string, number>();
  let cachedList: TaggedList | undefined;

  async function send(call: Call): Promise<Result<Reply, StoreError>> {
    calls.set(call.kind, (calls.get(call.kind) ?? 0) + 1);
    const timeoutMs = call.timeoutMs ?? CALL_TIMEOUT_MS;
    try {
      const timeout = AbortSignal.timeout(timeoutMs);
      const response = await pool.request({
        method: call.method,
        path: call.path,
        signal: call.signal ? AbortSignal.any([call.signal, timeout]) : timeout,
        headersTimeout: timeoutMs,
        ...encodeContent(call),
      });
      const text = await response.body.text();
      const { etag } = response.headers;
      const tag = typeof etag === 'string' ? { tag: etag } : {};
      return Result.ok({ status: response.statusCode, body: parseJson(text), ...tag });
    } catch (error) {
      return Result.err(toPlatformError(error, call.method === 'GET'));
    }
  }

  async function read<T>(
    call: Call,
    schema: ZodType<T, ZodTypeDef, unknown>,
  ): Promise<Result<T, StoreError>> {
    const reply = await send(call);
    return reply.andThen((answer) => decode(answer, schema));
  }

  /** Reads the list of instances. It is long and rarely changes, so a conditional request is used. */
  async function readList(): Promise<Result<readonly Instance[], StoreError>> {
    const cached = cachedList;
    const call = { kind: 'list', method: 'GET', path: '/v1/instances' } as const;
    const reply = await send(cached === undefined ? call : { ...call, knownTag: cached.tag });
    if (reply.isOk && reply.value.status === NOT_MODIFIED && cached !== undefined) {
      return Result.ok(cached.list);
    }
    const list = reply.andThen((answer) => decode<readonly Instance[]>(answer, instancesSchema));
    const tag = reply.isOk ? reply.value.tag : undefined;
    if (list.isOk) cachedList = tag === undefined ? undefined : { tag, list: list.value };
    return list;
  }

  return {
    async get(key) {
      const path = `/v1/keys/${encodeURIComponent(key)}`;
      const reply = await send({ kind: 'get', method: 'GET', path });
      return reply.andThen((answer): Result<Entry | undefined, StoreError> =>
        answer.status === 404 ? Result.ok(undefined) : decode(answer, entrySchema),
      );
    },
    compareAndSwap(key, expectedRevision, value, lease) {
      const path = `/v1/keys/${encodeURIComponent(key)}`;
      const body = { expectedRevision, value, lease: lease?.id };
      return read<Entry>({ kind: 'compare-and-swap', method: 'PUT', path, body }, entrySchema);
    },
    list(prefix) {
      const path = `/v1/watch?prefix=${encodeURIComponent(prefix)}&after=0&waitMs=0`;
      return read<Change>({ kind: 'list-keys', method: 'GET', path }, changeSchema);
    },
    watch(prefix, afterRevision, { waitMs, signal }) {
      const query = `prefix=${encodeURIComponent(prefix)}&after=${afterRevision}&waitMs=${waitMs}`;
      const timeoutMs = watchTimeoutMs(waitMs);
      return read<Change>(
        { kind: 'watch', method: 'GET', path: `/v1/watch?${query}`, timeoutMs, signal },
        changeSchema,
      );
    },
    grantLease(ttlMs) {
      return read<Lease>(
        { kind: 'lease', method: 'POST', path: '/v1/leases', body: { ttlMs } },
        leaseSchema,
      );
    },
    renewLease(lease) {
      const path = `/v1/leases/${encodeURIComponent(lease.id)}`;
      return read<Lease>({ kind: 'lease', method: 'PUT', path, body: {} }, leaseSchema);
    },
    instances: readList,
    calls: () => Object.fromEntries(calls),
    close: () => pool.destroy(),
  };
}

function encodeContent({ body, knownTag }: Call) {
  const tag = knownTag === undefined ? {} : { 'if-none-match': knownTag };
  if (body === undefined) return { headers: tag };
  return { body: JSON.stringify(body), headers: { ...tag, 'content-type': 'application/json' } };
}

function decode<T>(reply: Reply, schema: ZodType<T, ZodTypeDef, unknown>): Result<T, StoreError> {
  if (reply.status === 409) return Result.err(new StoreError(ErrorCodes.PLATFORM_CONFLICT));
  if (reply.status >= 500) {
    return Result.err(
      new StoreError(ErrorCodes.PLATFORM_UNKNOWN_OUTCOME, `status ${reply.status}`),
    );
  }
  const parsed = schema.safeParse(reply.body);
  if (reply.status >= 400 || !parsed.success) {
    return Result.err(new StoreError(ErrorCodes.PLATFORM_BAD_ANSWER, `status ${reply.status}`));
  }
  return Result.ok(parsed.data);
}

function toPlatformError(error: unknown, isRead: boolean): StoreError {
  const isUnwritten = isRead || isConnectFailure(error);
  const code = isUnwritten ? ErrorCodes.PLATFORM_UNREACHABLE : ErrorCodes.PLATFORM_UNKNOWN_OUTCOME;
  return new StoreError(code, describeError(error), error);
}

function isConnectFailure(error: unknown): boolean {
  if (error instanceof errors.ConnectTimeoutError) return true;
  return error instanceof Error && 'code' in error && error.code === 'ECONNREFUSED';
}

function parseJson(text: string): unknown {
  try {
    return text === '' ? undefined : JSON.parse(text);
  } catch {
    return undefined;
  }
}
