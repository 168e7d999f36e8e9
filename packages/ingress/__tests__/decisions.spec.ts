/** The decisions of the ingress under the load that each handles. */
import { describe, it } from 'node:test';
import { expect } from 'earl';
import { createManualTimer } from '@celerybarrow/timer';
import {
  computeIngressLimits,
  createBlockPool,
  createBodyCollector,
  createBoundedLog,
  createConnectionLimits,
  createGarbageBound,
  createReadingBudget,
  createTurnQueue,
  createWorkBudget,
  decidePipelined,
  findOverdue,
  limitCallerConnections,
  measureDocument,
  OverdueReasons,
  PipelineDecisions,
  readIngressLimits,
  ShapeFaults,
} from '../src/index.js';

const MB = 1_048_576;
const BODY_BYTES = 262_144;
const limits = computeIngressLimits();
const times = { ...limits, headMs: 3_000, idleMs: 15_000 };

describe('the reading budget', () => {
  function createReaders(count: number, limitBytes: number, addressLimitBytes?: number) {
    const budget = createReadingBudget({ limitBytes, addressLimitBytes });
    const evicted: number[] = [];
    const readers = Array.from({ length: count }, (_, index) => {
      const reader = {
        address: index % 2 === 0 ? 'a' : 'b',
        onEvicted: () => {
          evicted.push(index);
        },
      };
      budget.open(reader, 0);
      return reader;
    });
    return { budget, evicted, readers };
  }

  // Guards against 1,800 bodies that stop one byte short of their end and take 541 MB.
  it('stays within its limit under bodies that never end, and serves a new one', () => {
    const { budget, evicted, readers } = createReaders(1_800, 10 * MB);
    let peak = 0;
    readers.forEach((reader, index) => {
      budget.hold(reader, BODY_BYTES, index);
      peak = Math.max(peak, budget.heldBytes());
    });
    expect(peak <= 10 * MB).toEqual(true);
    const [latest] = readers.slice(-1);
    if (latest === undefined) throw new Error('no reader');
    budget.hold(latest, BODY_BYTES + 1, 5_000);
    expect(evicted.includes(1_799)).toEqual(false);
    expect(budget.isPressed()).toEqual(true);
  });

  // Guards against a limit that refuses the only body, however small the machine is.
  it('never refuses a single body', () => {
    const { budget, evicted, readers } = createReaders(1, 1);
    for (const reader of readers) budget.hold(reader, BODY_BYTES, 0);
    expect(evicted).toEqual([]);
  });

  // Guards against memory that stays counted after its reader has left.
  it('counts nothing after all readers have left', () => {
    const { budget, readers } = createReaders(20, MB);
    for (const reader of readers) budget.hold(reader, BODY_BYTES, 0);
    for (const reader of readers) budget.close(reader);
    expect(budget.heldBytes()).toEqual(0);
  });

  // Guards against one address that takes the budget of all, where operators have set a limit.
  it('refuses readers of the address over its limit only', () => {
    const { budget, evicted, readers } = createReaders(9, 100 * MB, MB);
    readers.forEach((reader, index) => {
      if (index % 2 === 0 || index === 1) budget.hold(reader, BODY_BYTES, index);
    });
    expect(evicted.length > 0 && evicted.every((index) => index % 2 === 0)).toEqual(true);
  });
});

describe('the work budget', () => {
  // Guards against accepted jobs of 10,000 tasks that together exceed the memory, and against one
  // such job that is never accepted or keeps out the small ones.
  it('has room for some large requests, always for one, and for small ones beside them', () => {
    const budget = createWorkBudget(10 * MB);
    const reserve = (bytes: number) => budget.reserve(bytes);
    expect([30 * MB, 2 * MB, MB / 2].map(reserve)).toEqual([true, false, true]);
    budget.release(30 * MB);
    expect([2 * MB, 2 * MB, 2 * MB].map(reserve)).toEqual([true, true, false]);
    const small = Array.from({ length: 100 }, () => budget.reserve(MB / 2));
    expect(small.filter((isReserved) => isReserved).length).toEqual(19);
  });
});

describe('the collected body', () => {
  // Guards against a buffer per one-byte chunk, which takes a hundred times the memory of the body.
  it('keeps many small chunks in little more than their bytes, and their text intact', () => {
    const pool = createBlockPool(MB);
    const collector = createBodyCollector(pool);
    const text = 'grün €'.repeat(20_000);
    for (const byte of Buffer.from(text)) collector.add(Buffer.from([byte]));
    expect(collector.text() === text).toEqual(true);
    expect(collector.heldBytes() < 2 * Buffer.byteLength(text)).toEqual(true);
    const heldBytes = collector.heldBytes();
    collector.release();
    expect([collector.heldBytes(), pool.freeBytes()]).toEqual([0, heldBytes]);
  });

  // Guards against text of another body in a reused block.
  it('returns only its own bytes from a reused block', () => {
    const pool = createBlockPool(MB);
    for (const text of ['first body', 'second']) {
      const collector = createBodyCollector(pool);
      for (const part of [text.slice(0, 3), text.slice(3)]) collector.add(Buffer.from(part));
      expect(collector.text()).toEqual(text);
      collector.release();
    }
  });

  // Guards against received data that stays in memory until V8 collects it by itself.
  it('asks for a collection after a number of received bytes', () => {
    let collections = 0;
    const garbage = createGarbageBound(() => (collections += 1), 8 * MB);
    for (let received = 0; received < 80 * MB; received += 65_536) garbage.add(65_536);
    expect(collections).toEqual(10);
  });
});

describe('the connection limits', () => {
  const connect = (progressMs?: number) => ({ address: 'a', progressMs });

  // Guards against 3,800 silent connections that use up the descriptors for workers.
  it('closes the longest idle connection for a new one', () => {
    const connections = createConnectionLimits();
    const open = [connect(), connect(), connect()];
    for (const connection of open) connections.add(connection);
    const [first, second, third] = open;
    if (first === undefined || second === undefined) throw new Error('no connection');
    connections.markBusy(first);
    expect(connections.findExcess(2, 0, third)).toEqual([second]);
  });

  // Guards against the loss of accepted jobs or growing bodies to connections that come later.
  it('refuses the new one while all others are in use, unless a body does not grow', () => {
    const connections = createConnectionLimits();
    const [growing, stalled, newest] = [connect(9_900), connect(100), connect()];
    for (const connection of [growing, newest]) connections.add(connection);
    connections.markBusy(growing);
    expect(connections.findExcess(1, 10_000, newest)).toEqual([newest]);
    connections.add(stalled);
    connections.markBusy(stalled);
    expect(connections.findExcess(2, 11_000, newest)).toEqual([stalled]);
  });

  // Guards against callers that hold the descriptors which a dispatcher needs for its workers.
  it('leaves four connections for each known worker', () => {
    const sockets = 10_050;
    const limit = limitCallerConnections({ sockets, connections: 5_000 }, 1_800);
    expect(limit + 4 * 1_800 < sockets - 500).toEqual(true);
    expect(limit > 500).toEqual(true);
  });
});

describe('the progress limits', () => {
  const none = {
    idleSinceMs: undefined,
    headSinceMs: undefined,
    body: undefined,
    unsentSinceMs: undefined,
    closesAtMs: undefined,
  };
  const body = { sinceMs: 0, untilMs: 30_000, progressMs: 0, bytes: 100 };

  // Guards against clients that send a byte now and then, or read nothing, for hours.
  it('ends each phase that takes too long, and none before', () => {
    const phases = [
      [{ ...none, headSinceMs: 0 }, 3_000, OverdueReasons.HEAD],
      [{ ...none, idleSinceMs: 0 }, 15_000, OverdueReasons.IDLE],
      [{ ...none, unsentSinceMs: 0 }, 15_000, OverdueReasons.UNREAD],
      [{ ...none, body }, 29_999, OverdueReasons.BODY],
    ] as const;
    for (const [progress, limitMs, reason] of phases) {
      expect(findOverdue(progress, limitMs, times, false)).toEqual(undefined);
      expect(findOverdue(progress, limitMs + 1, times, false)).toEqual(reason);
    }
  });

  // Guards against a rate limit that closes slow but legal callers of a process with free memory.
  it('limits the rate of a body only under pressure', () => {
    const late = { ...body, progressMs: 4_000 };
    expect(findOverdue({ ...none, body: late }, 4_500, times, false)).toEqual(undefined);
    expect(findOverdue({ ...none, body: late }, 4_500, times, true)).toEqual(
      OverdueReasons.SLOW_BODY,
    );
    const stalled = { ...body, bytes: BODY_BYTES };
    expect(findOverdue({ ...none, body: stalled }, 2_001, times, true)).toEqual(
      OverdueReasons.STALLED_BODY,
    );
  });
});

describe('the pipeline limits', () => {
  // Guards against 1,500 pipelined jobs of one connection that take the capacity of all callers.
  it('runs a few requests of a connection, lets some wait and closes it for more', () => {
    const decisions = Array.from({ length: 100 }, (_, index) =>
      decidePipelined(
        { runningRequests: Math.min(index, 4), openRequests: index + 1, unsentBytes: 0 },
        limits,
      ),
    );
    expect(decisions.lastIndexOf(PipelineDecisions.RUN)).toEqual(3);
    expect(decisions.indexOf(PipelineDecisions.CLOSE)).toEqual(64);
  });

  // Guards against responses that pile up for a client that does not read them.
  it('closes a connection with many unread responses', () => {
    const load = { runningRequests: 0, openRequests: 1, unsentBytes: 65_537 };
    expect(decidePipelined(load, limits)).toEqual(PipelineDecisions.CLOSE);
  });
});

describe('the shape of a document', () => {
  const shapeLimits = { elements: 120_000, depth: 512, items: 10_000 };
  const fields = [
    { name: 'steps', depth: 1 },
    { name: 'after', depth: 3 },
  ];
  const measure = (text: string) => measureDocument(text, shapeLimits, fields).fault;
  const steps = (count: number) => `{"steps":[${'{},'.repeat(count).slice(0, -1)}]}`;

  // Guards against 80,000 empty steps in 240 KB, whose objects stall the process for seconds.
  it('finds too many steps, also behind an escaped key', () => {
    expect(measure(steps(10_001))).toEqual(ShapeFaults.ITEMS);
    expect(measure(steps(10_001).replace('steps', '\\u0073teps'))).toEqual(ShapeFaults.ITEMS);
    expect(measure(`{"steps":[{"after":[${'0,'.repeat(10_000)}0]}]}`)).toEqual(ShapeFaults.ITEMS);
    expect(measure(`[${'['.repeat(513)}`)).toEqual(ShapeFaults.DEPTH);
    expect(measure(`{"x":[${'0,'.repeat(120_000)}0]}`)).toEqual(ShapeFaults.ELEMENTS);
  });

  // Guards against the refusal of a job that is valid today.
  it('accepts the largest job, and brackets and commas in strings', () => {
    expect(measure(steps(10_000))).toEqual(undefined);
    expect(measure(JSON.stringify({ spec: '[{,"\\'.repeat(20_000), steps: [] }))).toEqual(
      undefined,
    );
    const after = Array.from({ length: 10_000 }, (_, index) => index);
    expect(measure(JSON.stringify({ steps: [{ after }, { after }] }))).toEqual(undefined);
  });
});

describe('the queue of large documents', () => {
  function createQueue(maxWaitMs: number) {
    const deferred: (() => void)[] = [];
    const timer = createManualTimer();
    const errors: unknown[] = [];
    const queue = createTurnQueue({
      maxWaitMs,
      clock: timer,
      defer: (work) => deferred.push(work),
      onError: (error) => errors.push(error),
    });
    return { queue, deferred, errors };
  }

  // Guards against 300 large bodies that are parsed in a row while nobody else is served.
  it('does one piece of work a turn, goes on after a failure and refuses what would wait long', () => {
    const { queue, deferred, errors } = createQueue(100);
    const done: number[] = [];
    const added = Array.from({ length: 300 }, (_, index) =>
      queue.add(BODY_BYTES, () => {
        done.push(index);
        if (index === 0) throw new Error('a fault');
      }),
    );
    expect(added.filter((remove) => remove !== undefined).length < 10).toEqual(true);
    added[1]?.();
    deferred.shift()?.();
    expect([done, deferred.length, errors.length]).toEqual([[0], 1, 1]);
    deferred.shift()?.();
    expect(done).toEqual([0, 2]);
  });
});

describe('the limits of a process', () => {
  // Guards against a default that the smallest machine cannot keep.
  it('leave a small machine most of its memory, and follow from the machine', () => {
    const small = computeIngressLimits({ memoryMb: 210, maxFds: 2_212 });
    expect(small.readingBytes + small.workBytes < 30 * MB).toEqual(true);
    expect(small.readingBytes > 8 * BODY_BYTES).toEqual(true);
    expect(small.connections < limits.connections).toEqual(true);
  });

  // Guards against an invalid variable that is ignored without a word.
  it('can be set by environment variables', () => {
    const read = (environment: Record<string, string>) => readIngressLimits({}, environment);
    const set = read({ CELERYBARROW_INGRESS_DEPTH: '7', CELERYBARROW_MEMORY_MB: '210' });
    expect(set.unwrapOr(limits).depth).toEqual(7);
    expect(set.unwrapOr(limits).readingBytes < limits.readingBytes).toEqual(true);
    expect(read({ CELERYBARROW_INGRESS_DEPTH: 'x' }).isErr).toEqual(true);
  });

  // Guards against a log line for each of thousands of refusals.
  it('lead to a few log lines a second, with the number of omitted ones', async () => {
    const timer = createManualTimer();
    const lines: unknown[] = [];
    const write = (_message: string, context?: unknown) => lines.push(context);
    const log = createBoundedLog({ info: write, warn: write }, timer, 2);
    for (let count = 0; count < 1_000; count += 1) log.warn('Refused.', {});
    await timer.advance(1_000);
    log.warn('Refused.', {});
    expect(lines).toEqual([{}, {}, { omittedLines: 998 }]);
  });
});
