// Bundles the entry point for the users' platform into one file, from sources, so that a process
// starts quickly and the build leaves nothing outside target/.
import { build } from 'esbuild';

await build({
  entryPoints: ['platform/src/main.ts'],
  outfile: 'target/celerybarrow.cjs',
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  tsconfig: 'platform/tsconfig.bundle.json',
  logLevel: 'warning',
});
