/** Writes the results of an experiment as JSON, as a table and as a plot. */
import { mkdir, writeFile } from 'node:fs/promises';
import { join } from 'node:path';
import * as vega from 'vega';
import { compile, type TopLevelSpec } from 'vega-lite';
import type { Experiment } from './experimentSchema.js';
import type { PolicyResult } from './summary.js';

export async function writeReport(
  folder: string,
  experiment: Experiment,
  results: readonly PolicyResult[],
): Promise<void> {
  await mkdir(folder, { recursive: true });
  const base = join(folder, experiment.name.replaceAll(/[^a-z0-9]+/gi, '-').toLowerCase());
  await writeFile(`${base}.json`, JSON.stringify({ experiment, results }, undefined, 2));
  await writeFile(`${base}.md`, `${formatResults(experiment, results).join('\n')}\n`);
  await writeFile(`${base}.svg`, await plot(results));
}

export function formatResults(experiment: Experiment, results: readonly PolicyResult[]): string[] {
  const lines = results.map((result) => {
    const { overIdeal, perInstance } = result;
    const ratios = [overIdeal.p50, overIdeal.p90, overIdeal.p99].map((ratio) => ratio.toFixed(2));
    return `| ${[
      result.policy,
      result.jobs,
      ratios.join(' / '),
      result.wastedPerTask.toFixed(4),
      result.messagesPerTask.toFixed(2),
      `${(perInstance.cpuShare * 100).toFixed(1)}%`,
      perInstance.residentMegabytes.toFixed(0),
      (perInstance.controlBytesPerSecond / 1_000).toFixed(1),
      perInstance.platformCallsPerSecond.toFixed(2),
      perInstance.startsPerSecond.toFixed(0),
      JSON.stringify(result.outcomes),
    ].join(' | ')} |`;
  });
  return [
    `${experiment.name}, seed ${experiment.seed}`,
    '',
    '| policy | jobs | over ideal p50 / p90 / p99 | wasted a task | peer messages a task | CPU | MB | control KB/s | platform calls/s | starts/s | outcomes |',
    '| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |',
    ...lines,
  ];
}

function plot(results: readonly PolicyResult[]): Promise<string> {
  const values = results.flatMap((result) =>
    (['p50', 'p90', 'p99'] as const).map((quantile) => ({
      policy: result.policy,
      quantile,
      ratio: result.overIdeal[quantile],
    })),
  );
  const specification: TopLevelSpec = {
    width: 360,
    height: 220,
    data: { values },
    mark: 'bar',
    encoding: {
      x: { field: 'policy', type: 'nominal', title: 'policy', sort: null },
      xOffset: { field: 'quantile' },
      y: { field: 'ratio', type: 'quantitative', title: 'response time over the ideal' },
      color: { field: 'quantile', type: 'nominal' },
    },
  };
  return new vega.View(vega.parse(compile(specification).spec), { renderer: 'none' }).toSVG();
}
