/**
 * Stand-in for the platform's metadata store, by the store section of PROTOCOL.md. Keys under `op/`
 * and `servers/` are written by `put` and `remove` only, as the operator and the workers do.
 */
import { performance } from 'node:perf_hooks';
import { Buffer } from 'node:buffer';
import { clearInterval, setInterval } from 'node:timers';
import { setTimeout as delay } from 'node:timers/promises';
import { startJsonServer } from './http.mjs';

const HISTORY_MS = 20_000;
const PAGE_ITEMS = 500;
const POLL_MS = 4;

export async function startStore(host) {
  const items = new Map();
  const leases = new Map();
  let events = [];
  let forgotten = 0;
  let revision = 1;
  let nextLease = 1;

  function write(key, value, lease) {
    revision += 1;
    const createdRev = items.get(key)?.createdRev ?? revision;
    const item = { key, value, revision, createdRev, lease };
    items.set(key, item);
    events.push({ atMs: performance.now(), event: item });
  }

  function erase(key) {
    if (!items.delete(key)) return;
    revision += 1;
    events.push({ atMs: performance.now(), event: { key, revision, removed: true } });
  }

  const upkeep = setInterval(() => {
    const nowMs = performance.now();
    for (const [id, lease] of leases) {
      if (nowMs < lease.untilMs) continue;
      leases.delete(id);
      for (const item of [...items.values()]) if (item.lease === id) erase(item.key);
    }
    while (events.length > 0 && nowMs - events[0].atMs > HISTORY_MS)
      forgotten = events.shift().event.revision;
  }, 20);

  async function handle(call) {
    const { path, query, body } = call;
    if (path === '/-/kv-key') {
      const item = items.get(query.get('key'));
      if (item === undefined) return { status: 404, body: { asOf: revision } };
      return { status: 200, body: { ...item, asOf: revision } };
    }
    if (path === '/-/kv-range') return range(query);
    if (path === '/-/kv-watch') return watch(call);
    if (path === '/-/kv-txn') return transact(body);
    if (path === '/-/kv-lease') {
      const id = nextLease;
      nextLease += 1;
      leases.set(id, { ttlMs: body.ttlMs, untilMs: performance.now() + body.ttlMs });
      return { status: 200, body: { lease: id, ttlMs: body.ttlMs } };
    }
    if (path.startsWith('/-/kv-keep/')) {
      const lease = leases.get(Number(path.split('/').at(-1)));
      if (lease === undefined) return { status: 404 };
      lease.untilMs = performance.now() + lease.ttlMs;
      return { status: 200, body: { ttlMs: lease.ttlMs } };
    }
    if (path.startsWith('/-/kv-lease-end/')) {
      const lease = leases.get(Number(path.split('/').at(-1)));
      if (lease === undefined) return { status: 404 };
      lease.untilMs = 0;
      return { status: 200 };
    }
    return { status: 400 };
  }

  function range(query) {
    const prefix = query.get('prefix') ?? '';
    const after = query.get('after') ?? '';
    const found = [...items.values()]
      .filter(({ key }) => key.startsWith(prefix) && key > after)
      .sort((a, b) => (a.key < b.key ? -1 : 1));
    const hasMore = found.length > PAGE_ITEMS;
    return { status: 200, body: { items: found.slice(0, PAGE_ITEMS), hasMore, asOf: revision } };
  }

  async function watch({ query, isGone }) {
    const prefix = query.get('prefix') ?? '';
    const after = Number(query.get('after'));
    const untilMs = performance.now() + Number(query.get('waitMs') ?? 0);
    for (;;) {
      if (after < forgotten) return { status: 410 };
      const found = events
        .map(({ event }) => event)
        .filter((event) => event.revision > after && event.key.startsWith(prefix));
      if (found.length > 0 || performance.now() >= untilMs)
        return { status: 200, body: { events: found, asOf: revision } };
      if (isGone()) return undefined;
      await delay(POLL_MS);
    }
  }

  function transact({ expectedRev = [], puts = [], remove = [] }) {
    const isForeign = (key) => key.startsWith('op/') || key.startsWith('servers/');
    if ([...puts.map(({ key }) => key), ...remove].some(isForeign)) return { status: 403 };
    const isMet = expectedRev.every(
      ({ key, revision: expected }) => (items.get(key)?.revision ?? 0) === expected,
    );
    if (!isMet) {
      const current = expectedRev.map(({ key }) => items.get(key)).filter((item) => item);
      return { status: 412, body: { items: current } };
    }
    if (puts.some(({ lease = 0 }) => lease !== 0 && !leases.has(lease))) return { status: 404 };
    for (const { key, value, lease = 0 } of puts) write(key, value, lease);
    for (const key of remove) erase(key);
    return { status: 200, body: { revision } };
  }

  const server = await startJsonServer(host, handle);
  return {
    address: server.address,
    put(key, value) {
      write(key, Buffer.from(JSON.stringify(value)).toString('base64'), 0);
    },
    remove: erase,
    /** Returns a JSON value of the store, or undefined. */
    read(key) {
      const item = items.get(key);
      return item && JSON.parse(Buffer.from(item.value, 'base64').toString('utf8'));
    },
    close() {
      clearInterval(upkeep);
      server.close();
    },
  };
}
