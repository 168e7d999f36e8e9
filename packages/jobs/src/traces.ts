/** What was decided for recent jobs and why, in short sentences with times. */
const REMEMBERED_JOBS = 2_000;
const EVENTS_OF_A_JOB = 200;

export interface Traces {
  add(job: string, sentence: string): void;
  find(job: string): readonly string[];
}

export function createTraces(wallMs: () => number): Traces {
  const events = new Map<string, string[]>();

  return {
    add(job, sentence) {
      const known = events.get(job) ?? [];
      if (known.length >= EVENTS_OF_A_JOB) return;
      known.push(`${new Date(wallMs()).toISOString()} ${sentence}`);
      // Set again, so that the map stays ordered by the latest event.
      events.delete(job);
      events.set(job, known);
      if (events.size <= REMEMBERED_JOBS) return;
      const oldest = events.keys().next().value;
      if (oldest !== undefined) events.delete(oldest);
    },
    find: (job) => events.get(job) ?? [],
  };
}
