/**
 * Runs the fault soak from the command line:
 * `npm run soak -- [--from SEED] [--seeds COUNT] [--logs FOLDER]`.
 */
import { mkdir } from 'node:fs/promises';
import { cac } from 'cac';
import { describeError } from '@celerybarrow/shared';
import { runScenario } from '../runScenario.js';
import { drawScenario } from './drawScenario.js';

const DEFAULT_SEEDS = 5;

const cli = cac('soak');
cli.option('--from <SEED>', 'First seed; derived from the clock by default');
cli.option('--seeds <COUNT>', `Number of seeds to run in sequence; ${DEFAULT_SEEDS} by default`);
cli.option('--logs <FOLDER>', 'Write the instance logs to this folder');
cli.help();
const { options } = cli.parse(process.argv, { run: false });
const firstSeed = Number(options['from'] ?? Date.now() % 1_000_000);
const count = Number(options['seeds'] ?? DEFAULT_SEEDS);
const logFolder = options['logs'] as string | undefined;
if (logFolder !== undefined) await mkdir(logFolder, { recursive: true });

let failures = 0;
for (let seed = firstSeed; seed < firstSeed + count; seed += 1) {
  const startedMs = performance.now();
  const seconds = () => `${((performance.now() - startedMs) / 1_000).toFixed(1)} s`;
  try {
    const report = await runScenario(drawScenario(seed), { number: (seed % 250) + 1, logFolder });
    const needlessAnswers = `needless doubts: ${report.needlessMayHaveRun}`;
    process.stdout.write(
      `held    seed ${seed} (${seconds()}) ${JSON.stringify(report.outcomes)} ${needlessAnswers}\n`,
    );
  } catch (error) {
    failures += 1;
    process.stdout.write(`FAILED  seed ${seed} (${seconds()}): ${describeError(error)}\n`);
  }
}
process.stdout.write(`${count - failures} of ${count} seeds held\n`);
process.exitCode = failures === 0 ? 0 : 1;
