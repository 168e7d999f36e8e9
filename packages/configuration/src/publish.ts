/**
 * Publishes and removes services by compare-and-swap. When the answer to a write is lost, the
 * document is read back to find out whether the write took effect. After a race with another
 * operator, the write is retried only if the other operator changed different services.
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

const MAX_ATTEMPTS = 8;

export interface PublishOptions {
  readonly platform: Store;
  readonly services: readonly ServiceFile[];
  readonly removals: readonly string[];
  /** Unique id of this publication; identifies it when the document is read back. */
  readonly publication: string;
  /** Version that the operator reviewed; publishing fails when another version is current. */
  readonly baseVersion?: number | undefined;
  readonly pause: (ms: number) => Promise<void>;
}

export interface Publication {
  readonly configuration: Configuration;
  readonly difference: Difference;
}

const RETRY_PAUSE_MS = 250;

/**
 * Publishes and removes services. Errors: CONFIGURATION_CONFLICT, CONFIGURATION_INVALID,
 * CONFIGURATION_UNAVAILABLE.
 */
export async function publish(
  options: PublishOptions,
): Promise<Result<Publication, ConfigurationError>> {
  const { platform, publication } = options;
  let firstRead: Configuration | undefined;
  let isUncertain = false;
  for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
    if (attempt > 0) await options.pause(RETRY_PAUSE_MS);
    const readResult = await readPublished(platform);
    if (readResult.isErr) {
      if (isUncertain) continue;
      return Result.err(readResult.error);
    }
    const { configuration: current, revision } = readResult.value;
    if (current.publications.includes(publication))
      return Result.ok(describePublished(firstRead, current));
    firstRead ??= current;
    const conflictError = findConcurrentChange(options, firstRead, current);
    if (conflictError !== undefined) return Result.err(conflictError);

    const next = createNextConfiguration(current, options.services, options.removals, publication);
    const difference = compareConfigurations(current, next);
    if (isEmptyDifference(difference)) return Result.ok({ configuration: current, difference });
    const encoded = encodeConfiguration(next);
    if (encoded.isErr) {
      return Result.err(
        new ConfigurationError(
          ErrorCodes.CONFIGURATION_INVALID,
          `${encoded.error} bytes exceed the size limit`,
        ),
      );
    }
    const writeResult = await platform.compareAndSwap(CONFIGURATION_KEY, revision, encoded.value);
    if (writeResult.isOk) return Result.ok({ configuration: next, difference });
    if (isNonRetryable(writeResult.error)) {
      return Result.err(
        new ConfigurationError(ErrorCodes.CONFIGURATION_UNAVAILABLE, undefined, writeResult.error),
      );
    }
    isUncertain ||= writeResult.error.code === ErrorCodes.PLATFORM_UNKNOWN_OUTCOME;
  }
  const detail = isUncertain
    ? 'the change may or may not be in force; check with `celerybarrow services` before trying again'
    : 'the change was not made';
  return Result.err(new ConfigurationError(ErrorCodes.CONFIGURATION_UNAVAILABLE, detail));
}

/** Returns the result of a publication that an earlier attempt wrote without getting an answer. */
function describePublished(before: Configuration | undefined, current: Configuration): Publication {
  return { configuration: current, difference: compareConfigurations(before ?? current, current) };
}

/**
 * Returns an error if the current version is not the base version, or if another operator has
 * changed the same services since the first read.
 */
function findConcurrentChange(
  options: PublishOptions,
  firstRead: Configuration,
  current: Configuration,
): ConfigurationError | undefined {
  const { baseVersion } = options;
  if (baseVersion !== undefined && baseVersion !== current.version) {
    return createConflictError(
      `version ${current.version} is in force, not ${baseVersion}; review it and publish again`,
    );
  }
  const ownServices = new Set([
    ...options.services.map((file) => file.service),
    ...options.removals,
  ]);
  const concurrentChanges = compareConfigurations(firstRead, current);
  const overlap = [
    ...concurrentChanges.added,
    ...concurrentChanges.changed,
    ...concurrentChanges.removed,
  ].filter((name) => ownServices.has(name));
  if (overlap.length === 0) return undefined;
  return createConflictError(
    `${overlap.join(', ')} changed in version ${current.version}; review it and publish again`,
  );
}

function createConflictError(detail: string): ConfigurationError {
  return new ConfigurationError(ErrorCodes.CONFIGURATION_CONFLICT, detail);
}

function isNonRetryable(error: StoreError): boolean {
  return (
    error.code === ErrorCodes.PLATFORM_UNREACHABLE || error.code === ErrorCodes.PLATFORM_BAD_ANSWER
  );
}
