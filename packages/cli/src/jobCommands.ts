/** Implements `celerybarrow submit`, `status`, `cancel` and `explain`. */
import { readFile } from 'node:fs/promises';
import { text as readStream } from 'node:stream/consumers';
import { setTimeout as delay } from 'node:timers/promises';
import { z } from 'zod';
import { createUuidV7, describeError, Outcomes } from '@celerybarrow/shared';
import { CliError } from './cliError.js';
import { ExitCodes, exitCodeOf } from './exitCodes.js';
import { requestJson, type JsonResponse } from './httpClient.js';
import type { Terminal } from './terminal.js';

const PROGRESS_POLL_INTERVAL_MS = 500;
const DEFAULT_RETRY_DELAY_MS = 1_000;

const answerSchema = z.object({
  id: z.string(),
  answers: z.array(z.object({ name: z.string(), body: z.unknown() })),
});
const problemSchema = z.object({
  title: z.string(),
  detail: z.string(),
  outcome: z.enum(['not-run', 'may-have-run', 'failed']).optional(),
});

export interface SubmitFlags {
  readonly entry: string;
  readonly id: string | undefined;
  readonly home: string | undefined;
  /** Maximum number of resubmissions while the response says that nothing ran. */
  readonly retries: number;
}

export async function submitCommand(
  file: string,
  flags: SubmitFlags,
  terminal: Terminal,
): Promise<void> {
  const submission = await readJob(file, flags);
  const response = await submitWithRetries(submission, flags, terminal);
  terminal.endProgress();
  if (response.status !== 200) throw createProblemError(response);
  const answer = answerSchema.parse(response.body);
  const lines = answer.answers.map(
    (taskAnswer) => `${taskAnswer.name}: ${JSON.stringify(taskAnswer.body)}`,
  );
  terminal.print(response.body, [`Job ${answer.id} is complete.`, ...lines]);
}

type JobDocument = Readonly<Record<string, unknown>> & { readonly id: string };

async function readJob(file: string, flags: SubmitFlags): Promise<JobDocument> {
  try {
    const text = file === '-' ? await readStream(process.stdin) : await readFile(file, 'utf8');
    const job = z.record(z.unknown()).parse(JSON.parse(text));
    const idInFile = typeof job['id'] === 'string' ? job['id'] : undefined;
    const id = flags.id ?? idInFile ?? createUuidV7(Date.now());
    return { ...job, id, ...(flags.home === undefined ? {} : { home: flags.home }) };
  } catch (error) {
    throw new CliError(ExitCodes.BAD_ARGUMENTS, `${file} is not a job: ${describeError(error)}`);
  }
}

async function submitWithRetries(
  submission: JobDocument,
  flags: SubmitFlags,
  terminal: Terminal,
): Promise<JsonResponse> {
  for (let attempt = 0; ; attempt += 1) {
    const response = await submitOnce(submission, flags.entry, terminal);
    const problem = problemSchema.safeParse(response.body).data;
    const canRetry = problem?.outcome === Outcomes.NOT_RUN && response.retryAfterMs !== undefined;
    if (!canRetry || attempt >= flags.retries) return response;
    await delay(response.retryAfterMs ?? DEFAULT_RETRY_DELAY_MS);
  }
}

async function submitOnce(
  submission: JobDocument,
  entry: string,
  terminal: Terminal,
): Promise<JsonResponse> {
  const progressAbort = new AbortController();
  const progressShown = showProgress(submission.id, entry, terminal, progressAbort.signal);
  try {
    const body = JSON.stringify(submission);
    return await requestJson(`${entry}/v1/jobs`, { method: 'POST', body, timeoutMs: 0 });
  } finally {
    progressAbort.abort();
    await progressShown;
  }
}

async function showProgress(
  id: string,
  entry: string,
  terminal: Terminal,
  signal: AbortSignal,
): Promise<void> {
  if (!process.stderr.isTTY) return;
  while (!signal.aborted) {
    await delay(PROGRESS_POLL_INTERVAL_MS, undefined, { signal }).catch(() => undefined);
    if (signal.aborted) return;
    const response = await requestJson(jobUrl(entry, id)).catch(() => undefined);
    const status = response?.body as { endedTasks?: number; tasks?: number } | undefined;
    if (status?.tasks === undefined) continue;
    terminal.progress(`${status.endedTasks ?? 0} of ${status.tasks} tasks have ended`);
  }
}

export async function statusCommand(id: string, entry: string, terminal: Terminal): Promise<void> {
  const response = await requestJson(jobUrl(entry, id));
  if (response.status !== 200) throw createNotFoundError(id);
  const status = response.body as { state: string; endedTasks?: number; tasks?: number };
  const progress =
    status.tasks === undefined
      ? ''
      : `, ${status.endedTasks ?? 0} of ${status.tasks} tasks have ended`;
  terminal.print(response.body, [`Job ${id} is ${status.state}${progress}.`]);
}

export async function cancelCommand(id: string, entry: string, terminal: Terminal): Promise<void> {
  const response = await requestJson(jobUrl(entry, id), { method: 'DELETE' });
  if (response.status !== 202) throw createNotFoundError(id);
  terminal.print(response.body, [`Job ${id} is cancelled.`]);
}

export async function explainCommand(
  id: string,
  operate: string,
  terminal: Terminal,
): Promise<void> {
  const response = await requestJson(`${operate}/v1/jobs/${encodeURIComponent(id)}/trace`);
  const { events } = z.object({ events: z.array(z.string()) }).parse(response.body);
  if (events.length === 0) throw new CliError(ExitCodes.FAILED, `nothing is known of job ${id}`);
  terminal.print(response.body, events);
}

function jobUrl(entry: string, id: string): string {
  return `${entry}/v1/jobs/${encodeURIComponent(id)}`;
}

function createNotFoundError(id: string): CliError {
  return new CliError(ExitCodes.FAILED, `job ${id} is not known, or has ended`);
}

function createProblemError(response: JsonResponse): CliError {
  const problem = problemSchema.safeParse(response.body).data;
  if (problem === undefined) return new CliError(ExitCodes.FAILED, `status ${response.status}`);
  const code = problem.outcome === undefined ? ExitCodes.FAILED : exitCodeOf(problem.outcome);
  const outcome = problem.outcome === undefined ? '' : ` (${problem.outcome})`;
  return new CliError(code, `${problem.title}: ${problem.detail}${outcome}`);
}
