/** Settings of the daemon, from flags and environment variables; flags take precedence. */
import { cac } from 'cac';
import { Result } from 'true-myth';
import { z } from 'zod';
import { ErrorCodes, LayerError, parseAddress, type Address } from '@celerybarrow/shared';
import { PolicyNames, type PolicyName } from '@celerybarrow/placement';

export class SettingsError extends LayerError {
  constructor(readonly faults: readonly string[]) {
    super(ErrorCodes.SETTINGS_INVALID, faults.join('; '));
  }
}

export interface Settings {
  readonly instance: string;
  readonly dataCentre: string;
  readonly listen: Address;
  readonly operate: Address;
  readonly peer: Address;
  /** Address that peers connect to, as announced to them; the peer address if undefined. */
  readonly advertisePeer?: Address | undefined;
  readonly platform: string;
  /**
   * Peers to request the roster and the configuration from while this instance lacks one of them,
   * for example because the platform does not answer.
   */
  readonly seedPeers: readonly Address[];
  readonly statsd?: Address | undefined;
  /**
   * Minimum time between becoming unready and closing the listener for callers on a planned stop.
   */
  readonly drainGraceMs: number;
  readonly answerMegabytes: number;
  readonly policy: PolicyName;
}

interface Option {
  readonly flag: string;
  readonly argument: string;
  readonly description: string;
  readonly fallback?: string;
}

const NAME = /^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$/;

export const settingOptions: Readonly<Record<keyof Settings, Option>> = {
  instance: { flag: 'instance', argument: 'NAME', description: 'Name of this instance' },
  dataCentre: {
    flag: 'data-centre',
    argument: 'NAME',
    description: 'Data centre of this instance',
  },
  listen: { flag: 'listen', argument: 'IP:PORT', description: 'Address for callers' },
  operate: { flag: 'operate', argument: 'IP:PORT', description: 'Address for operators' },
  peer: { flag: 'peer', argument: 'IP:PORT', description: 'Address for other instances' },
  advertisePeer: {
    flag: 'advertise-peer',
    argument: 'IP:PORT',
    description: 'Address that other instances connect to (default: --peer)',
    fallback: '',
  },
  platform: { flag: 'platform', argument: 'URL', description: 'URL of the platform' },
  seedPeers: {
    flag: 'seed-peers',
    argument: 'IP:PORT,...',
    description: 'Instances to ask while the platform does not answer',
    fallback: '',
  },
  statsd: {
    flag: 'statsd',
    argument: 'IP:PORT',
    description: 'StatsD server for metrics',
    fallback: '',
  },
  drainGraceMs: {
    flag: 'drain-grace-ms',
    argument: 'MS',
    description: "Time between becoming unready and closing the callers' listener",
    fallback: '1000',
  },
  answerMegabytes: {
    flag: 'answer-megabytes',
    argument: 'MB',
    description: 'Memory for answers of ended jobs',
    fallback: '32',
  },
  policy: {
    flag: 'policy',
    argument: 'NAME',
    description: 'How endpoints are chosen',
    fallback: PolicyNames.STEWARDS,
  },
};

const address = z.string().transform((text, context): Address => {
  const parsed = parseAddress(text);
  if (parsed !== undefined) return parsed;
  context.addIssue({ code: 'custom', message: `"${text}" is not IP:PORT` });
  return z.NEVER;
});
const optionalAddress = z.union([z.literal('').transform(() => undefined), address]);
const name = z.string().regex(NAME, 'must be letters, digits, dots and dashes');

const settingsSchema = z.object({
  instance: name,
  dataCentre: name,
  listen: address,
  operate: address,
  peer: address,
  advertisePeer: optionalAddress,
  platform: z
    .string()
    .url()
    .regex(/^http:\/\//, 'must be an http:// URL'),
  seedPeers: z
    .string()
    .transform((text) => text.split(',').filter(Boolean))
    .pipe(z.array(address)),
  statsd: optionalAddress,
  drainGraceMs: z.coerce.number().int().nonnegative(),
  answerMegabytes: z.coerce.number().positive(),
  policy: z.nativeEnum(PolicyNames),
});

/**
 * Reads the settings. Fails with one line per invalid setting. Returns undefined if `--help` is
 * given.
 */
export function readSettings(
  argv: readonly string[],
  environment: Readonly<Record<string, string | undefined>>,
): Result<Settings | undefined, SettingsError> {
  const cli = cac('celerybarrowd');
  for (const option of Object.values(settingOptions)) {
    cli.option(
      `--${option.flag} <${option.argument}>`,
      `${option.description} [${environmentName(option)}]`,
    );
  }
  cli.help();
  const { options } = cli.parse(['node', 'celerybarrowd', ...argv], { run: false });
  if (options['help'] === true) return Result.ok(undefined);
  const unknownFlags = findUnknownFlags(options as Record<string, unknown>);
  const parsed = settingsSchema.safeParse(
    collectValues(options as Record<string, unknown>, environment),
  );
  const faults = [
    ...unknownFlags,
    ...(parsed.success ? [] : parsed.error.issues.map(describeIssue)),
  ];
  if (parsed.success && faults.length === 0) return Result.ok(parsed.data);
  return Result.err(new SettingsError(faults));
}

function collectValues(
  options: Readonly<Record<string, unknown>>,
  environment: Readonly<Record<string, string | undefined>>,
): Record<string, string | undefined> {
  return Object.fromEntries(
    Object.entries(settingOptions).map(([key, option]) => {
      const flag = options[key];
      const value = flag === undefined ? environment[environmentName(option)] : String(flag);
      return [key, value ?? option.fallback];
    }),
  );
}

function findUnknownFlags(options: Readonly<Record<string, unknown>>): string[] {
  return Object.keys(options)
    .filter(
      (key) => key !== '--' && key !== 'help' && key !== 'h' && !Object.hasOwn(settingOptions, key),
    )
    .map((key) => `--${key} is not a setting; see --help`);
}

function environmentName(option: Option): string {
  return `CELERYBARROW_${option.flag.toUpperCase().replaceAll('-', '_')}`;
}

function describeIssue(issue: z.ZodIssue): string {
  const option = settingOptions[issue.path[0] as keyof Settings];
  if (issue.code === 'invalid_type' && issue.received === 'undefined') {
    return `--${option.flag} is missing; give it or ${environmentName(option)}`;
  }
  return `--${option.flag}: ${issue.message}; expected ${option.argument}`;
}
