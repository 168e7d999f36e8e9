/** Collects service files: given files, and every `celerybarrow.yaml` below given directories. */
import { readdir, readFile, stat } from 'node:fs/promises';
import { join } from 'node:path';
import type { SourceText } from '@celerybarrow/configuration';
import { CliError } from './cliError.js';
import { ExitCodes } from './exitCodes.js';

export const SERVICE_FILE_NAME = 'celerybarrow.yaml';
const SKIPPED_DIRECTORIES = new Set(['node_modules', '.git']);

export async function collectFiles(paths: readonly string[]): Promise<readonly SourceText[]> {
  const pathLists = await Promise.all(paths.map(collectPath));
  const uniquePaths = [...new Set(pathLists.flat())].sort();
  if (uniquePaths.length === 0) {
    throw new CliError(
      ExitCodes.BAD_ARGUMENTS,
      `no ${SERVICE_FILE_NAME} below ${paths.join(', ')}`,
    );
  }
  return Promise.all(
    uniquePaths.map(async (path) => ({ path, text: await readFile(path, 'utf8') })),
  );
}

async function collectPath(path: string): Promise<string[]> {
  const stats = await stat(path).catch(() => undefined);
  if (stats === undefined) throw new CliError(ExitCodes.BAD_ARGUMENTS, `${path} does not exist`);
  if (!stats.isDirectory()) return [path];
  const entries = await readdir(path, { withFileTypes: true });
  const nested = await Promise.all(
    entries.map((entry) => {
      if (entry.isDirectory() && !SKIPPED_DIRECTORIES.has(entry.name))
        return collectPath(join(path, entry.name));
      return Promise.resolve(entry.name === SERVICE_FILE_NAME ? [join(path, entry.name)] : []);
    }),
  );
  return nested.flat();
}
