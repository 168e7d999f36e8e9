/** Implements `celerybarrow services`, `instances` and `endpoints`. */
import { z } from 'zod';
import { createHttpStore, InstanceRoles } from '@celerybarrow/store';
import { readPublished } from '@celerybarrow/configuration';
import { CliError } from './cliError.js';
import { ExitCodes } from './exitCodes.js';
import { requestJson } from './httpClient.js';
import { toCliError } from './publishCommand.js';
import { listMembers } from './rosters.js';
import { formatTable, type Terminal } from './terminal.js';

export async function servicesCommand(platformUrl: string, terminal: Terminal): Promise<void> {
  const platform = createHttpStore(platformUrl);
  const published = await readPublished(platform);
  await platform.close();
  if (published.isErr) throw toCliError(published.error);
  const { configuration } = published.value;
  const rows = Object.values(configuration.services).map((service) => [
    service.service,
    service.team,
    Object.keys(service.kinds).join(', '),
    `${service.limits.ratePerSecond}/s`,
  ]);
  const table = formatTable(['SERVICE', 'TEAM', 'KINDS', 'RATE'], rows);
  terminal.print(configuration, [`Version ${configuration.version}`, ...table]);
}

export async function instancesCommand(platformUrl: string, terminal: Terminal): Promise<void> {
  const platform = createHttpStore(platformUrl);
  const members = await listMembers(platform);
  const listed = await platform.instances();
  await platform.close();
  if (listed.isErr) throw new CliError(ExitCodes.UNREACHABLE, listed.error.message);
  const entryInstances = listed.value.filter((instance) => instance.role === InstanceRoles.ENTRY);
  const memberNames = new Set(members.map((member) => member.instance));
  const nonMembers = entryInstances.filter((instance) => !memberNames.has(instance.id));
  const rows = [
    ...members.map((member) => [
      member.instance,
      member.dataCentre,
      'member',
      String(member.epoch),
      member.operate ?? '',
    ]),
    ...nonMembers.map((instance) => [instance.id, instance.dataCentre, instance.state, '', '']),
  ];
  const table = formatTable(['INSTANCE', 'DATA CENTRE', 'STATE', 'EPOCH', 'OPERATE'], rows);
  terminal.print({ members, listed: entryInstances }, table);
}

const statusSchema = z.object({
  instance: z.string(),
  endpoints: z.array(
    z.object({
      id: z.string(),
      address: z.string(),
      slots: z.number(),
      busy: z.number(),
      health: z.string(),
      speed: z.number(),
      failureRatio: z.number(),
    }),
  ),
});

export async function endpointsCommand(
  operateUrls: readonly string[],
  terminal: Terminal,
): Promise<void> {
  const responses = await Promise.all(operateUrls.map((url) => requestJson(`${url}/v1/status`)));
  const statuses = responses.map((response) => statusSchema.parse(response.body));
  const rows = statuses.flatMap((status) =>
    status.endpoints.map((endpoint) => [
      endpoint.id,
      status.instance,
      `${endpoint.busy}/${endpoint.slots}`,
      endpoint.health,
      endpoint.speed.toFixed(2),
      endpoint.failureRatio.toFixed(2),
    ]),
  );
  const headings = ['ENDPOINT', 'STEWARD', 'BUSY', 'HEALTH', 'SPEED', 'FAILURES'];
  terminal.print(statuses, formatTable(headings, rows));
}
