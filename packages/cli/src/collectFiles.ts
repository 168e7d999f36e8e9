/** Collects service files: named files, and every `celerybarrow.yaml` below named folders. */
import { readdir, readFile, stat } from 'node:fs/promises';
import { join } from 'node:path';
import type { SourceText } from '@celerybarrow/configuration';
import { CliError } from './cliError.js';
import { ExitCodes } from './exitCodes.js';

export const SERVICE_FILE_NAME = 'celerybarrow.yaml';
const SKIPPED_FOLDERS = new Set(['node_modules', '.git']);

export async function collectFiles(paths: readonly string[]): Promise<readonly SourceText[]> {
  const found = await Promise.all(paths.map(collectPath));
  const unique = [...new Set(found.flat())].sort();
  if (unique.length === 0) {
    throw new CliError(
      ExitCodes.BAD_ARGUMENTS,
      `no ${SERVICE_FILE_NAME} below ${paths.join(', ')}`,
    );
  }
  return Promise.all(unique.map(async (path) => ({ path, text: await readFile(path, 'utf8') })));
}

async function collectPath(path: string): Promise<string[]> {
  const found = await stat(path).catch(() => undefined);
  if (found === undefined) throw new CliError(ExitCodes.BAD_ARGUMENTS, `${path} does not exist`);
  if (!found.isDirectory()) return [path];
  const entries = await readdir(path, { withFileTypes: true });
  const nested = await Promise.all(
    entries.map((entry) => {
      if (entry.isDirectory() && !SKIPPED_FOLDERS.has(entry.name))
        return collectPath(join(path, entry.name));
      return Promise.resolve(entry.name === SERVICE_FILE_NAME ? [join(path, entry.name)] : []);
    }),
  );
  return nested.flat();
}
