import { execFileSync } from 'node:child_process';
import { once } from 'node:events';
import { describe, it } from 'node:test';
import { expect } from 'earl';
import { startDetached } from '../src/detachedProcess.js';

describe('a process of a run', () => {
  // A frozen instance ended with SIGHUP when the shell of the run ended, soak seed 386788.
  it('is in a session of its own, which no end of a shell orphans', async () => {
    const child = startDetached('sleep', ['10'], 'ignore');
    await once(child, 'spawn');
    const session = execFileSync('ps', ['-o', 'sid=', '-p', String(child.pid)], {
      encoding: 'utf8',
    });
    child.kill('SIGKILL');
    await once(child, 'exit');
    expect(Number(session)).toEqual(child.pid ?? 0);
  });
});
