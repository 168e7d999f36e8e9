/** Reads the published configuration document from the platform. */
import { Result } from 'true-myth';
import { ErrorCodes } from '@celerybarrow/shared';
import type { Store } from '@celerybarrow/store';
import { ConfigurationError } from './configurationError.js';
import { documentSchema, emptyConfiguration, type Configuration } from './schema.js';

export const CONFIGURATION_KEY = 'celerybarrow/configuration';

export interface PublishedConfiguration {
  readonly configuration: Configuration;
  /** Store revision for compare-and-swap; 0 before the first publication. */
  readonly revision: number;
}

export async function readPublished(
  platform: Store,
): Promise<Result<PublishedConfiguration, ConfigurationError>> {
  const readResult = await platform.get(CONFIGURATION_KEY);
  if (readResult.isErr) {
    return Result.err(
      new ConfigurationError(ErrorCodes.CONFIGURATION_UNAVAILABLE, undefined, readResult.error),
    );
  }
  const entry = readResult.value;
  if (entry === undefined) return Result.ok({ configuration: emptyConfiguration, revision: 0 });
  return decodeConfiguration(entry.value).map((configuration) => ({
    configuration,
    revision: entry.revision,
  }));
}

/** Parses a document as stored by the platform or sent by a peer. */
export function decodeConfiguration(text: string): Result<Configuration, ConfigurationError> {
  try {
    const parsed = documentSchema.safeParse(JSON.parse(text));
    if (parsed.success) return Result.ok(parsed.data);
    return Result.err(
      new ConfigurationError(ErrorCodes.CONFIGURATION_INVALID, parsed.error.message),
    );
  } catch (error) {
    return Result.err(new ConfigurationError(ErrorCodes.CONFIGURATION_INVALID, 'not JSON', error));
  }
}
