/**
 * Names the group of a task. Tasks of one team, step and size class are assumed to use a machine in
 * the same way.
 */

/** Bounds the memory for group names. Longer names that begin alike share a group. */
const MAX_TEAM_LENGTH = 48;
/** A size class spans a factor of four, so that the usual spread of demands stays within one. */
const SIZE_CLASS_FACTOR = 4;
const CORE = 1_000;

export interface GroupedTask {
  readonly team: string;
  readonly step: number;
  /** Demand in thousandths of a core. */
  readonly cores: number;
}

export function groupKey({ team, step, cores }: GroupedTask): string {
  return `${team.slice(0, MAX_TEAM_LENGTH)}/${step}/${sizeClass(cores)}`;
}

function sizeClass(cores: number): number {
  return Math.round(Math.log(Math.max(1, cores) / CORE) / Math.log(SIZE_CLASS_FACTOR));
}
