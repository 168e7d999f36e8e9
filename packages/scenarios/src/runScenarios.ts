/** Runs scenario files from the command line: `npm run scenarios -- [--logs FOLDER] FILE...`. */
import { mkdir, readFile } from 'node:fs/promises';
import { cac } from 'cac';
import { describeError } from '@celerybarrow/shared';
import { parseScenario } from './scenarioSchema.js';
import { runScenario } from './runScenario.js';

const cli = cac('scenarios');
cli.option('--logs <FOLDER>', 'Write the instance logs to this folder');
cli.help();
const { args, options } = cli.parse(process.argv, { run: false });
const logFolder = options['logs'] as string | undefined;
if (logFolder !== undefined) await mkdir(logFolder, { recursive: true });

for (const [index, file] of args.entries()) {
  const scenario = parseScenario(await readFile(file, 'utf8'));
  const startedMs = performance.now();
  try {
    const report = await runScenario(scenario, { number: index + 1, logFolder });
    const seconds = ((performance.now() - startedMs) / 1_000).toFixed(1);
    process.stdout.write(
      `held    ${scenario.name} (${seconds} s) ${JSON.stringify(report.outcomes)}`,
    );
    process.stdout.write(` needless doubts: ${report.needlessMayHaveRun}\n`);
  } catch (error) {
    process.stdout.write(`FAILED  ${scenario.name}: ${describeError(error)}\n`);
    process.exitCode = 1;
  }
}
