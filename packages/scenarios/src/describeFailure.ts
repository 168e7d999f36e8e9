/**
 * Describes a failed scenario in enough detail to find the cause from the printed text alone: the
 * steps and answers with their times, the rosters, the traces of each named job, and the last log
 * lines of all instances in chronological order. The length of every section is limited.
 */
import { request } from 'undici';
import type { Member, Roster } from '@celerybarrow/protocol';
import { z } from 'zod';

const MAX_LINE_LENGTH = 240;
const MAX_STEPS = 60;
const MAX_JOBS = 12;
const MAX_EVENTS_PER_JOB = 12;
const MAX_LOG_LINES = 160;
const TRACE_TIMEOUT_MS = 1_000;
/** Log fields that are omitted because every line has them. */
const COMMON_FIELDS: readonly string[] = ['part', 'instance', 'dataCentre', 'logLevel'];

const logLineSchema = z.object({
  context: z.record(z.unknown()),
  message: z.string(),
  time: z.number(),
});
const traceSchema = z.object({ events: z.array(z.string()) });

export interface FailedScenario {
  /** Started steps and received answers, each prefixed with its time. */
  readonly events: readonly string[];
  readonly rosters: readonly Roster[];
  /** Job ids by the names that the scenario gives to its jobs. */
  readonly jobs: ReadonlyMap<string, string>;
  /** Addresses of the operator interfaces of the running instances. */
  readonly operate: readonly string[];
  /** The last log lines of each instance, by name. */
  readonly logs: ReadonlyMap<string, readonly string[]>;
}

export async function describeFailure(failed: FailedScenario): Promise<string> {
  const sections: [string, readonly string[]][] = [
    ['steps and answers', failed.events.slice(-MAX_STEPS)],
    ['rosters in the platform', failed.rosters.map(describeRoster)],
    ['traces of the jobs', await readTraces(failed)],
    ['logs', describeLogs(failed.logs)],
  ];
  return sections
    .filter(([, lines]) => lines.length > 0)
    .map(([title, lines]) => [`-- ${title}`, ...lines.map(truncate)].join('\n'))
    .join('\n');
}

function describeRoster(roster: Roster): string {
  const names = (members: readonly Member[]) =>
    members.map((member) => `${member.instance}/${member.incarnation.slice(0, 8)}`).join(' ');
  const lost = roster.lost.map((loss) => loss.incarnation.slice(0, 8)).join(' ');
  const memoryLoss =
    roster.memoryLostBefore === 0
      ? ''
      : `; claims of ids before ${formatTimeOfDay(roster.memoryLostBefore)} may be lost`;
  return (
    `${roster.dataCentre} epoch ${roster.epoch}, version ${roster.version}: ` +
    `members ${names(roster.members)}; sources ${names(roster.sources)}; lost ${lost}${memoryLoss}`
  );
}

/** Returns the newest log lines of all instances in chronological order. */
export function describeLogs(logs: ReadonlyMap<string, readonly string[]>): string[] {
  const lines = [...logs].flatMap(([instance, texts]) =>
    texts.flatMap((text) => describeLine(instance, text)),
  );
  return lines
    .sort((a, b) => a.time - b.time)
    .slice(-MAX_LOG_LINES)
    .map((line) => line.text);
}

function describeLine(instance: string, text: string): { time: number; text: string }[] {
  const line = parseLine(text);
  if (line === undefined) return [];
  const { context, message, time } = line;
  const fields = Object.entries(context)
    .filter(([name]) => !COMMON_FIELDS.includes(name))
    .map(([name, value]) => ` ${name}=${String(value)}`);
  return [{ time, text: `${formatTimeOfDay(time)} ${instance} ${message}${fields.join('')}` }];
}

function parseLine(text: string): z.infer<typeof logLineSchema> | undefined {
  try {
    return logLineSchema.safeParse(JSON.parse(text)).data;
  } catch {
    return undefined;
  }
}

async function readTraces({ jobs, operate }: FailedScenario): Promise<string[]> {
  const newest = [...jobs].slice(-MAX_JOBS);
  const traces = await Promise.all(
    newest.map(async ([name, id]) => {
      const found = await Promise.all(operate.map((address) => readTrace(address, id)));
      const events = [...new Set(found.flat())].sort().slice(-MAX_EVENTS_PER_JOB);
      return [`${name} ${id}`, ...events.map((event) => `  ${event}`)];
    }),
  );
  return traces.flat();
}

async function readTrace(operate: string, id: string): Promise<readonly string[]> {
  try {
    const response = await request(`${operate}/v1/jobs/${encodeURIComponent(id)}/trace`, {
      headersTimeout: TRACE_TIMEOUT_MS,
      bodyTimeout: TRACE_TIMEOUT_MS,
    });
    return traceSchema.safeParse(await response.body.json()).data?.events ?? [];
  } catch {
    return [];
  }
}

export function formatTimeOfDay(wallMs: number): string {
  return new Date(wallMs).toISOString().slice(11, 23);
}

function truncate(line: string): string {
  return line.length > MAX_LINE_LENGTH ? `${line.slice(0, MAX_LINE_LENGTH)}...` : line;
}
