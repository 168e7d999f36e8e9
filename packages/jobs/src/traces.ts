/** Records what was decided for recent jobs and why, as timestamped sentences. */
const MAX_JOBS = 2_000;
const MAX_EVENTS_PER_JOB = 200;

export interface Traces {
  add(job: string, sentence: string): void;
  find(job: string): readonly string[];
}

export function createTraces(wallMs: () => number): Traces {
  const events = new Map<string, string[]>();

  return {
    add(job, sentence) {
      const jobEvents = events.get(job) ?? [];
      if (jobEvents.length >= MAX_EVENTS_PER_JOB) return;
      jobEvents.push(`${new Date(wallMs()).toISOString()} ${sentence}`);
      // Reinserts the entry, so that the map stays ordered by latest event.
      events.delete(job);
      events.set(job, jobEvents);
      if (events.size <= MAX_JOBS) return;
      const oldest = events.keys().next().value;
      if (oldest !== undefined) events.delete(oldest);
    },
    find: (job) => events.get(job) ?? [],
  };
}
