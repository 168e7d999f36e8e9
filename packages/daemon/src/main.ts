/**
 * Entry point of `celerybarrowd`: reads the settings, runs the instance and stops it on SIGTERM or
 * SIGINT.
 */
import { describeError } from '@celerybarrow/shared';
import { createTimerService } from '@celerybarrow/timer';
import { createLogger, routeLogs } from '@celerybarrow/telemetry';
import { createDaemon, type Daemon } from './daemon.js';
import { readSettings } from './settings.js';

const EXIT_FORCED = 1;
const EXIT_BAD_SETTINGS = 2;

export async function main(argv: readonly string[]): Promise<void> {
  const settings = readSettings(argv, process.env);
  if (settings.isErr) {
    for (const fault of settings.error.faults) process.stderr.write(`celerybarrowd: ${fault}\n`);
    process.exitCode = EXIT_BAD_SETTINGS;
    return;
  }
  if (settings.value === undefined) return;
  routeLogs((line) => process.stderr.write(line), settings.value.instance);
  const daemon = createDaemon({ settings: settings.value, timer: createTimerService() });
  stopOnSignals(daemon);
  try {
    await daemon.start();
  } catch (error) {
    process.stderr.write(`celerybarrowd: cannot listen: ${describeError(error)}\n`);
    process.exit(EXIT_BAD_SETTINGS);
  }
}

function stopOnSignals(daemon: Daemon): void {
  const log = createLogger('daemon');
  let isStopping = false;
  const onSignal = () => {
    if (isStopping) {
      log.error('Second signal received; exiting without answering open requests.');
      process.exit(EXIT_FORCED);
    }
    isStopping = true;
    daemon.stop().then(
      () => process.exit(0),
      (error: unknown) => {
        log.error('Graceful stop failed.', { reason: describeError(error) });
        process.exit(EXIT_FORCED);
      },
    );
  };
  process.on('SIGTERM', onSignal);
  process.on('SIGINT', onSignal);
}
