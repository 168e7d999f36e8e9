/**
 * The active configuration of an instance. Newer versions come from the platform's watch, from
 * peers and from operators. A version that is not newer than the active one is ignored, so the
 * configuration never reverts.
 */
import type { Logger } from '@celerybarrow/telemetry';
import { decodeConfiguration } from './published.js';
import {
  emptyConfiguration,
  type Configuration,
  type ServiceFile,
  type TaskKind,
  type TeamQuota,
} from './schema.js';

export interface ActiveConfiguration {
  current(): Configuration;
  /** Activates a document if it is newer. Returns whether its version is now active. */
  update(text: string, source: string): boolean;
  onChange(subscriber: (configuration: Configuration) => void): void;
  findService(name: string): ServiceFile | undefined;
  findKind(service: string, kind: string): TaskKind | undefined;
  findQuota(team: string): TeamQuota | undefined;
}

export function createActiveConfiguration(logger: Logger): ActiveConfiguration {
  let active: Configuration = emptyConfiguration;
  let quotas = new Map<string, TeamQuota>();
  const subscribers = new Set<(configuration: Configuration) => void>();

  function update(text: string, source: string): boolean {
    const decoded = decodeConfiguration(text);
    if (decoded.isErr) {
      logger.warn('Rejected an invalid configuration.', {
        source,
        reason: decoded.error.message,
      });
      return false;
    }
    const next = decoded.value;
    if (next.version <= active.version) return next.version === active.version;
    active = next;
    quotas = collectQuotas(next);
    logger.info('Activated a configuration.', { version: next.version, source });
    for (const subscriber of subscribers) subscriber(next);
    return true;
  }

  return {
    current: () => active,
    update,
    onChange(subscriber) {
      subscribers.add(subscriber);
    },
    findService: (name) => ownProperty(active.services, name),
    findKind: (service, kind) => ownProperty(ownProperty(active.services, service)?.kinds, kind),
    findQuota: (team) => quotas.get(team),
  };
}

function ownProperty<T>(record: Record<string, T> | undefined, key: string): T | undefined {
  return record !== undefined && Object.hasOwn(record, key) ? record[key] : undefined;
}

function collectQuotas(configuration: Configuration): Map<string, TeamQuota> {
  const quotas = new Map<string, TeamQuota>();
  for (const file of Object.values(configuration.services)) {
    if (file.quota !== undefined) quotas.set(file.team, file.quota);
  }
  return quotas;
}
