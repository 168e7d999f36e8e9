// Installs the locked dependencies on a fresh clone. Does nothing if they are already installed.
import { spawnSync } from 'node:child_process';
import { existsSync } from 'node:fs';

if (!existsSync('node_modules/.package-lock.json')) {
  const install = spawnSync('npm', ['ci', '--no-audit', '--no-fund'], { stdio: 'inherit' });
  process.exitCode = install.status ?? 1;
}
