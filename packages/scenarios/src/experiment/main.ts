/** Runs experiment files: `npm run experiment -- [--out FOLDER] [--load X] [--seed N] FILE...`. */
import { readFile } from 'node:fs/promises';
import { cac } from 'cac';
import { parseExperiment, type Experiment } from './experimentSchema.js';
import { formatResults, writeReport } from './report.js';
import { runPolicy } from './runExperiment.js';
import type { PolicyResult } from './summary.js';

const FIRST_FLEET_NUMBER = 200;

const cli = cac('experiment');
cli.option('--out <FOLDER>', 'Folder for the results', { default: 'results' });
cli.option('--load <X>', 'Offered load relative to the capacity');
cli.option('--seed <N>', 'Seed of the workload');
cli.option('--policies <NAMES>', 'Policies, separated by commas');
cli.option('--duration-ms <MS>', 'Length of the run');
cli.option('--endpoints <N>', 'Endpoints per data centre');
cli.option('--instances <N>', 'Instances per data centre');
cli.option('--tasks <N>', 'Mean number of tasks per job');
cli.help();
const { args, options } = cli.parse(process.argv, { run: false });

for (const file of args) {
  const experiment = parseExperiment(await readFile(file, 'utf8'), readOverrides(options));
  const results: PolicyResult[] = [];
  for (const [index, policy] of experiment.policies.entries()) {
    results.push(await runPolicy(experiment, policy, FIRST_FLEET_NUMBER + index));
  }
  await writeReport(String(options['out']), experiment, results);
  process.stdout.write(`${formatResults(experiment, results).join('\n')}\n\n`);
}

function readOverrides(flags: Record<string, unknown>): Partial<Experiment> {
  const overrides: Record<string, unknown> = {};
  if (flags['tasks'] !== undefined)
    overrides['tasksPerJob'] = { mean: Number(flags['tasks']), most: 140 };
  if (flags['load'] !== undefined) overrides['load'] = Number(flags['load']);
  if (flags['seed'] !== undefined) overrides['seed'] = Number(flags['seed']);
  if (flags['durationMs'] !== undefined) overrides['durationMs'] = Number(flags['durationMs']);
  if (flags['endpoints'] !== undefined) overrides['endpointsEach'] = Number(flags['endpoints']);
  if (flags['instances'] !== undefined) overrides['instancesEach'] = Number(flags['instances']);
  if (flags['policies'] !== undefined) overrides['policies'] = String(flags['policies']).split(',');
  return overrides;
}
