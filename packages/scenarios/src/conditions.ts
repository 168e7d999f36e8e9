/** Polls the status of instances and waits for conditions. */
import { setTimeout as delay } from 'node:timers/promises';
import { request } from 'undici';

const CHECK_INTERVAL_MS = 20;

/** Polls a condition until it is met. Throws an error with its description after `withinMs`. */
export async function waitUntil(
  description: string,
  withinMs: number,
  isMet: () => Promise<boolean> | boolean,
): Promise<void> {
  const endMs = performance.now() + withinMs;
  while (!(await isMet())) {
    if (performance.now() > endMs)
      throw new Error(`condition not met within ${withinMs} ms: ${description}`);
    await delay(CHECK_INTERVAL_MS);
  }
}

export interface InstanceStatus {
  readonly role: string;
  readonly epoch: number;
  readonly configuration: { readonly version: number };
  readonly roster?: { readonly settled: boolean };
}

/** Returns the status of an instance, or undefined when it does not answer. */
export async function readStatus(operateUrl: string): Promise<InstanceStatus | undefined> {
  try {
    const response = await request(`${operateUrl}/v1/status`, {
      headersTimeout: 1_000,
      bodyTimeout: 1_000,
    });
    return (await response.body.json()) as InstanceStatus;
  } catch {
    return undefined;
  }
}

export function isReady(operateUrl: string): Promise<boolean> {
  return respondsWithOk(`${operateUrl}/readyz`);
}

export function isHealthy(operateUrl: string): Promise<boolean> {
  return respondsWithOk(`${operateUrl}/healthz`);
}

async function respondsWithOk(url: string): Promise<boolean> {
  try {
    const response = await request(url, { headersTimeout: 1_000, bodyTimeout: 1_000 });
    await response.body.dump();
    return response.statusCode === 200;
  } catch {
    return false;
  }
}
