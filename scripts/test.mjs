// Runs every compiled test file with Node's test runner. Prints the tests listed in KNOWN-RED.txt
// and passes their names to the tests, which may then tolerate these failures. Files in RUN_ALONE run
// after all others, one at a time: they measure the memory of processes that they press.
import { spawnSync } from 'node:child_process';
import { existsSync, readFileSync, readdirSync } from 'node:fs';
import { basename, join } from 'node:path';

const SUITE_TIMEOUT_MS = 300_000;
const CONCURRENCY = 3;
const RUN_ALONE = ['misbehavingClients.spec.js'];

function findTestFiles() {
  const roots = [...readdirSync('packages').map((name) => join('packages', name)), 'platform'];
  return roots.flatMap((root) => {
    const directory = join(root, 'dist', '__tests__');
    if (!existsSync(directory)) return [];
    return readdirSync(directory)
      .filter((file) => file.endsWith('.spec.js'))
      .map((file) => join(directory, file));
  });
}

function readKnownFailures() {
  if (!existsSync('KNOWN-RED.txt')) return [];
  return readFileSync('KNOWN-RED.txt', 'utf8')
    .split('\n')
    .filter((line) => line.startsWith('test: '))
    .map((line) => line.slice('test: '.length).trim());
}

const knownFailures = readKnownFailures();
for (const name of knownFailures) console.log(`known failure, listed in KNOWN-RED.txt: ${name}`);

function runFiles(files, concurrency) {
  const run = spawnSync(
    process.execPath,
    [
      '--test',
      `--test-concurrency=${concurrency}`,
      `--test-timeout=${SUITE_TIMEOUT_MS}`,
      '--test-reporter=spec',
      ...files,
    ],
    {
      stdio: 'inherit',
      env: { ...process.env, CELERYBARROW_KNOWN_RED: JSON.stringify(knownFailures) },
    },
  );
  return run.status ?? 1;
}

const files = findTestFiles().sort();
const runsAlone = (file) => RUN_ALONE.includes(basename(file));
const statuses = [
  runFiles(
    files.filter((file) => !runsAlone(file)),
    CONCURRENCY,
  ),
  runFiles(files.filter(runsAlone), 1),
];
process.exitCode = Math.max(...statuses);
