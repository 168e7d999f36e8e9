/**
 * The size of a job among the latest ones of its team, by expected work. Outcomes are counted by it,
 * because a policy that starves large jobs can look sound in the figures of the whole team.
 */

export const JobSizes = {
  LARGEST_TENTH: 'largest-tenth',
  NEXT_FIFTH: 'next-fifth',
  USUAL: 'usual',
  /** Too few jobs of the team have come to tell. */
  UNKNOWN: 'unknown',
} as const;
export type JobSize = (typeof JobSizes)[keyof typeof JobSizes];

/** Latest jobs of a team that a new one is compared with, and the least that tell anything. */
const COMPARED_JOBS = 100;
const FEWEST_JOBS = 10;
/** Teams beyond this are not told apart, which bounds the number of counters. */
const MAX_TEAMS = 100;
const LARGEST_TENTH_RANK = 0.9;
const NEXT_FIFTH_RANK = 0.7;

export interface JobSizeClassifier {
  /** Takes a job that has come, and tells its size among those before it. */
  classify(team: string, work: number): JobSize;
}

interface LatestJobs {
  readonly works: number[];
  next: number;
}

export function createJobSizeClassifier(): JobSizeClassifier {
  const teams = new Map<string, LatestJobs>();

  function latestOf(team: string): LatestJobs | undefined {
    const known = teams.get(team);
    if (known !== undefined || teams.size >= MAX_TEAMS) return known;
    const created = { works: [], next: 0 };
    teams.set(team, created);
    return created;
  }

  return {
    classify(team, work) {
      const latest = latestOf(team);
      if (latest === undefined) return JobSizes.UNKNOWN;
      const size = sizeAmong(latest.works, work);
      latest.works[latest.next] = work;
      latest.next = (latest.next + 1) % COMPARED_JOBS;
      return size;
    },
  };
}

function sizeAmong(works: readonly number[], work: number): JobSize {
  if (works.length < FEWEST_JOBS) return JobSizes.UNKNOWN;
  let smaller = 0;
  for (const other of works) if (other < work) smaller += 1;
  const rank = smaller / works.length;
  if (rank >= LARGEST_TENTH_RANK) return JobSizes.LARGEST_TENTH;
  return rank >= NEXT_FIFTH_RANK ? JobSizes.NEXT_FIFTH : JobSizes.USUAL;
}
