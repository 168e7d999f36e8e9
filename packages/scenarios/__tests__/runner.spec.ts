import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { mkdtempSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { describe, it } from 'node:test';
import { fileURLToPath } from 'node:url';
import { expect } from 'earl';

const RUNNER = fileURLToPath(new URL('../src/runScenarios.js', import.meta.url));
const PATIENCE_MS = 20_000;
/** Waits for what does not come, while a load is running. */
const FAILING = `
name: a load is running when a step fails
property: 1
fleet: { dub1: { instances: [e1], endpoints: [{}] } }
steps:
  - load: { as: callers, home: dub1, perSecond: 5, tasks: 1, workMs: 20 }
  - wait: { loadAnswers: { load: callers, atLeast: 2 } }
  - wait: { loadAnswers: { load: callers, atLeast: 1000 }, withinMs: 300 }
`;

describe('the runner of scenarios', () => {
  // A soak whose scenario had failed printed its last line and never ended.
  it('ends when a scenario has failed with its load running', async () => {
    const file = join(mkdtempSync(join(tmpdir(), 'celerybarrow-')), 'failing.yaml');
    writeFileSync(file, FAILING);
    const child = spawn(process.execPath, [RUNNER, file], { stdio: ['ignore', 'pipe', 'inherit'] });
    let printed = '';
    child.stdout.on('data', (chunk: Buffer) => (printed += chunk.toString()));
    const killing = setTimeout(() => child.kill('SIGKILL'), PATIENCE_MS);
    const [status] = (await once(child, 'exit')) as [number | null];
    clearTimeout(killing);
    expect(printed.startsWith('FAILED')).toEqual(true);
    expect(status).toEqual(1);
  });
});
