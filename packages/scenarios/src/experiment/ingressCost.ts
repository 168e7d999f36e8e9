/**
 * Measures the processor time of an ordinary request, a POST of 4,500 bytes with `spec` and steps on
 * an open connection, with a plain HTTP server and with a guarded listener: `npm run ingress-cost`.
 * Rounds of both alternate, because other load of the machine changes the figures of single rounds.
 */
import { fork } from 'node:child_process';
import { once } from 'node:events';
import { Agent, createServer, request, type Server, type ServerResponse } from 'node:http';
import { fileURLToPath } from 'node:url';
import { bindListener } from '@celerybarrow/shared';
import { createLogger, createMetrics } from '@celerybarrow/telemetry';
import { computeIngressLimits, createGuardedListener, createIngress } from '@celerybarrow/ingress';

const ROUNDS = 15;
const REQUESTS = 4_000;
const CONCURRENCY = 16;
const MAX_BYTES = 262_144;
const SPEC_CHARACTERS = 4_000;
const STEPS = 4;
const US_PER_REQUEST_DIGITS = 1;

const step = { count: 2, cpu: 4_000, memMb: 64, estimateMs: 100, after: [0], requires: 'a' };
const body = JSON.stringify({
  spec: 'x'.repeat(SPEC_CHARACTERS),
  steps: Array.from({ length: STEPS }, () => step),
});

function answer(response: ServerResponse, value: unknown): void {
  const text = JSON.stringify({ state: typeof value });
  response.writeHead(200, { 'content-length': Buffer.byteLength(text) }).end(text);
}

function createPlain(): Server {
  return createServer((received, response) => {
    void (async () => {
      const chunks: Buffer[] = [];
      let bytes = 0;
      for await (const chunk of received as AsyncIterable<Buffer>) {
        bytes += chunk.length;
        if (bytes > MAX_BYTES) return;
        chunks.push(chunk);
      }
      const value: unknown = JSON.parse(Buffer.concat(chunks).toString('utf8'));
      const disconnection = new AbortController();
      response.once('close', () => {
        if (!response.writableFinished) disconnection.abort();
      });
      answer(response, value);
    })();
  });
}

function createGuarded(): Server {
  const ingress = createIngress({
    limits: computeIngressLimits(),
    logger: createLogger('ingress'),
    metrics: createMetrics(),
  });
  return createGuardedListener({
    ingress,
    name: 'callers',
    connectionLimit: () => ingress.limits.connections,
    async handle({ response, readDocument, left }) {
      const value = await readDocument({
        maxBytes: MAX_BYTES,
        withinMs: 30_000,
        countedFields: [
          { name: 'steps', depth: 1 },
          { name: 'after', depth: 3 },
        ],
        maxItems: ingress.limits.steps,
        parse: (text) => JSON.parse(text) as unknown,
      });
      left();
      answer(response, value);
    },
    sendRefusal: (response, { status }) => response.writeHead(status).end(),
    sendFailure: (response) => response.writeHead(502).end(),
  }).server;
}

/** Sends the requests of each round that the parent asks for. */
function runClient(): void {
  const agent = new Agent({ keepAlive: true, maxSockets: CONCURRENCY });
  const send = (port: number) =>
    new Promise<void>((resolve, reject) => {
      const headers = { 'content-length': Buffer.byteLength(body), 'deadline-ms': '1500' };
      const call = request({
        port,
        host: '127.0.0.1',
        path: '/q/a',
        method: 'POST',
        headers,
        agent,
      });
      call.on('error', reject);
      call.on('response', (response) => {
        if (response.statusCode !== 200) reject(new Error(`status ${response.statusCode ?? 0}`));
        response.resume().on('end', resolve);
      });
      call.end(body);
    });
  process.on('message', (port: number) => {
    let left = REQUESTS;
    const sendNext = async (): Promise<void> => {
      while (left > 0) {
        left -= 1;
        await send(port);
      }
    };
    void Promise.all(Array.from({ length: CONCURRENCY }, sendNext)).then(() =>
      process.send?.(port),
    );
  });
}

async function measure(): Promise<void> {
  const client = fork(fileURLToPath(import.meta.url), ['client']);
  const servers = { plain: createPlain(), guarded: createGuarded() };
  const figures: Record<string, number[]> = { plain: [], guarded: [] };
  for (const server of Object.values(servers))
    await bindListener(server, { host: '127.0.0.1', port: 0 });
  for (let round = -2; round < ROUNDS; round += 1) {
    for (const [name, server] of Object.entries(servers)) {
      const bound = server.address();
      const before = process.cpuUsage();
      client.send(typeof bound === 'object' && bound !== null ? bound.port : 0);
      await once(client, 'message');
      const { user, system } = process.cpuUsage(before);
      if (round >= 0) figures[name]?.push((user + system) / REQUESTS);
    }
  }
  for (const [name, values] of Object.entries(figures)) {
    const sorted = values.sort((a, b) => a - b);
    const [least = 0] = sorted;
    const median = sorted[Math.floor(sorted.length / 2)] ?? 0;
    const format = (value: number) => value.toFixed(US_PER_REQUEST_DIGITS);
    process.stdout.write(
      `${name}: median ${format(median)} us a request, least ${format(least)}\n`,
    );
  }
  client.kill();
  process.exit(0);
}

if (process.argv.includes('client')) runClient();
else await measure();
