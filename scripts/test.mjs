// Runs every compiled test file with Node's test runner, passing over the entries of KNOWN-RED.txt.
import { spawnSync } from 'node:child_process';
import { existsSync, readFileSync, readdirSync } from 'node:fs';
import { join } from 'node:path';

const SUITE_TIMEOUT_MS = 300_000;

function testFiles() {
  const roots = [...readdirSync('packages').map((name) => join('packages', name)), 'platform'];
  return roots.flatMap((root) => {
    const folder = join(root, 'dist', '__tests__');
    if (!existsSync(folder)) return [];
    return readdirSync(folder)
      .filter((file) => file.endsWith('.spec.js'))
      .map((file) => join(folder, file));
  });
}

function knownRed() {
  if (!existsSync('KNOWN-RED.txt')) return [];
  return readFileSync('KNOWN-RED.txt', 'utf8')
    .split('\n')
    .filter((line) => line.startsWith('test: '))
    .map((line) => line.slice('test: '.length).trim());
}

const red = knownRed();
for (const name of red) console.log(`known red, passed over: ${name}`);
const files = testFiles().sort();
const run = spawnSync(
  process.execPath,
  [
    '--test',
    '--test-concurrency=3',
    `--test-timeout=${SUITE_TIMEOUT_MS}`,
    '--test-reporter=spec',
    ...files,
  ],
  { stdio: 'inherit', env: { ...process.env, CELERYBARROW_KNOWN_RED: JSON.stringify(red) } },
);
process.exitCode = run.status ?? 1;
