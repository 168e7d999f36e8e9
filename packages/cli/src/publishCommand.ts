/**
 * Implements `celerybarrow publish`, which validates service files, publishes them and prints the
 * changes. With `--dry-run`, it validates the files and prints the changes without publishing them.
 */
import { randomUUID } from 'node:crypto';
import { setTimeout as delay } from 'node:timers/promises';
import { ErrorCodes } from '@celerybarrow/shared';
import { createHttpStore, type Store } from '@celerybarrow/store';
import {
  compareConfigurations,
  createNextConfiguration,
  findConflicts,
  publish,
  readPublished,
  readServiceFile,
  type Configuration,
  type ConfigurationError,
  type Difference,
  type FileIssue,
  type NamedService,
} from '@celerybarrow/configuration';
import { CliError } from './cliError.js';
import { collectFiles } from './collectFiles.js';
import { ExitCodes } from './exitCodes.js';
import { requestJson } from './httpClient.js';
import { listMembers } from './rosters.js';
import { formatTable, type Terminal } from './terminal.js';

const POLL_INTERVAL_MS = 200;
const INSTANCE_TIMEOUT_MS = 1_000;

export interface PublishFlags {
  readonly platform: string;
  /** URLs of operator interfaces in addition to those of the roster members. */
  readonly operate: readonly string[];
  readonly remove: readonly string[];
  readonly base: number | undefined;
  readonly dryRun: boolean;
  readonly wait: boolean;
  readonly waitMs: number;
}

export async function publishCommand(
  paths: readonly string[],
  flags: PublishFlags,
  terminal: Terminal,
): Promise<void> {
  const services = paths.length === 0 ? [] : await readServices(paths);
  if (services.length === 0 && flags.remove.length === 0) {
    throw new CliError(
      ExitCodes.BAD_ARGUMENTS,
      'name files or folders to publish, or --remove a service',
    );
  }
  const platform = createHttpStore(flags.platform);
  try {
    await publishServices(platform, services, flags, terminal);
  } finally {
    await platform.close();
  }
}

async function publishServices(
  platform: Store,
  services: readonly NamedService[],
  flags: PublishFlags,
  terminal: Terminal,
): Promise<void> {
  const currentResult = await readPublished(platform);
  if (currentResult.isErr) throw toCliError(currentResult.error);
  const current = currentResult.value.configuration;
  throwOnIssues(findConflicts(services, current));
  const files = services.map((service) => service.file);
  if (flags.dryRun) {
    const next = createNextConfiguration(current, files, flags.remove, 'dry-run');
    const difference = compareConfigurations(current, next);
    terminal.print(
      { dryRun: true, version: current.version, difference },
      describeDifference(difference),
    );
    return;
  }
  // Reads the targets before publishing, so that the configuration can still be pushed to them if
  // the platform becomes unreachable.
  const targets = await findTargets(platform, flags.operate);
  const publishResult = await publish({
    platform,
    services: files,
    removals: flags.remove,
    publication: randomUUID(),
    baseVersion: flags.base,
    pause: (ms) => delay(ms),
  });
  if (publishResult.isErr) throw toCliError(publishResult.error);
  const { configuration, difference } = publishResult.value;
  await pushConfiguration(targets, configuration);
  const targetVersions = flags.wait
    ? await waitForVersion(targets, configuration.version, flags, terminal)
    : [];
  const lines = [
    ...describeDifference(difference),
    `Version ${configuration.version} is accepted.`,
  ];
  terminal.print(
    { version: configuration.version, difference, instances: targetVersions },
    flags.wait ? [...lines, ...formatTargetVersions(targetVersions)] : lines,
  );
  if (targetVersions.some((target) => !target.inForce)) {
    throw new CliError(ExitCodes.UNREACHABLE, 'not every instance confirmed the version in time');
  }
}

async function readServices(paths: readonly string[]): Promise<readonly NamedService[]> {
  const sources = await collectFiles(paths);
  const issues: FileIssue[] = [];
  const services: NamedService[] = [];
  for (const source of sources) {
    const file = readServiceFile(source);
    if (file.isOk) services.push({ path: source.path, file: file.value });
    else issues.push(...file.error);
  }
  throwOnIssues(issues);
  return services;
}

function throwOnIssues(issues: readonly FileIssue[]): void {
  if (issues.length === 0) return;
  const lines = issues.map((issue) => `${issue.path}:${issue.line}: ${issue.message}`);
  throw new CliError(ExitCodes.BAD_ARGUMENTS, `nothing was published\n${lines.join('\n')}`);
}

function describeDifference(difference: Difference): string[] {
  const lines = [
    ...difference.added.map((name) => `+ ${name}`),
    ...difference.changed.map((name) => `~ ${name}`),
    ...difference.removed.map((name) => `- ${name}`),
  ];
  return lines.length > 0 ? lines : ['No service differs.'];
}

/** An instance that receives the published configuration directly. */
interface Target {
  readonly name: string;
  readonly url: string;
}

/** The configuration version that is active at an instance. */
interface TargetVersion {
  readonly instance: string;
  /** Undefined if the instance did not return a version. */
  readonly version: number | undefined;
  /** Whether the published version or a newer one is active at the instance. */
  readonly inForce: boolean;
}

async function findTargets(
  platform: Store,
  extraUrls: readonly string[],
): Promise<readonly Target[]> {
  const members = await listMembers(platform);
  const memberTargets = members.flatMap((member) =>
    member.operate === undefined
      ? []
      : [{ name: member.instance, url: `http://${member.operate}` }],
  );
  const memberUrls = new Set(memberTargets.map((target) => target.url));
  const extraTargets = extraUrls
    .filter((url) => !memberUrls.has(url))
    .map((url) => ({ name: url, url }));
  return [...memberTargets, ...extraTargets];
}

/**
 * Pushes the configuration to the instances and ignores failures. An instance that misses the push
 * receives the configuration from the platform or from a peer.
 */
async function pushConfiguration(
  targets: readonly Target[],
  configuration: Configuration,
): Promise<void> {
  const body = JSON.stringify(configuration);
  await Promise.allSettled(
    targets.map((target) =>
      requestJson(`${target.url}/v1/configuration`, {
        method: 'PUT',
        body,
        timeoutMs: INSTANCE_TIMEOUT_MS,
      }),
    ),
  );
}

async function waitForVersion(
  targets: readonly Target[],
  version: number,
  flags: PublishFlags,
  terminal: Terminal,
): Promise<readonly TargetVersion[]> {
  const deadlineMs = performance.now() + flags.waitMs;
  for (;;) {
    const targetVersions = await Promise.all(targets.map((target) => readVersion(target, version)));
    const activeCount = targetVersions.filter((target) => target.inForce).length;
    terminal.progress(
      `version ${version} is in force at ${activeCount} of ${targetVersions.length} instances`,
    );
    if (activeCount === targetVersions.length || performance.now() > deadlineMs) {
      terminal.endProgress();
      return targetVersions;
    }
    await delay(POLL_INTERVAL_MS);
  }
}

async function readVersion(target: Target, version: number): Promise<TargetVersion> {
  try {
    const response = await requestJson(`${target.url}/v1/configuration`, {
      timeoutMs: INSTANCE_TIMEOUT_MS,
    });
    const activeVersion = (response.body as { version?: number }).version;
    return {
      instance: target.name,
      version: activeVersion,
      inForce: activeVersion !== undefined && activeVersion >= version,
    };
  } catch {
    return { instance: target.name, version: undefined, inForce: false };
  }
}

function formatTargetVersions(targetVersions: readonly TargetVersion[]): string[] {
  const rows = targetVersions.map((target) => [
    target.instance,
    target.version === undefined ? 'no answer' : String(target.version),
    target.inForce ? 'in force' : 'not yet',
  ]);
  return formatTable(['INSTANCE', 'VERSION', 'STATE'], rows);
}

export function toCliError(error: ConfigurationError): CliError {
  switch (error.code) {
    case ErrorCodes.CONFIGURATION_CONFLICT:
      return new CliError(ExitCodes.CONFLICT, error.message);
    case ErrorCodes.CONFIGURATION_INVALID:
      return new CliError(ExitCodes.BAD_ARGUMENTS, error.message);
    default:
      return new CliError(ExitCodes.UNREACHABLE, error.message);
  }
}
