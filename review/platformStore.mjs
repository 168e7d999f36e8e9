/** A stand-in for the platform's store: items with revisions, leases, watches, transactions. */
import { setTimeout as delay } from 'node:timers/promises';
import { setInterval, clearInterval } from 'node:timers';
import { performance } from 'node:perf_hooks';
import { Buffer } from 'node:buffer';
import { startJsonServer } from './httpServer.mjs';

const POLL_MS = 2;
const EXPIRY_CHECK_MS = 20;
/** The delay of each answer, as the pages give it. */
const ANSWER_MS = 4;

export async function startPlatformStore(host) {
  const items = new Map();
  const leases = new Map();
  const events = [];
  let revision = 100;
  let nextLease = 1;
  let isClosed = false;

  function put(key, value, lease = 0) {
    revision += 1;
    const item = {
      key,
      value,
      revision,
      createdRev: items.get(key)?.createdRev ?? revision,
      lease,
    };
    items.set(key, item);
    events.push(item);
  }

  function remove(key) {
    if (!items.delete(key)) return;
    revision += 1;
    events.push({ key, revision, removed: true });
  }

  const expiry = setInterval(() => {
    for (const [id, lease] of leases) if (performance.now() >= lease.untilMs) endLease(id);
  }, EXPIRY_CHECK_MS);

  function endLease(id) {
    leases.delete(id);
    for (const item of [...items.values()]) if (item.lease === id) remove(item.key);
  }

  function transact({ expectedRev = [], puts = [], remove: removed = [] }) {
    const isMet = expectedRev.every((row) => (items.get(row.key)?.revision ?? 0) === row.revision);
    if (!isMet) {
      const current = expectedRev.map((row) => items.get(row.key)).filter(Boolean);
      return { status: 412, body: { items: current } };
    }
    if (puts.some((row) => row.lease && !leases.has(row.lease))) return { status: 404 };
    for (const row of puts) put(row.key, row.value, row.lease ?? 0);
    for (const key of removed) remove(key);
    return { status: 200, body: { revision } };
  }

  async function watch(query) {
    const prefix = query.get('prefix') ?? '';
    const after = Number(query.get('after'));
    const untilMs = performance.now() + Number(query.get('waitMs') ?? 0);
    for (;;) {
      const found = events.filter(
        (event) => event.revision > after && event.key.startsWith(prefix),
      );
      if (found.length > 0 || performance.now() >= untilMs || isClosed)
        return { status: 200, body: { events: found, asOf: revision } };
      await delay(POLL_MS);
    }
  }

  function answer({ method, path, query, body }) {
    if (path === '/-/kv-key') {
      const item = items.get(query.get('key') ?? '');
      return item === undefined
        ? { status: 404 }
        : { status: 200, body: { ...item, asOf: revision } };
    }
    if (path === '/-/kv-range') {
      const prefix = query.get('prefix') ?? '';
      const found = [...items.values()].filter((item) => item.key.startsWith(prefix));
      return { status: 200, body: { items: found, hasMore: false, asOf: revision } };
    }
    if (path === '/-/kv-txn') return transact(body);
    if (path === '/-/kv-lease') {
      const id = nextLease;
      nextLease += 1;
      leases.set(id, { ttlMs: body.ttlMs, untilMs: performance.now() + body.ttlMs });
      return { status: 200, body: { lease: id, ttlMs: body.ttlMs } };
    }
    const id = Number(path.split('/').at(-1));
    const lease = leases.get(id);
    if (path.startsWith('/-/kv-keep/')) {
      if (lease === undefined) return { status: 404 };
      lease.untilMs = performance.now() + lease.ttlMs;
      return { status: 200, body: { ttlMs: lease.ttlMs } };
    }
    if (method === 'DELETE' && path.startsWith('/-/kv-lease-end/')) {
      endLease(id);
      return { status: 200, body: {} };
    }
    return { status: 400 };
  }

  const server = await startJsonServer(host, 0, async (request) => {
    await delay(ANSWER_MS);
    if (request.path === '/-/kv-watch') return watch(request.query);
    return answer(request);
  });

  return {
    address: server.address,
    /** Writes a JSON value, as the operator or a worker does. Returning is the acknowledgement. */
    write(key, value) {
      put(key, Buffer.from(JSON.stringify(value), 'utf8').toString('base64'));
    },
    remove,
    /** Returns the parsed value of a key. */
    read(key) {
      const item = items.get(key);
      return item && JSON.parse(Buffer.from(item.value, 'base64').toString('utf8'));
    },
    async close() {
      isClosed = true;
      clearInterval(expiry);
      await server.crash();
    },
  };
}
