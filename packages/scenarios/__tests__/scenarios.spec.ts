import { readdirSync, readFileSync } from 'node:fs';
import { describe, it } from 'node:test';
import { fileURLToPath } from 'node:url';
import { toleratesKnownRed } from '@celerybarrow/shared/knownRed';
import { parseScenario, runScenario } from '../src/index.js';

const FOLDER = fileURLToPath(new URL('../../scenarios/', import.meta.url));
const CONCURRENCY = 4;

describe('scenarios', { concurrency: CONCURRENCY }, () => {
  const files = readdirSync(FOLDER).filter((file) => file.endsWith('.yaml'));
  for (const [index, file] of files.entries()) {
    const scenario = parseScenario(readFileSync(`${FOLDER}${file}`, 'utf8'));
    it(scenario.name, toleratesKnownRed(scenario.name), async (context) => {
      const report = await runScenario(scenario, { number: index + 1 });
      context.diagnostic(
        `${JSON.stringify(report.outcomes)} needless doubts: ${report.needlessMayHaveRun}`,
      );
    });
  }
});
