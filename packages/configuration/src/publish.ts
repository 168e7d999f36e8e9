/**
 * Puts service files into force by compare-and-swap. A lost answer is settled by reading back, and
 * a race with another operator is retried only when the other changed different services.
 */
import { Result } from 'true-myth';
import { ErrorCodes } from '@celerybarrow/shared';
import type { Store, StoreError } from '@celerybarrow/store';
import { ConfigurationError } from './configurationError.js';
import { readPublished, CONFIGURATION_KEY } from './published.js';
import {
  compareConfigurations,
  createNextConfiguration,
  encodeConfiguration,
  isEmptyDifference,
  type Difference,
} from './mergeServices.js';
import type { Configuration, ServiceFile } from './schema.js';

const ATTEMPTS = 8;

export interface PublishOptions {
  readonly platform: Store;
  readonly services: readonly ServiceFile[];
  readonly removals: readonly string[];
  /** Unique id of this publication. */
  readonly publication: string;
  /** Version the operator has looked at; publishing fails when another is in force. */
  readonly baseVersion?: number | undefined;
  readonly pause: (ms: number) => Promise<void>;
}

export interface Publication {
  readonly configuration: Configuration;
  readonly difference: Difference;
}

const RETRY_PAUSE_MS = 250;

/** Publishes; errors are CONFIGURATION_CONFLICT, CONFIGURATION_INVALID, CONFIGURATION_UNAVAILABLE. */
export async function publish(
  options: PublishOptions,
): Promise<Result<Publication, ConfigurationError>> {
  const { platform, publication } = options;
  let firstRead: Configuration | undefined;
  let isUncertain = false;
  for (let attempt = 0; attempt < ATTEMPTS; attempt += 1) {
    if (attempt > 0) await options.pause(RETRY_PAUSE_MS);
    const found = await readPublished(platform);
    if (found.isErr) {
      if (isUncertain) continue;
      return Result.err(found.error);
    }
    const { configuration: current, revision } = found.value;
    if (current.publications.includes(publication)) return Result.ok(settled(firstRead, current));
    firstRead ??= current;
    const refused = findRace(options, firstRead, current);
    if (refused !== undefined) return Result.err(refused);

    const next = createNextConfiguration(current, options.services, options.removals, publication);
    const difference = compareConfigurations(current, next);
    if (isEmptyDifference(difference)) return Result.ok({ configuration: current, difference });
    const text = encodeConfiguration(next);
    if (text.isErr) {
      return Result.err(
        new ConfigurationError(
          ErrorCodes.CONFIGURATION_INVALID,
          `${text.error} bytes are too many`,
        ),
      );
    }
    const written = await platform.compareAndSwap(CONFIGURATION_KEY, revision, text.value);
    if (written.isOk) return Result.ok({ configuration: next, difference });
    if (isFinal(written.error)) {
      return Result.err(
        new ConfigurationError(ErrorCodes.CONFIGURATION_UNAVAILABLE, undefined, written.error),
      );
    }
    isUncertain ||= written.error.code === ErrorCodes.PLATFORM_UNKNOWN_OUTCOME;
  }
  const detail = isUncertain
    ? 'the change may or may not be in force; look with `celerybarrow services` before trying again'
    : 'the change was not made';
  return Result.err(new ConfigurationError(ErrorCodes.CONFIGURATION_UNAVAILABLE, detail));
}

function settled(before: Configuration | undefined, current: Configuration): Publication {
  return { configuration: current, difference: compareConfigurations(before ?? current, current) };
}

function findRace(
  options: PublishOptions,
  firstRead: Configuration,
  current: Configuration,
): ConfigurationError | undefined {
  const { baseVersion } = options;
  if (baseVersion !== undefined && baseVersion !== current.version) {
    return conflict(
      `version ${current.version} is in force, not ${baseVersion}; look at it and publish again`,
    );
  }
  const touched = new Set([...options.services.map((file) => file.service), ...options.removals]);
  const other = compareConfigurations(firstRead, current);
  const clash = [...other.added, ...other.changed, ...other.removed].filter((name) =>
    touched.has(name),
  );
  if (clash.length === 0) return undefined;
  return conflict(
    `${clash.join(', ')} changed in version ${current.version}; look at it and publish again`,
  );
}

function conflict(detail: string): ConfigurationError {
  return new ConfigurationError(ErrorCodes.CONFIGURATION_CONFLICT, detail);
}

function isFinal(error: StoreError): boolean {
  return (
    error.code === ErrorCodes.PLATFORM_UNREACHABLE || error.code === ErrorCodes.PLATFORM_BAD_ANSWER
  );
}
