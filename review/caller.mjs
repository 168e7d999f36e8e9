/** A stand-in for a client: sends one request and returns what it saw. */
import { request as send } from 'node:http';
import { performance } from 'node:perf_hooks';
import { randomBytes } from 'node:crypto';
import { Buffer } from 'node:buffer';

export const HOST = 'desk.example';

export function newJobId() {
  return randomBytes(8).toString('hex');
}

/**
 * Resolves to `{ status, body, sentMs, endedMs }`. The status is undefined if the connection ended
 * without a complete answer; `error` then tells how.
 */
export function call({ address, method, path, body, deadlineMs = 5_000, agent }) {
  const [host, port] = address.split(':');
  const text = body === undefined ? '' : JSON.stringify(body);
  const headers = {
    host: HOST,
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
    'deadline-ms': deadlineMs,
  };
  const sentMs = performance.now();
  return new Promise((resolve) => {
    const request = send({ host, port, method, path, headers, agent }, (response) => {
      const chunks = [];
      response.on('data', (chunk) => chunks.push(chunk));
      response.on('error', (error) => {
        resolve({ sentMs, endedMs: performance.now(), error: error.code ?? error.message });
      });
      response.on('end', () => {
        resolve({
          status: response.statusCode,
          connection: response.headers.connection,
          isReused: request.reusedSocket,
          body: Buffer.concat(chunks).toString('utf8'),
          sentMs,
          endedMs: performance.now(),
        });
      });
    });
    request.setTimeout(deadlineMs + 1_000, () => request.destroy(new Error('deadline')));
    request.on('error', (error) => {
      const isReused = request.reusedSocket;
      resolve({ sentMs, endedMs: performance.now(), isReused, error: error.code ?? error.message });
    });
    request.end(text);
  });
}
