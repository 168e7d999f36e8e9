/**
 * A stand-in for a worker: starts, stops and holds tasks under a lease and a fencing token, and
 * registers itself in the platform's store. One object is one address; `crash` and `restart` begin
 * a new incarnation there.
 */
import { setTimeout as delay } from 'node:timers/promises';
import { setInterval, clearInterval } from 'node:timers';
import { performance } from 'node:perf_hooks';
import { startJsonServer } from './httpServer.mjs';

const HOLD_MAX_MS = 1_000;
const HEARTBEAT_MS = 1_500;
const TICK_MS = 2;
const STOP_MS = 20;

/**
 * `options`: id, host, store, entry (service, zone, capacity, labels, ...), isGuarding, workOf(task,
 * spec) (returns `{ cpu, memMb, durationMs }`), lateMsOf(worker, task) (how much later a start is carried
 * out that gets no answer; undefined for the others), record (writes a line to the record).
 */
export async function startWorker(options) {
  const { id, host, store, record } = options;
  /** All runs of all incarnations. */
  const runs = [];
  let life = newLife(options.entry);
  let server = await startJsonServer(host, 0, handle);
  const port = Number(server.address.split(':')[1]);
  let isUp = true;
  let isDraining = false;

  function newLife(entry) {
    return {
      entry,
      born: Date.now(),
      startedMs: performance.now(),
      running: new Map(),
      highest: new Map(),
      ended: [],
      nextEnd: 1,
      leaseEndMs: 0,
      fence: 0,
      seq: 0,
      isHeld: false,
    };
  }

  const clockMs = () => Math.floor(performance.now() - life.startedMs) + 1_000;

  function register() {
    life.seq += 1;
    store.write(`servers/${id}`, {
      ...life.entry,
      address: server.address,
      version: 'v1',
      slots: 8,
      state: isDraining ? 'draining' : 'ready',
      coldLeftMs: 0,
      clockMs: clockMs(),
      seq: life.seq,
      born: life.born,
    });
  }

  function end(task, how) {
    const run = life.running.get(task);
    life.running.delete(task);
    run.endMs = performance.now();
    run.how = how;
    life.highest.set(task, Math.max(life.highest.get(task) ?? 0, run.run));
    life.ended.push([life.nextEnd, task, run.run, how, '']);
    life.nextEnd += 1;
    record('run-ended', { worker: id, task, run: run.run, how });
  }

  const ticks = setInterval(() => {
    if (!isUp) return;
    const isLapsed = clockMs() > life.leaseEndMs;
    for (const [task, run] of [...life.running]) {
      if (isLapsed) end(task, 'lapsed');
      else if (run.stopAtMs !== undefined && performance.now() >= run.stopAtMs)
        end(task, 'stopped');
      else if (performance.now() - run.startMs >= run.durationMs) end(task, 'done');
    }
  }, TICK_MS);
  const beats = setInterval(() => {
    if (isUp) register();
  }, HEARTBEAT_MS);

  /** Whether a start gets no answer now, and is carried out later, by whatever life there is then. */
  function isHeldBack(path, body) {
    const lateMs = path === '/-/run-start' ? options.lateMsOf?.(id, body.task) : undefined;
    if (lateMs === undefined) return false;
    record('start-held-back', { worker: id, task: body.task, run: body.run, lateMs });
    void delay(lateMs).then(() => {
      if (!isUp || body.fence < life.fence) return;
      const { status, body: answer } = start(body);
      const { reason } = answer;
      const details = { worker: id, task: body.task, run: body.run, status, reason };
      record('start-carried-out-late', details);
    });
    return true;
  }

  async function handle({ path, headers, body }) {
    const current = life;
    if (isHeldBack(path, body)) return undefined;
    if (headers['expected-instance'] !== undefined && headers['expected-instance'] !== id)
      return { status: 421 };
    if (path === '/health') return { status: 200 };
    const fence = body.fence ?? 0;
    if (fence < current.fence) return refuse('fence');
    current.fence = fence;
    if (path === '/-/run-start') return start(body);
    if (path === '/-/run-stop') return stop(body);
    if (path === '/-/hold') return hold(current, body);
    return { status: 400 };
  }

  function refuse(reason) {
    return { status: 409, body: { clockMs: clockMs(), born: life.born, reason } };
  }

  function extendLease(deadlineMs) {
    if (deadlineMs === undefined) return;
    const cappedMs = Math.min(deadlineMs, clockMs() + HOLD_MAX_MS);
    life.leaseEndMs = Math.max(life.leaseEndMs, cappedMs);
  }

  function start({ task, run, spec, deadlineMs }) {
    if (deadlineMs <= clockMs()) return refuse('late');
    const active = life.running.get(task);
    if (active?.run === run) return { status: 200, body: { clockMs: clockMs(), born: life.born } };
    if (active !== undefined || run <= (life.highest.get(task) ?? 0)) {
      extendLease(deadlineMs);
      return refuse('old');
    }
    const { cpu, memMb, durationMs } = options.workOf(task, spec);
    const used = { cpu: 0, memMb: 0 };
    for (const other of life.running.values()) {
      used.cpu += other.cpu;
      used.memMb += other.memMb;
    }
    const { capacity } = life.entry;
    const isOver = used.cpu + cpu > capacity.cpu || used.memMb + memMb > capacity.memMb;
    if (isOver && options.isGuarding !== false) {
      extendLease(deadlineMs);
      return refuse('room');
    }
    extendLease(deadlineMs);
    const started = {
      worker: id,
      born: life.born,
      entry: life.entry,
      task,
      run,
      spec,
      cpu,
      memMb,
      durationMs,
      startMs: performance.now(),
      endMs: undefined,
      how: 'running',
      isOver,
    };
    life.running.set(task, started);
    runs.push(started);
    record('run-started', { worker: id, born: life.born, task, run, fence: life.fence });
    return { status: 200, body: { clockMs: clockMs(), born: life.born } };
  }

  function stop({ task, run }) {
    const active = life.running.get(task);
    if (active !== undefined && active.run <= run) active.stopAtMs ??= performance.now() + STOP_MS;
    life.highest.set(task, Math.max(life.highest.get(task) ?? 0, run));
    return { status: 200, body: { clockMs: clockMs(), born: life.born } };
  }

  async function hold(current, { deadlineMs, lastSeen = 0, waitMs = 0 }) {
    if (!current.isHeld) {
      current.isHeld = true;
      record('first-hold', { worker: id, born: current.born });
    }
    extendLease(deadlineMs);
    current.ended = current.ended.filter(([number]) => number > lastSeen);
    const untilMs = performance.now() + waitMs;
    while (current.ended.length === 0 && performance.now() < untilMs && life === current)
      await delay(TICK_MS);
    if (life !== current) return undefined;
    const running = [...current.running.values()].map((run) => [
      run.task,
      run.run,
      '',
      Math.min(99, Math.floor((100 * (performance.now() - run.startMs)) / run.durationMs)),
      run.cpu,
    ]);
    const ended = current.ended.slice(0, 500);
    return { status: 200, body: { clockMs: clockMs(), born: current.born, running, ended } };
  }

  register();
  return {
    id,
    runs,
    /** Reports that the worker will leave; it goes on serving. */
    drain() {
      isDraining = true;
      register();
      record('worker-draining', { worker: id });
    },
    /** Leaves: the process ends, and the entry goes. */
    async leave() {
      await this.crash();
      store.remove(`servers/${id}`);
      record('worker-left', { worker: id });
    },
    /** Ends the process: everything that runs there ends at once, and the address is closed. */
    async crash() {
      isUp = false;
      for (const task of [...life.running.keys()]) end(task, 'crashed');
      life = newLife(life.entry);
      record('worker-crashed', { worker: id });
      await server.crash();
    },
    /** Starts a new incarnation, which registers itself and then serves. */
    async restart(entry) {
      life = newLife(entry);
      isDraining = false;
      register();
      record('worker-restarted', { worker: id, born: life.born, labels: entry.labels });
      server = await startJsonServer(host, port, handle);
      isUp = true;
    },
    async close() {
      clearInterval(ticks);
      clearInterval(beats);
      if (isUp) await server.crash();
      isUp = false;
    },
  };
}
