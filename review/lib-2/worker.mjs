/**
 * Stand-in for a worker, by the sections "Running tasks" and "Service discovery" of PROTOCOL.md:
 * guards its capacity, obeys the highest fencing token, runs tasks under a lease of at most 1 s, and
 * writes its entry to the store about every 1.5 s. The store drops the entry after three intervals
 * of silence. A task's `spec` is JSON and tells its duration in `ms`.
 */
import { performance } from 'node:perf_hooks';
import { clearInterval, setInterval, setTimeout } from 'node:timers';
import { setTimeout as delay } from 'node:timers/promises';
import { startJsonServer } from './http.mjs';

const HOLD_MAX_MS = 1_000;
const HEARTBEAT_MS = 1_500;
const SILENT_HEARTBEATS = 3;
const MAX_ENDS = 500;
const TICK_MS = 2;
const BEFORE_HEARTBEAT_MS = 60;

export async function startWorker({ host, id, service, zone, rack, store, record, cpu = 32_000 }) {
  let bornMs = Date.now();
  let startedMs = performance.now();
  const running = new Map();
  const highestRun = new Map();
  const runs = [];
  let ended = [];
  let nextEnd = 1;
  let fence = 0;
  let leaseEndMs = 0;
  let seq = 0;
  let lastHeartbeatMs = -Infinity;
  let isListed = false;
  let isCutFromStore = false;
  const state = 'ready';
  let isDark = false;
  /** The life of the worker that each connection was opened in; undefined while it was dark. */
  const lifeOfSocket = new Map();
  let life = 1;
  let heldBackJob;
  let isHoldingBack = false;
  const heldBack = [];
  const orders = { all: 0, heldBack: 0 };

  const clockMs = () => Math.floor(performance.now() - startedMs) + 1_000;
  const reply = (status, body = {}) => ({
    status,
    body: { clockMs: clockMs(), born: bornMs, ...body },
  });

  function finish(name, how) {
    const active = running.get(name);
    running.delete(name);
    active.run.endMs = performance.now();
    active.run.how = how;
    ended.push([nextEnd, name, active.run.number, how, '']);
    nextEnd += 1;
    record(`worker ${id}: run ${active.run.number} of ${name} ends: ${how}`);
  }

  function tick() {
    const nowMs = performance.now();
    if (isDark) {
      expireEntry(nowMs);
      return;
    }
    if (running.size > 0 && clockMs() >= leaseEndMs)
      for (const name of [...running.keys()]) finish(name, 'lapsed');
    for (const [name, { run, durationMs }] of [...running])
      if (nowMs - run.startMs >= durationMs) finish(name, 'done');
    if (!isCutFromStore && nowMs - lastHeartbeatMs >= HEARTBEAT_MS) heartbeat(nowMs);
    expireEntry(nowMs);
  }

  function expireEntry(nowMs) {
    if (!isListed || nowMs - lastHeartbeatMs < SILENT_HEARTBEATS * HEARTBEAT_MS) return;
    isListed = false;
    record(`store: the entry of ${id} is removed after ${SILENT_HEARTBEATS} silent intervals`);
    store.remove(`servers/${id}`);
  }

  function heartbeat(nowMs) {
    lastHeartbeatMs = nowMs;
    isListed = true;
    seq += 1;
    store.put(`servers/${id}`, {
      service,
      address: server.address,
      zone,
      version: 'v1',
      slots: 8,
      state,
      coldLeftMs: 0,
      capacity: { cpu, memMb: 65_536, gpu: 0 },
      labels: ['a', rack],
      clockMs: clockMs(),
      born: bornMs,
      seq,
    });
  }

  function extendLease(deadlineMs) {
    if (deadlineMs === undefined) return;
    leaseEndMs = Math.max(leaseEndMs, Math.min(deadlineMs, clockMs() + HOLD_MAX_MS));
  }

  /** A machine without power answers nothing; a connection of an earlier life is reset by the next one. */
  async function receive(call) {
    const { socket, path, body } = call;
    if (!lifeOfSocket.has(socket)) lifeOfSocket.set(socket, isDark ? undefined : life);
    if (isDark) return undefined;
    const receivedIn = life;
    if (lifeOfSocket.get(socket) !== life) {
      socket.resetAndDestroy();
      return undefined;
    }
    if (path.startsWith('/-/')) orders.all += 1;
    if (path === '/-/run-start' && isHoldingBack) {
      const job = body.task.split('.')[0];
      heldBackJob ??= job;
      if (job === heldBackJob) {
        orders.heldBack += 1;
        heldBack.push({ call, sentMs: performance.now() });
        record(`worker ${id}: leaves the start of run ${body.run} of ${body.task} unanswered`);
        return undefined;
      }
    }
    const reply = await handle(call);
    return life === receivedIn && !isDark ? reply : undefined;
  }

  async function handle({ method, path, headers, body }) {
    if (method === 'GET' && path === '/health')
      return { status: state === 'ready' ? 200 : 503, headers: { 'instance-id': id } };
    if (headers['expected-instance'] !== id) return { status: 421 };
    if ((body.fence ?? 0) < fence) return reply(409, { reason: 'fence' });
    fence = body.fence ?? 0;
    if (path === '/-/run-start') return start(body);
    if (path === '/-/run-stop') return stop(body);
    if (path === '/-/hold') return hold(body);
    return { status: 400 };
  }

  function start({ task, run: number, spec, deadlineMs }) {
    if (running.get(task)?.run.number === number) return reply(200);
    if (number <= (highestRun.get(task) ?? 0)) {
      extendLease(deadlineMs);
      return reply(409, { reason: 'old' });
    }
    if (deadlineMs <= clockMs()) return reply(409, { reason: 'late' });
    const { ms, cpu: demand } = JSON.parse(spec);
    const used = [...running.values()].reduce((sum, active) => sum + active.demand, 0);
    if (running.has(task) || used + demand > cpu) {
      extendLease(deadlineMs);
      return reply(409, { reason: 'room' });
    }
    extendLease(deadlineMs);
    const run = { task, number, worker: id, spec, startMs: performance.now(), endMs: undefined };
    runs.push(run);
    highestRun.set(task, number);
    running.set(task, { run, durationMs: ms, demand });
    record(`worker ${id}: run ${number} of ${task} starts (fence ${fence})`);
    return reply(200);
  }

  function stop({ task, run: number }) {
    highestRun.set(task, Math.max(highestRun.get(task) ?? 0, number));
    if ((running.get(task)?.run.number ?? Infinity) <= number) finish(task, 'stopped');
    return reply(200);
  }

  async function hold({ deadlineMs, lastSeen = 0, waitMs = 0 }) {
    extendLease(deadlineMs);
    ended = ended.filter(([number]) => number > lastSeen);
    const untilMs = performance.now() + waitMs;
    while (ended.length === 0 && performance.now() < untilMs) await delay(TICK_MS);
    const rows = [...running.values()].map(({ run, durationMs, demand }) => {
      const percent = Math.floor((100 * (performance.now() - run.startMs)) / durationMs);
      return [run.task, run.number, '', Math.min(99, percent), demand];
    });
    return reply(200, { running: rows, ended: ended.slice(0, MAX_ENDS) });
  }

  const server = await startJsonServer(host, receive);
  const timer = setInterval(tick, TICK_MS);
  heartbeat(performance.now());
  return {
    id,
    runs,
    runningTasks: () => [...running.keys()],
    isListed: () => isListed,
    orders,
    /** Leaves the starts of the next job that comes unanswered; they are carried out by `carryOutLate`. */
    holdBackNextJob() {
      isHoldingBack = true;
      heldBackJob = undefined;
    },
    heldBackSinceMs: () => heldBack[0]?.sentMs,
    endHoldBack() {
      isHoldingBack = false;
    },
    /**
     * Carries out the starts that were left unanswered, each `leastMs` after it was sent or now if that is later,
     * whatever life the worker is in by then.
     */
    carryOutLate(leastMs) {
      for (const { call, sentMs } of heldBack.splice(0)) {
        const { body } = call;
        const carryOut = () => {
          const afterMs = Math.round(performance.now() - sentMs);
          record(
            `worker ${id}: carries out the start of run ${body.run} of ${body.task}, sent ${afterMs} ms before`,
          );
          void handle(call);
        };
        const inMs = sentMs + leastMs - performance.now();
        if (inMs <= 0) carryOut();
        else setTimeout(carryOut, inMs);
      }
    },
    /** Loses power for `downMs`, and starts again under the same id, knowing nothing of before. */
    async losePower(downMs) {
      record(`worker ${id}: loses power`);
      isDark = true;
      for (const [name, { run }] of [...running]) {
        running.delete(name);
        run.endMs = performance.now();
        run.how = 'crashed';
      }
      await delay(downMs);
      highestRun.clear();
      ended = [];
      nextEnd = 1;
      fence = 0;
      leaseEndMs = 0;
      seq = 0;
      life += 1;
      bornMs = Date.now();
      startedMs = performance.now();
      isDark = false;
      record(`worker ${id}: has started again`);
      heartbeat(performance.now());
    },
    /**
     * Cuts the worker off from the store alone for `cutMs`, from just before its next heartbeat. Its
     * first heartbeat after the cut reaches the store `returnMs` later.
     */
    async cutFromStore({ cutMs, returnMs }) {
      await delay(
        Math.max(0, lastHeartbeatMs + HEARTBEAT_MS - BEFORE_HEARTBEAT_MS - performance.now()),
      );
      isCutFromStore = true;
      record(`worker ${id}: is cut off from the store`);
      await delay(cutMs);
      record(`worker ${id}: the cut from the store has ended`);
      await delay(returnMs);
      isCutFromStore = false;
      record(`worker ${id}: writes its entry again`);
    },
    close() {
      clearInterval(timer);
      server.close();
    },
  };
}
