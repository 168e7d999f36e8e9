/** Publishes the service file that scenarios and measurements use. */
import { setTimeout as delay } from 'node:timers/promises';
import { createUuidV7 } from '@celerybarrow/shared';
import { createHttpStore } from '@celerybarrow/store';
import { publish, readServiceFile } from '@celerybarrow/configuration';

const UNLIMITED_RATE = 100_000;

/** Returns the version in force afterwards, or undefined when the publication was rejected. */
export async function publishServiceFile(
  platformUrl: string,
  ratePerSecond = UNLIMITED_RATE,
): Promise<number | undefined> {
  const text = createServiceText(ratePerSecond);
  const file = readServiceFile({ path: 'celerybarrow.yaml', text });
  if (file.isErr) throw new Error(file.error.map((fault) => fault.message).join('; '));
  const platform = createHttpStore(platformUrl);
  const published = await publish({
    platform,
    services: [file.value],
    removals: [],
    publication: createUuidV7(Date.now()),
    pause: (ms) => delay(ms),
  });
  await platform.close();
  return published.isOk ? published.value.configuration.version : undefined;
}

function createServiceText(ratePerSecond: number): string {
  return `
service: notesmith
team: editors
kinds:
  stamp: { expectedMs: 50, idempotent: false }
  render: { expectedMs: 300, idempotent: true }
limits: { ratePerSecond: ${ratePerSecond}, concurrency: 100000, queue: 20000 }
`;
}
