/** Entry point of `celerybarrow-standin`, which runs one stand-in in its own process. */
import { cac } from 'cac';
import { describeError, parseAddress, type Address } from '@celerybarrow/shared';
import { startEndpointStandin } from './endpointStandin.js';
import { startPlatformStandin } from './platformStandin.js';

const EXIT_FAILURE = 1;
const EXIT_BAD_ARGUMENTS = 2;

export async function main(argv: readonly string[]): Promise<void> {
  const cli = cac('celerybarrow-standin');
  cli
    .command('platform', 'Key-value service and list of instances')
    .option('--listen <IP:PORT>', 'Address to listen on', { default: '127.0.0.1:9000' })
    .action(async (options: { listen: string }) => {
      const standin = await startPlatformStandin(readAddress(options.listen));
      printUrlAndHandleSignals('platform', standin.url);
    });
  cli
    .command('endpoint', 'Endpoint with slots and a speed')
    .option('--listen <IP:PORT>', 'Address to listen on', { default: '127.0.0.1:9100' })
    .option('--slots <N>', 'Tasks it runs at once', { default: 8 })
    .option('--speed <X>', 'Speed relative to 1', { default: 1 })
    .option('--fail-ratio <R>', 'Share of tasks that fail', { default: 0 })
    .option('--straggle-ratio <R>', 'Share of tasks that take ten times as long', { default: 0 })
    .option('--seed <N>', 'Seed of its randomness', { default: 1 })
    .action(async (options: EndpointFlags) => {
      const standin = await startEndpointStandin({
        listen: readAddress(options.listen),
        seed: Number(options.seed),
        behaviour: {
          slots: Number(options.slots),
          speed: Number(options.speed),
          failRatio: Number(options.failRatio),
          straggleRatio: Number(options.straggleRatio),
        },
      });
      printUrlAndHandleSignals('endpoint', standin.url);
    });
  cli.help();
  try {
    cli.parse(['node', 'celerybarrow-standin', ...argv], { run: false });
    if (cli.matchedCommand === undefined && cli.options['help'] !== true) {
      process.stderr.write('celerybarrow-standin: name a stand-in: platform or endpoint\n');
      process.exitCode = EXIT_BAD_ARGUMENTS;
      return;
    }
    await cli.runMatchedCommand();
  } catch (error) {
    process.stderr.write(`celerybarrow-standin: ${describeError(error)}\n`);
    process.exitCode = error instanceof RangeError ? EXIT_BAD_ARGUMENTS : EXIT_FAILURE;
  }
}

interface EndpointFlags {
  readonly listen: string;
  readonly slots: number;
  readonly speed: number;
  readonly failRatio: number;
  readonly straggleRatio: number;
  readonly seed: number;
}

function readAddress(text: string): Address {
  const address = parseAddress(text);
  if (address === undefined) throw new RangeError(`"${text}" is not IP:PORT`);
  return address;
}

/** Prints the URL of the stand-in and exits with code 0 on SIGTERM or SIGINT. */
function printUrlAndHandleSignals(kind: string, url: string): void {
  process.stdout.write(`${kind} stand-in listens on ${url}\n`);
  process.on('SIGTERM', () => process.exit(0));
  process.on('SIGINT', () => process.exit(0));
}
