/** Finds runs of one task that ran at the same time, each on a worker that was up. */
export function findOverlaps(runs) {
  const broken = [];
  const byTask = new Map();
  for (const run of runs) byTask.set(run.task, [...(byTask.get(run.task) ?? []), run]);
  for (const [task, all] of byTask) {
    all.sort((a, b) => a.startMs - b.startMs);
    for (const [index, later] of all.entries()) {
      for (const earlier of all.slice(0, index)) {
        const endMs = Math.min(earlier.endMs ?? Infinity, later.endMs ?? Infinity);
        const overlapMs = Math.round(endMs - later.startMs);
        if (overlapMs <= 0) continue;
        broken.push(
          `run ${earlier.number} of ${task} on ${earlier.worker} and run ${later.number} on ${later.worker} ran at the same time for ${overlapMs} ms`,
        );
      }
    }
  }
  return broken;
}
