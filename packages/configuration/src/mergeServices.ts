/** Merges service files into the next configuration document and compares documents. */
import { isDeepStrictEqual } from 'node:util';
import { pipe } from 'fp-ts/lib/function.js';
import * as R from 'fp-ts/lib/Record.js';
import { Result } from 'true-myth';
import type { FileIssue } from './readServiceFile.js';
import { MAX_DOCUMENT_BYTES, type Configuration, type ServiceFile } from './schema.js';

const MAX_RECORDED_PUBLICATIONS = 32;

export interface NamedService {
  readonly path: string;
  readonly file: ServiceFile;
}

export interface Difference {
  readonly added: readonly string[];
  readonly changed: readonly string[];
  readonly removed: readonly string[];
}

/**
 * Finds services that are defined twice and teams whose quotas differ, both among the given files
 * and against the published services that they do not replace.
 */
export function findConflicts(
  services: readonly NamedService[],
  published: Configuration,
): readonly FileIssue[] {
  const issues: FileIssue[] = [];
  const pathOfService = new Map<string, string>();
  for (const { path, file } of services) {
    const other = pathOfService.get(file.service);
    if (other !== undefined) {
      issues.push({
        path,
        line: 1,
        message: `service ${file.service} is also defined in ${other}; remove one of them`,
      });
    }
    pathOfService.set(file.service, path);
  }
  const kept = Object.values(published.services)
    .filter((file) => !pathOfService.has(file.service))
    .map((file) => ({ path: `the published ${file.service}`, file }));
  const quotas = new Map<string, NamedService>();
  for (const service of [...kept, ...services]) {
    const { quota, team } = service.file;
    if (quota === undefined) continue;
    const other = quotas.get(team);
    if (other !== undefined && !isDeepStrictEqual(other.file.quota, quota)) {
      issues.push({
        path: service.path,
        line: 1,
        message: `quota of team ${team} differs from ${other.path}; use the same quota in both`,
      });
    }
    quotas.set(team, service);
  }
  return issues;
}

/**
 * Creates the document that follows `current` when services are published and removed. The document
 * records the id of the publication.
 */
export function createNextConfiguration(
  current: Configuration,
  services: readonly ServiceFile[],
  removals: readonly string[],
  publication: string,
): Configuration {
  const published = Object.fromEntries(services.map((file) => [file.service, file]));
  const kept = pipe(
    { ...current.services, ...published },
    R.filterWithIndex((name) => !removals.includes(name)),
  );
  return {
    version: current.version + 1,
    publications: [...current.publications, publication].slice(-MAX_RECORDED_PUBLICATIONS),
    services: { ...kept },
  };
}

/** Lists the services that were added, changed and removed between two documents. */
export function compareConfigurations(before: Configuration, after: Configuration): Difference {
  const names = Object.keys(after.services);
  return {
    added: names.filter((name) => before.services[name] === undefined),
    changed: names.filter(
      (name) =>
        before.services[name] !== undefined &&
        !isDeepStrictEqual(before.services[name], after.services[name]),
    ),
    removed: Object.keys(before.services).filter((name) => after.services[name] === undefined),
  };
}

export function isEmptyDifference(difference: Difference): boolean {
  return difference.added.length + difference.changed.length + difference.removed.length === 0;
}

/** Serializes a document; fails with its size in bytes when it is too large for the platform. */
export function encodeConfiguration(document: Configuration): Result<string, number> {
  const text = JSON.stringify(document);
  const bytes = Buffer.byteLength(text);
  return bytes > MAX_DOCUMENT_BYTES ? Result.err(bytes) : Result.ok(text);
}
