/** Runs a case: writes its record, and exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run. */
import { performance } from 'node:perf_hooks';
import process from 'node:process';
import { setTimeout } from 'node:timers';
import { writeFileSync, appendFileSync } from 'node:fs';
import { join } from 'node:path';

const LIMIT_MS = 115_000;

/**
 * `play` gets `{ record, isTroubled }` and resolves to a list of sentences, one for each way in which the rule
 * was broken. It closes what it has started.
 */
export async function runCase(folder, play) {
  const path = join(folder, 'record.txt');
  const startedMs = performance.now();
  const isTroubled = process.env.TROUBLE !== '0';
  writeFileSync(path, `TROUBLE=${isTroubled ? 1 : 0}\n`);
  const record = (line) => {
    appendFileSync(path, `${((performance.now() - startedMs) / 1_000).toFixed(3)} ${line}\n`);
  };
  const cleanups = [];
  const end = (code) => {
    for (const cleanup of cleanups) cleanup();
    process.exit(code);
  };
  const stop = (reason) => () => {
    record(`the case couldn't run: ${reason}`);
    end(2);
  };
  setTimeout(stop('time is over'), LIMIT_MS);
  process.on('SIGTERM', stop('SIGTERM'));
  process.on('SIGINT', stop('SIGINT'));
  try {
    const broken = await play({ record, isTroubled, onEnd: (cleanup) => cleanups.push(cleanup) });
    for (const sentence of broken) {
      record(`BROKEN: ${sentence}`);
      process.stdout.write(`broken: ${sentence}\n`);
    }
    if (broken.length === 0) {
      record('the rule held');
      process.stdout.write('the rule held\n');
    }
    end(broken.length === 0 ? 0 : 1);
  } catch (error) {
    process.stderr.write(`${error.stack}\n`);
    stop(error.message)();
  }
}
