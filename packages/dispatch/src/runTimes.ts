/**
 * How long a task will run on an endpoint, learned from what has run.
 *
 * Load pattern: declared estimates are off by a third to either side, jobs of one team resemble
 * each other, and endpoints differ in speed by almost three times. The declared estimate and the
 * team's usual time are both noisy readings of the truth, so their geometric mean is used; the
 * slowness of an endpoint is learned as a factor on top.
 */

/** Weight of a new run in a team's usual time. */
const TEAM_WEIGHT = 0.05;
/** Weight of a new run in the slowness of an endpoint, for usual and for striking deviations. */
const ENDPOINT_WEIGHT = 0.15;
const STRIKING_WEIGHT = 0.4;
/** Log of a deviation, above what spread and estimates explain, that calls for quick belief. */
const STRIKING_LOG = 0.9;
/** Time after which half of a learned slowness above the usual is forgotten without new runs. */
const SLOWNESS_HALF_LIFE_MS = 4_000;
const LARGEST_LOG_SLOWNESS = 3;
/** Slowness, as a log, up to which an endpoint is one of the usual spread and nothing is forgotten. */
const USUAL_LOG_SLOWNESS = 0.7;

export interface RunTimes {
  /** Expected run time on an endpoint of usual speed, in milliseconds. */
  baseMs(team: string, estimateMs: number): number;
  /** Factor of an endpoint on the base; 1 when nothing is known. */
  slowness(endpoint: string, nowMs: number): number;
  learn(run: FinishedRun, nowMs: number): void;
  forget(endpoint: string): void;
}

export interface FinishedRun {
  readonly team: string;
  readonly estimateMs: number;
  readonly endpoint: string;
  readonly ranMs: number;
}

interface TeamTimes {
  /** Logs of the usual time, and of how far estimates are off. */
  usual: number;
  bias: number;
  runs: number;
}

interface EndpointSpeed {
  logSlowness: number;
  atMs: number;
}

export function createRunTimes(): RunTimes {
  const teams = new Map<string, TeamTimes>();
  const endpoints = new Map<string, EndpointSpeed>();

  function logBase(team: string, estimateMs: number): number {
    const declared = Math.log(Math.max(1, estimateMs));
    const known = teams.get(team);
    if (known === undefined) return declared;
    return (declared + known.bias + known.usual) / 2;
  }

  function logSlowness(endpoint: string, nowMs: number): number {
    const known = endpoints.get(endpoint);
    if (known === undefined) return 0;
    const excess = known.logSlowness - USUAL_LOG_SLOWNESS;
    if (excess <= 0) return known.logSlowness;
    return USUAL_LOG_SLOWNESS + excess * 0.5 ** ((nowMs - known.atMs) / SLOWNESS_HALF_LIFE_MS);
  }

  return {
    baseMs: (team, estimateMs) => Math.exp(logBase(team, estimateMs)),
    slowness: (endpoint, nowMs) => Math.exp(logSlowness(endpoint, nowMs)),
    learn({ team, estimateMs, endpoint, ranMs }, nowMs) {
      const ran = Math.log(Math.max(1, ranMs));
      const slowness = logSlowness(endpoint, nowMs);
      const deviation = ran - logBase(team, estimateMs) - slowness;
      const weight = Math.abs(deviation) > STRIKING_LOG ? STRIKING_WEIGHT : ENDPOINT_WEIGHT;
      const learned = Math.min(LARGEST_LOG_SLOWNESS, slowness + weight * deviation);
      endpoints.set(endpoint, { logSlowness: learned, atMs: nowMs });
      learnTeam(teams, team, Math.log(Math.max(1, estimateMs)), ran - slowness);
    },
    forget(endpoint) {
      endpoints.delete(endpoint);
    },
  };
}

function learnTeam(
  teams: Map<string, TeamTimes>,
  team: string,
  declared: number,
  normalized: number,
): void {
  const known = teams.get(team);
  if (known === undefined) {
    teams.set(team, { usual: normalized, bias: normalized - declared, runs: 1 });
    return;
  }
  known.runs += 1;
  const weight = Math.max(TEAM_WEIGHT, 1 / known.runs);
  known.usual += weight * (normalized - known.usual);
  known.bias += weight * (normalized - declared - known.bias);
}
