/**
 * Predicts how long a task runs on an endpoint, from earlier runs.
 *
 * Load pattern: estimates are off by a third in either direction, jobs of one team take similar
 * time, and endpoints differ in speed by a factor of almost three. The caller's estimate and the
 * typical time of the team are both noisy measurements of the run time, so the prediction uses
 * their geometric mean. The slowness of an endpoint is a factor on top of it.
 *
 * Load pattern: some jobs take several times as long on every endpoint. Their runs must not count for
 * the slowness of their endpoints, nor runs on a slow endpoint for the usual time of the team.
 */

/** Weight of a new run in the typical time of a team. */
const TEAM_WEIGHT = 0.05;
/** Weight of a new run in the slowness of an endpoint, for normal deviations and for outliers. */
const ENDPOINT_WEIGHT = 0.15;
const OUTLIER_WEIGHT = 0.4;
/** Log deviation of an outlier: more than the spread of run times and estimates explains. */
const OUTLIER_LOG_DEVIATION = 0.9;
/** Half-life of the slowness above the normal range, while nothing runs on the endpoint. */
const SLOWNESS_HALF_LIFE_MS = 4_000;
const MAX_LOG_SLOWNESS = 3;
/** Log slowness up to which an endpoint is within the normal range, which does not decay. */
const NORMAL_LOG_SLOWNESS = 0.7;

export interface RunTimes {
  /** Returns the expected run time on an endpoint of usual speed. */
  baseMs(team: string, estimateMs: number): number;
  /** Returns the factor of an endpoint on the base time; 1 for an unknown endpoint. */
  slowness(endpoint: string, nowMs: number): number;
  /** Updates the predictions with the time of a completed run. */
  learn(run: FinishedRun, nowMs: number): void;
  /** Returns the number of runs that the predictions are based on. */
  learnedRuns(): number;
  forget(endpoint: string): void;
}

export interface FinishedRun {
  readonly team: string;
  readonly estimateMs: number;
  readonly endpoint: string;
  readonly ranMs: number;
  /**
   * Probability that the job of a slow run is long, and not its endpoint slow; undefined if the run
   * is not slow or the service has no long jobs. The run then counts for the endpoint with the
   * remaining probability only, and not for the usual time of the team.
   */
  readonly longChance?: number | undefined;
}

interface TeamTimes {
  /** Log of the typical time, and log error of the estimates. */
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
  let learnedRuns = 0;

  function logBase(team: string, estimateMs: number): number {
    const declared = Math.log(Math.max(1, estimateMs));
    const known = teams.get(team);
    if (known === undefined) return declared;
    return (declared + known.bias + known.usual) / 2;
  }

  function logSlowness(endpoint: string, nowMs: number): number {
    const known = endpoints.get(endpoint);
    if (known === undefined) return 0;
    const excess = known.logSlowness - NORMAL_LOG_SLOWNESS;
    if (excess <= 0) return known.logSlowness;
    return NORMAL_LOG_SLOWNESS + excess * 0.5 ** ((nowMs - known.atMs) / SLOWNESS_HALF_LIFE_MS);
  }

  return {
    baseMs: (team, estimateMs) => Math.exp(logBase(team, estimateMs)),
    slowness: (endpoint, nowMs) => Math.exp(logSlowness(endpoint, nowMs)),
    learn({ team, estimateMs, endpoint, ranMs, longChance }, nowMs) {
      learnedRuns += 1;
      const ran = Math.log(Math.max(1, ranMs));
      const slowness = logSlowness(endpoint, nowMs);
      const deviation = ran - logBase(team, estimateMs) - slowness;
      const weight = Math.abs(deviation) > OUTLIER_LOG_DEVIATION ? OUTLIER_WEIGHT : ENDPOINT_WEIGHT;
      const learned = Math.min(
        MAX_LOG_SLOWNESS,
        slowness + weight * (1 - (longChance ?? 0)) * deviation,
      );
      endpoints.set(endpoint, { logSlowness: learned, atMs: nowMs });
      if (longChance !== undefined) return;
      updateTeam(teams, team, Math.log(Math.max(1, estimateMs)), ran - slowness);
    },
    learnedRuns: () => learnedRuns,
    forget(endpoint) {
      endpoints.delete(endpoint);
    },
  };
}

function updateTeam(
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
