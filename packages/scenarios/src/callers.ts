/** The callers of a scenario. They submit jobs, record every answer and check it on arrival. */
import { createHash } from 'node:crypto';
import { Agent, request } from 'undici';
import { createUuidV7 } from '@celerybarrow/shared';
import { rankMembers } from '@celerybarrow/membership';
import type { Roster } from '@celerybarrow/protocol';
import { z } from 'zod';
import type { Fleet } from './fleet.js';
import type { ScenarioOutcome, SubmitStep } from './scenarioSchema.js';

const MAX_ID_DRAWS = 2_000;
const ANSWER_TIMEOUT_MS = 60_000;

export interface Job {
  readonly id: string;
  readonly home: string;
  readonly body: string;
  readonly tasks: readonly { readonly name: string; readonly payload: unknown }[];
}

export interface JobAnswer {
  readonly job: Job;
  /** Undefined when the connection ended without an answer. */
  readonly outcome: ScenarioOutcome | undefined;
  readonly text: string;
  /** Number of task starts of the job on all endpoints when the answer arrived. */
  readonly starts: number;
}

export interface Callers {
  create(step: Omit<SubmitStep, 'as' | 'at'>): Job;
  send(job: Job, entryUrl: string): Promise<JobAnswer>;
  cancel(job: Job, entryUrl: string): Promise<void>;
  /** Violations found in the answers received so far. */
  readonly faults: string[];
  readonly answers: JobAnswer[];
  close(): Promise<void>;
}

const completeSchema = z.object({
  id: z.string(),
  outcome: z.literal('complete'),
  answers: z.array(z.object({ name: z.string(), body: z.object({ echo: z.unknown() }) })),
});
const problemSchema = z.object({ outcome: z.enum(['failed', 'not-run', 'may-have-run']) });

export function createCallers(fleet: Fleet): Callers {
  const agent = new Agent({ connections: 256 });
  const faults: string[] = [];
  const answers: JobAnswer[] = [];

  function create(step: Omit<SubmitStep, 'as' | 'at'>): Job {
    const id = drawId(step);
    const tasks = Array.from({ length: step.tasks }, (_, index) => ({
      name: `t${index + 1}`,
      kind: step.kind,
      payload: { workMs: step.workMs, token: createToken(id, index) },
    }));
    const { home, deadlineMs } = step;
    const body = JSON.stringify({ id, service: 'notesmith', home, deadlineMs, tasks });
    return { id, home, body, tasks };
  }

  function drawId(step: Omit<SubmitStep, 'as' | 'at'>): string {
    const roster = fleet.roster(step.home);
    for (let draw = 0; draw < MAX_ID_DRAWS; draw += 1) {
      const id = createUuidV7(Date.now());
      if (roster === undefined || matchesRequestedMembers(roster, id, step)) return id;
    }
    throw new Error(
      `found no id with owner ${step.owner ?? '*'} and witness ${step.witness ?? '*'}`,
    );
  }

  async function send(job: Job, entryUrl: string): Promise<JobAnswer> {
    const result = await postJob(job, entryUrl);
    const jobAnswer = { ...result, starts: countStarts(fleet, job.id) };
    checkAnswer(jobAnswer);
    answers.push(jobAnswer);
    return jobAnswer;
  }

  async function postJob(job: Job, entryUrl: string): Promise<Omit<JobAnswer, 'starts'>> {
    try {
      const response = await request(`${entryUrl}/v1/jobs`, {
        dispatcher: agent,
        method: 'POST',
        headers: { 'content-type': 'application/json' },
        body: job.body,
        headersTimeout: ANSWER_TIMEOUT_MS,
      });
      const text = await response.body.text();
      return { job, text, outcome: parseOutcome(response.statusCode, text) };
    } catch (error) {
      return { job, text: String(error), outcome: undefined };
    }
  }

  /**
   * Checks an answer. A complete answer must contain the echo of every task in order. A not-run
   * answer is a violation when a task of the job has already been started.
   */
  function checkAnswer({ job, outcome, text, starts }: JobAnswer): void {
    if (outcome === 'not-run' && starts > 0) {
      faults.push(
        `job ${job.id} was answered not-run although ${starts} of its tasks were started`,
      );
    }
    if (outcome !== 'complete') return;
    const answer = completeSchema.safeParse(JSON.parse(text));
    const echoes = answer.data?.answers.map((taskAnswer) => ({
      name: taskAnswer.name,
      payload: taskAnswer.body.echo,
    }));
    const expected = job.tasks.map(({ name, payload }) => ({ name, payload }));
    if (JSON.stringify(echoes) !== JSON.stringify(expected)) {
      faults.push(
        `job ${job.id} got an incomplete answer or that of another job: ${text.slice(0, 200)}`,
      );
    }
  }

  return {
    create,
    send,
    faults,
    answers,
    async cancel(job, entryUrl) {
      const response = await request(`${entryUrl}/v1/jobs/${job.id}`, {
        dispatcher: agent,
        method: 'DELETE',
      });
      await response.body.dump();
    },
    close: () => agent.destroy(),
  };
}

/** Whether an id has the owner, witness and future owner that the step asks for. */
function matchesRequestedMembers(
  roster: Roster,
  id: string,
  step: Omit<SubmitStep, 'as' | 'at'>,
): boolean {
  const [owner, witness] = rankMembers({ roster, ceded: new Set() }, id);
  if (step.owner !== undefined && owner?.instance !== step.owner) return false;
  if (step.witness !== undefined && witness?.instance !== step.witness) return false;
  if (step.futureOwner === undefined) return true;
  const futureMember = { instance: step.futureOwner, incarnation: 'future', peer: 'future' };
  const futureRoster = { ...roster, members: [...roster.members, futureMember] };
  return rankMembers({ roster: futureRoster, ceded: new Set() }, id)[0] === futureMember;
}

function createToken(id: string, index: number): string {
  return createHash('sha1').update(`${id}/${index}`).digest('hex').slice(0, 12);
}

function parseOutcome(status: number, text: string): ScenarioOutcome | undefined {
  if (status === 200) return 'complete';
  try {
    return problemSchema.safeParse(JSON.parse(text)).data?.outcome;
  } catch {
    return undefined;
  }
}

/** Counts the task starts of a job on all endpoints. */
export function countStarts(fleet: Fleet, jobId: string): number {
  let total = 0;
  for (const endpoint of fleet.endpoints.values()) {
    for (const [key, starts] of endpoint.standin.starts()) {
      if (key.startsWith(`${jobId}/`)) total += starts;
    }
  }
  return total;
}

/** Returns the tasks that were started more than once, as `job/task`. */
export function findDoubleStarts(fleet: Fleet): string[] {
  const totals = new Map<string, number>();
  for (const endpoint of fleet.endpoints.values()) {
    for (const [key, starts] of endpoint.standin.starts())
      totals.set(key, (totals.get(key) ?? 0) + starts);
  }
  return [...totals].filter(([, starts]) => starts > 1).map(([key]) => key);
}
