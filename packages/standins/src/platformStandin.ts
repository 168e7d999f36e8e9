/**
 * Simulates the platform over HTTP: a key-value store with leases, and the list of instances. It
 * injects faults on request: downtime, slow responses, responses lost after a write took effect, a
 * stale list of instances, and expired leases.
 */
import { createHash } from 'node:crypto';
import { setTimeout as delay } from 'node:timers/promises';
import { z } from 'zod';
import type { Address } from '@celerybarrow/shared';
import {
  startJsonServer,
  type JsonReply,
  type JsonRequest,
  type JsonServer,
} from './httpServer.js';
import { createPlatformStore, type PlatformStore } from './platformStore.js';

const faultsSchema = z.object({
  /**
   * Closes the connection of every request without a response, except requests that control the
   * stand-in.
   */
  down: z.boolean().default(false),
  /** Delay before each request is processed, except requests that control the stand-in. */
  slowMs: z.number().nonnegative().default(0),
  /**
   * Number of upcoming PUT requests (writes to keys and lease renewals) that are processed but get
   * no response.
   */
  loseAnswers: z.number().int().nonnegative().default(0),
  /** Age of the returned list of instances. */
  listLagMs: z.number().nonnegative().default(0),
});
export type PlatformFaults = z.infer<typeof faultsSchema>;

const compareAndSwapSchema = z.object({
  expectedRevision: z.number().int().nonnegative(),
  value: z.string().max(1_048_576),
  lease: z.string().optional(),
});
const leaseSchema = z.object({ ttlMs: z.number().positive() });
const instanceSchema = z.object({ id: z.string().optional() }).passthrough();

export interface PlatformStandin extends JsonServer {
  /** Changes the given faults and keeps the others. */
  setFaults(faults: Partial<PlatformFaults>): void;
  readonly store: PlatformStore;
  /**
   * Returns the number of processed requests for each kind of resource, such as `keys` or `watch`.
   */
  calls(): Record<string, number>;
}

export async function startPlatformStandin(listen: Address): Promise<PlatformStandin> {
  const store = createPlatformStore();
  const calls = new Map<string, number>();
  let faults: PlatformFaults = faultsSchema.parse({});

  async function handleRequest(request: JsonRequest): Promise<JsonReply | undefined> {
    if (request.path === '/v1/faults' && request.method === 'PUT') {
      faults = faultsSchema.parse(request.body);
      return { status: 200, body: faults };
    }
    if (request.path === '/v1/leases/lapse' && request.method === 'POST') {
      store.lapseLeases();
      return { status: 200 };
    }
    if (request.path === '/v1/calls') return { status: 200, body: Object.fromEntries(calls) };
    const isInstanceUpdate = request.path.startsWith('/v1/instances') && request.method !== 'GET';
    if (isInstanceUpdate) return updateInstances(request);
    if (faults.down) return undefined;
    if (faults.slowMs > 0) await delay(faults.slowMs);
    const reply = await routeRequest(request);
    return consumeLostAnswer(request) ? undefined : reply;
  }

  /** Whether to drop the response to this request; each drop uses up one of `loseAnswers`. */
  function consumeLostAnswer(request: JsonRequest): boolean {
    if (request.method !== 'PUT' || faults.loseAnswers === 0) return false;
    faults = { ...faults, loseAnswers: faults.loseAnswers - 1 };
    return true;
  }

  function routeRequest(request: JsonRequest): Promise<JsonReply> | JsonReply {
    const [, version, kind, ...rest] = request.path.split('/');
    const name = rest.join('/');
    calls.set(kind ?? '', (calls.get(kind ?? '') ?? 0) + 1);
    if (version !== 'v1') return { status: 404 };
    if (kind === 'keys')
      return request.method === 'PUT' ? compareAndSwap(name, request.body) : getKey(name);
    if (kind === 'watch') return watchKeys(request);
    if (kind === 'leases')
      return request.method === 'POST' ? grantLease(request.body) : renewLease(name);
    if (kind === 'instances') return listInstances(request);
    return { status: 404 };
  }

  function listInstances({ headers }: JsonRequest): JsonReply {
    const body = store.instances(faults.listLagMs);
    const etag = `"${createHash('sha1').update(JSON.stringify(body)).digest('hex')}"`;
    if (headers['if-none-match'] === etag) return { status: 304, headers: { etag } };
    return { status: 200, body, headers: { etag } };
  }

  function getKey(key: string): JsonReply {
    const entry = store.get(key);
    return entry === undefined ? { status: 404 } : { status: 200, body: entry };
  }

  function compareAndSwap(key: string, body: unknown): JsonReply {
    const parsed = compareAndSwapSchema.safeParse(body);
    if (!parsed.success) return { status: 400 };
    const { expectedRevision, value, lease } = parsed.data;
    const entry = store.swap(key, expectedRevision, value, lease);
    return entry === undefined ? { status: 409 } : { status: 200, body: entry };
  }

  async function watchKeys({ query, response }: JsonRequest): Promise<JsonReply> {
    const prefix = query.get('prefix') ?? '';
    const after = Number(query.get('after') ?? 0);
    const deadlineMs = performance.now() + Number(query.get('waitMs') ?? 0);
    for (;;) {
      const entries = store.changesAfter(prefix, after);
      const remainingMs = deadlineMs - performance.now();
      if (entries.length > 0 || after === 0 || remainingMs <= 0 || response.destroyed) {
        return { status: 200, body: { revision: store.revision(), entries } };
      }
      await waitForChange(remainingMs);
      if (faults.down) response.destroy();
    }
  }

  function waitForChange(timeoutMs: number): Promise<void> {
    return new Promise((resolve) => {
      const timeout = setTimeout(finish, Math.min(timeoutMs, 1_000));
      const unsubscribe = store.onChange(finish);
      function finish(): void {
        clearTimeout(timeout);
        unsubscribe();
        resolve();
      }
    });
  }

  function grantLease(body: unknown): JsonReply {
    const parsed = leaseSchema.safeParse(body);
    if (!parsed.success) return { status: 400 };
    const { ttlMs } = parsed.data;
    return { status: 200, body: { id: store.grantLease(ttlMs), ttlMs } };
  }

  function renewLease(id: string): JsonReply {
    const ttlMs = store.renewLease(id);
    return ttlMs === undefined ? { status: 404 } : { status: 200, body: { id, ttlMs } };
  }

  function updateInstances({ method, path, body }: JsonRequest): JsonReply {
    const id = path.slice('/v1/instances/'.length);
    if (method === 'DELETE') store.deleteInstance(id);
    else store.putInstance({ ...instanceSchema.parse(body), id });
    return { status: 200 };
  }

  const server = await startJsonServer(listen, handleRequest);
  return {
    ...server,
    store,
    setFaults(next) {
      faults = { ...faults, ...next };
    },
    calls: () => Object.fromEntries(calls),
    async close() {
      store.close();
      await server.close();
    },
  };
}
