/** Entry point of `celerybarrow`, the command-line tool for operators and callers. */
import { cac } from 'cac';
import { describeError } from '@celerybarrow/shared';
import { CliError } from './cliError.js';
import { ExitCodes } from './exitCodes.js';
import { cancelCommand, explainCommand, statusCommand, submitCommand } from './jobCommands.js';
import { endpointsCommand, instancesCommand, servicesCommand } from './listCommands.js';
import { publishCommand } from './publishCommand.js';
import { createTerminal, type Terminal } from './terminal.js';

interface Flags {
  readonly json?: boolean;
  readonly entry?: string;
  readonly operate?: string;
  readonly platform?: string;
  readonly id?: string;
  readonly home?: string;
  readonly retries?: string | number;
  readonly remove?: string | readonly string[];
  readonly base?: string | number;
  readonly dryRun?: boolean;
  readonly wait?: boolean;
  readonly waitMs?: string | number;
}

const DEFAULT_WAIT_MS = 7_000;

export async function main(argv: readonly string[]): Promise<void> {
  const cli = createCli();
  try {
    cli.parse(['node', 'celerybarrow', ...argv], { run: false });
    if (cli.options['help'] === true) return;
    if (cli.matchedCommand === undefined) {
      cli.outputHelp();
      throw new CliError(ExitCodes.BAD_ARGUMENTS, 'name a command');
    }
    await cli.runMatchedCommand();
  } catch (error) {
    process.stderr.write(`celerybarrow: ${describeError(error)}\n`);
    process.exitCode = error instanceof CliError ? error.exitCode : exitCodeForError(error);
  }
}

function exitCodeForError(error: unknown): number {
  const isUsage = error instanceof Error && error.name === 'CACError';
  return isUsage ? ExitCodes.BAD_ARGUMENTS : ExitCodes.FAILED;
}

function createCli() {
  const cli = cac('celerybarrow');
  cli.option('--json', 'Print JSON');
  cli.option('--entry <URL>', "Callers' interface of an instance [CELERYBARROW_ENTRY]");
  cli.option('--operate <URL,...>', "Operators' interfaces of instances [CELERYBARROW_OPERATE]");
  cli.option('--platform <URL>', 'The platform [CELERYBARROW_PLATFORM]');
  cli.help();
  addJobCommands(cli);
  addConfigurationCommands(cli);
  return cli;
}

function addJobCommands(cli: ReturnType<typeof cac>): void {
  cli
    .command(
      'submit <file>',
      'Submit a job from a JSON file (- for standard input) and wait for its answer',
    )
    .option('--id <ID>', 'Id of the job; a new UUIDv7 by default')
    .option('--home <NAME>', 'Data centre that runs the job')
    .option('--retries <N>', 'Maximum number of resubmissions while nothing ran', { default: 0 })
    .action((file: string, flags: Flags) =>
      submitCommand(
        file,
        {
          entry: requireUrl(flags, 'entry'),
          id: flags.id,
          home: flags.home,
          retries: Number(flags.retries ?? 0),
        },
        createTerminalFor(flags),
      ),
    );
  cli
    .command('status <id>', 'Show the state of a job')
    .action((id: string, flags: Flags) =>
      statusCommand(id, requireUrl(flags, 'entry'), createTerminalFor(flags)),
    );
  cli
    .command('cancel <id>', 'Cancel a job')
    .action((id: string, flags: Flags) =>
      cancelCommand(id, requireUrl(flags, 'entry'), createTerminalFor(flags)),
    );
  cli
    .command('explain <id>', 'Show what was decided for a job and why')
    .action((id: string, flags: Flags) =>
      explainCommand(id, requireUrl(flags, 'operate'), createTerminalFor(flags)),
    );
}

function addConfigurationCommands(cli: ReturnType<typeof cac>): void {
  cli
    .command('publish [...paths]', 'Publish service files')
    .option('--remove <NAME>', 'Service to remove; may be given several times')
    .option('--base <VERSION>', 'Fail unless this version is in force')
    .option('--dry-run', 'Only show what would differ')
    .option('--wait', 'Wait until every instance has the version in force')
    .option('--wait-ms <MS>', 'How long to wait', { default: DEFAULT_WAIT_MS })
    .action((paths: readonly string[], flags: Flags) =>
      publishCommand(
        paths,
        {
          platform: requireUrl(flags, 'platform'),
          operate: splitUrls(flags.operate ?? process.env['CELERYBARROW_OPERATE']),
          remove: [flags.remove ?? []].flat(),
          base: flags.base === undefined ? undefined : Number(flags.base),
          dryRun: flags.dryRun === true,
          wait: flags.wait === true,
          waitMs: Number(flags.waitMs ?? DEFAULT_WAIT_MS),
        },
        createTerminalFor(flags),
      ),
    );
  cli
    .command('services', 'List the published services')
    .action((flags: Flags) =>
      servicesCommand(requireUrl(flags, 'platform'), createTerminalFor(flags)),
    );
  cli
    .command('instances', 'List the instances')
    .action((flags: Flags) =>
      instancesCommand(requireUrl(flags, 'platform'), createTerminalFor(flags)),
    );
  cli
    .command('endpoints', 'List the endpoints and their health')
    .action((flags: Flags) =>
      endpointsCommand(splitUrls(requireUrl(flags, 'operate')), createTerminalFor(flags)),
    );
}

function createTerminalFor(flags: Flags): Terminal {
  return createTerminal(flags.json === true);
}

/** Returns a required URL from its flag or environment variable, without a trailing slash. */
function requireUrl(flags: Flags, name: 'entry' | 'operate' | 'platform'): string {
  const variable = `CELERYBARROW_${name.toUpperCase()}`;
  const value = flags[name] ?? process.env[variable];
  if (value === undefined || value === '') {
    throw new CliError(ExitCodes.BAD_ARGUMENTS, `--${name} is missing; give it or ${variable}`);
  }
  return value.replace(/\/$/, '');
}

function splitUrls(text: string | undefined): readonly string[] {
  return (text ?? '')
    .split(',')
    .filter(Boolean)
    .map((url) => url.replace(/\/$/, ''));
}
