/**
 * Simulates an endpoint over HTTP. It runs at most `slots` tasks at once, refuses further tasks and
 * counts the starts of every task. A task's payload can set its duration at speed 1 (`workMs`) and
 * make it fail (`fail`).
 */
import { setTimeout as delay } from 'node:timers/promises';
import { z } from 'zod';
import { createRandom, type Address } from '@celerybarrow/shared';
import {
  startJsonServer,
  type JsonReply,
  type JsonRequest,
  type JsonServer,
} from './httpServer.js';

const DEFAULT_WORK_MS = 50;

const behaviourSchema = z.object({
  slots: z.number().int().positive().default(8),
  speed: z.number().positive().default(1),
  /** Fraction of tasks that fail, after 1 ms. */
  failRatio: z.number().min(0).max(1).default(0),
  /** Fraction of tasks that take `straggleFactor` times their normal duration. */
  straggleRatio: z.number().min(0).max(1).default(0),
  straggleFactor: z.number().positive().default(10),
});
export type EndpointBehaviour = z.infer<typeof behaviourSchema>;

const taskSchema = z.object({
  job: z.string(),
  task: z.string(),
  kind: z.string(),
  startBefore: z.number().optional(),
  payload: z.unknown(),
});
const payloadSchema = z.object({
  workMs: z.number().nonnegative().optional(),
  fail: z.boolean().optional(),
});

export interface EndpointStandin extends JsonServer {
  /** Returns the number of starts of each task, keyed by `job/task`. */
  starts(): ReadonlyMap<string, number>;
  /** Returns the number of tasks refused for lack of a slot or because `startBefore` had passed. */
  refusals(): number;
  /** Changes the given settings and keeps the others. */
  setBehaviour(behaviour: Partial<EndpointBehaviour>): void;
}

export interface EndpointStandinOptions {
  readonly listen: Address;
  readonly behaviour?: Partial<EndpointBehaviour>;
  /** Seed of the random numbers that select failing and straggling tasks. */
  readonly seed?: number;
}

export async function startEndpointStandin(
  options: EndpointStandinOptions,
): Promise<EndpointStandin> {
  const random = createRandom(options.seed ?? 1);
  const starts = new Map<string, number>();
  let behaviour = behaviourSchema.parse(options.behaviour ?? {});
  let running = 0;
  let refused = 0;

  async function handleRequest(request: JsonRequest): Promise<JsonReply | undefined> {
    if (request.method === 'POST' && request.path === '/v1/tasks') return runTask(request.body);
    if (request.method === 'PUT' && request.path === '/v1/behaviour') {
      behaviour = behaviourSchema.parse({ ...behaviour, ...(request.body as object) });
      return { status: 200, body: behaviour };
    }
    if (request.path === '/v1/starts') {
      return { status: 200, body: { starts: Object.fromEntries(starts), running, refused } };
    }
    return { status: 404 };
  }

  async function runTask(body: unknown): Promise<JsonReply> {
    const parsed = taskSchema.safeParse(body);
    if (!parsed.success) return { status: 400 };
    const { job, task, kind, payload, startBefore } = parsed.data;
    const isPastStartDeadline = startBefore !== undefined && Date.now() > startBefore;
    if (running >= behaviour.slots || isPastStartDeadline) {
      refused += 1;
      return { status: 503, headers: { 'celerybarrow-not-started': '1' } };
    }
    const taskKey = `${job}/${task}`;
    starts.set(taskKey, (starts.get(taskKey) ?? 0) + 1);
    running += 1;
    try {
      return await simulateWork(task, kind, payload);
    } finally {
      running -= 1;
    }
  }

  async function simulateWork(task: string, kind: string, payload: unknown): Promise<JsonReply> {
    const workOptions = payloadSchema.safeParse(payload).data;
    if (workOptions?.fail === true || random.next() < behaviour.failRatio) {
      await delay(1);
      return { status: 500, body: { detail: 'task failed' } };
    }
    const durationFactor = random.next() < behaviour.straggleRatio ? behaviour.straggleFactor : 1;
    await delay(((workOptions?.workMs ?? DEFAULT_WORK_MS) * durationFactor) / behaviour.speed);
    return { status: 200, body: { body: { task, kind, echo: payload ?? null } } };
  }

  const server = await startJsonServer(options.listen, handleRequest);
  return {
    ...server,
    starts: () => starts,
    refusals: () => refused,
    setBehaviour(next) {
      behaviour = behaviourSchema.parse({ ...behaviour, ...next });
    },
  };
}
