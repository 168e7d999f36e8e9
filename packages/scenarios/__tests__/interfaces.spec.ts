import { execFile } from 'node:child_process';
import { connect } from 'node:net';
import { once } from 'node:events';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { after, before, describe, it } from 'node:test';
import { fileURLToPath } from 'node:url';
import { promisify } from 'node:util';
import { expect } from 'earl';
import { request } from 'undici';
import { createUuidV7 } from '@celerybarrow/shared';
import { toleratesKnownRed } from '@celerybarrow/shared/knownRed';
import { readStatus, waitUntil } from '../src/conditions.js';
import { startFleet, type Fleet } from '../src/fleet.js';
import { parseScenario } from '../src/index.js';

const CLI = fileURLToPath(new URL('../../../cli/bin/celerybarrow.js', import.meta.url));
const DAEMON = fileURLToPath(new URL('../../../daemon/bin/celerybarrowd.js', import.meta.url));
const FLEET_NUMBER = 240;
const execFileAsync = promisify(execFile);

const scenario = parseScenario(`
name: interfaces
property: 2
fleet:
  dub1: { instances: [e1, e2], endpoints: [{}, {}] }
steps: []
`);

const createServiceText = (rate: number, name = 'notesmith') => `service: ${name}
team: editors
kinds:
  stamp: { expectedMs: 50, idempotent: false }
limits: { ratePerSecond: ${rate}, concurrency: 1000 }
`;

interface CliResult {
  readonly status: number;
  readonly out: string;
  readonly error: string;
}

describe('interfaces of running processes', () => {
  let fleet: Fleet;
  let folder: string;
  let entry: string;
  let operate: string;

  before(async () => {
    fleet = await startFleet({ scenario, number: FLEET_NUMBER });
    folder = await mkdtemp(join(tmpdir(), 'celerybarrow-'));
    entry = fleet.instances.get('e1')?.listen ?? '';
    operate = fleet.instances.get('e1')?.operate ?? '';
    await writeFile(join(folder, 'celerybarrow.yaml'), createServiceText(100_000));
    await waitUntil('both are members', 15_000, () => fleet.roster('dub1')?.members.length === 2);
    const published = await runCli(['publish', folder, '--wait']);
    expect(published.status).toEqual(0);
  });

  after(async () => {
    await fleet.close();
    await rm(folder, { recursive: true });
  });

  async function runCli(argv: readonly string[]): Promise<CliResult> {
    const flags = ['--platform', fleet.platform.url, '--entry', entry, '--operate', operate];
    try {
      const { stdout, stderr } = await execFileAsync(process.execPath, [CLI, ...argv, ...flags]);
      return { status: 0, out: stdout, error: stderr };
    } catch (error) {
      const failed = error as { code: number; stdout: string; stderr: string };
      return { status: failed.code, out: failed.stdout, error: failed.stderr };
    }
  }

  function createJob(changes: object = {}, tasks = 1) {
    return {
      id: createUuidV7(Date.now()),
      service: 'notesmith',
      home: 'dub1',
      tasks: Array.from({ length: tasks }, (_, index) => ({
        name: `t${index}`,
        kind: 'stamp',
        payload: { workMs: 5 },
      })),
      ...changes,
    };
  }

  async function postJob(
    body: string,
  ): Promise<{ status: number; type: string; body: Record<string, unknown> }> {
    const response = await request(`${entry}/v1/jobs`, { method: 'POST', body });
    return {
      status: response.statusCode,
      type: String(response.headers['content-type']),
      body: (await response.body.json()) as Record<string, unknown>,
    };
  }

  const invalidRequests: [string, () => string, number, string][] = [
    ['malformed JSON', () => '{"id":', 400, 'not-run'],
    ['no tasks', () => JSON.stringify(createJob({}, 0)), 422, 'not-run'],
    ['141 tasks', () => JSON.stringify(createJob({}, 141)), 422, 'not-run'],
    ['an unknown service', () => JSON.stringify(createJob({ service: 'none' })), 404, 'not-run'],
    [
      'a service named like a property',
      () => JSON.stringify(createJob({ service: '__proto__' })),
      404,
      'not-run',
    ],
    [
      'an unknown kind',
      () => JSON.stringify(createJob({ tasks: [{ name: 'a', kind: 'toString', payload: 1 }] })),
      422,
      'not-run',
    ],
    [
      'a body over the limit',
      () => JSON.stringify(createJob({ id: 'x'.repeat(5_000_000) })),
      413,
      'not-run',
    ],
    ['an unknown home', () => JSON.stringify(createJob({ home: 'cork' })), 422, 'not-run'],
    [
      'an id from the future',
      () => JSON.stringify(createJob({ id: createUuidV7(Date.now() + 60_000) })),
      422,
      'not-run',
    ],
    [
      'an id past its retention',
      () => JSON.stringify(createJob({ id: createUuidV7(Date.now() - 3_600_000) })),
      422,
      'may-have-run',
    ],
  ];
  for (const [description, body, status, outcome] of invalidRequests) {
    const name = `a caller that sends ${description} gets ${status} and ${outcome}`;
    it(name, toleratesKnownRed(name), async () => {
      const answer = await postJob(body());
      expect(answer.status).toEqual(status);
      expect(answer.type).toEqual('application/problem+json');
      expect(answer.body['outcome']).toEqual(outcome);
    });
  }

  it('a job of 140 tasks is answered completely and in order, and another job with its id is refused', async () => {
    const job = createJob({}, 140);
    const answer = await postJob(JSON.stringify(job));
    const names = (answer.body['answers'] as { name: string }[]).map(
      (taskAnswer) => taskAnswer.name,
    );
    expect(names).toEqual(job.tasks.map((task) => task.name));
    const other = await postJob(JSON.stringify({ ...job, tasks: job.tasks.slice(1) }));
    expect([other.status, other.body['outcome']]).toEqual([409, 'may-have-run']);
  });

  it('a job can be looked up, explained and cancelled', async () => {
    const job = createJob({}, 60);
    const slow = {
      ...job,
      tasks: job.tasks.map((task) => ({ ...task, payload: { workMs: 3_000 } })),
    };
    const answer = postJob(JSON.stringify(slow));
    await waitUntil('the job runs', 5_000, async () =>
      (await runCli(['status', job.id])).out.includes('running'),
    );
    expect((await runCli(['cancel', job.id])).status).toEqual(0);
    expect((await answer).status).toEqual(409);
    expect((await runCli(['explain', job.id])).out).toInclude('Cancelled.');
    expect((await runCli(['status', 'unknown'])).status).toEqual(1);
  });

  it('a slow and a malformed request do not affect other callers', async () => {
    const { hostname, port } = new URL(entry);
    const slow = connect(Number(port), hostname);
    slow.write('POST /v1/jobs HTTP/1.1\r\nhost: a\r\ncontent-length: 100\r\n\r\n{');
    const malformed = connect(Number(port), hostname);
    malformed.on('error', () => undefined);
    malformed.resume();
    malformed.write('\u0000\u0001 nonsense\r\n\r\n');
    await once(malformed, 'close');
    expect((await postJob(JSON.stringify(createJob()))).status).toEqual(200);
    slow.destroy();
  });

  it('the operator interface serves health, readiness and status, and no other path', async () => {
    for (const [path, status] of [
      ['/healthz', 200],
      ['/readyz', 200],
      ['/v1/status', 200],
      ['/nothing', 404],
    ] as const) {
      const response = await request(`${operate}${path}`);
      await response.body.dump();
      expect(response.statusCode).toEqual(status);
    }
    expect((await readStatus(operate))?.role).toEqual('member');
  });

  it('an operator cannot apply an older or a malformed configuration', async () => {
    const before = (await readStatus(operate))?.configuration.version;
    for (const body of ['{', JSON.stringify({ version: 0, publications: [], services: {} })]) {
      const response = await request(`${operate}/v1/configuration`, { method: 'PUT', body });
      await response.body.dump();
      expect(response.statusCode).toEqual(409);
    }
    expect((await readStatus(operate))?.configuration.version).toEqual(before);
  });

  it('publish reports errors, differences and conflicts in its output and exit status', async () => {
    const invalidFile = join(folder, 'bad.yaml');
    await writeFile(invalidFile, createServiceText(1).replace('team: editors', 'team: 5'));
    const refused = await runCli(['publish', invalidFile]);
    expect(refused.status).toEqual(2);
    expect(refused.error).toInclude('bad.yaml:2: team is number');
    const other = join(folder, 'other.yaml');
    await writeFile(other, createServiceText(1, 'other'));
    expect((await runCli(['publish', other, '--dry-run'])).out).toInclude('+ other');
    expect((await runCli(['publish', other, '--base', '999'])).status).toEqual(5);
    expect((await runCli(['publish', other])).status).toEqual(0);
    expect((await runCli(['publish', other])).out).toInclude('No service differs.');
    expect((await runCli(['services'])).out).toInclude('other');
    expect((await runCli(['publish', '--remove', 'other'])).status).toEqual(0);
    expect((await runCli(['services'])).out.includes('other')).toEqual(false);
  });

  it('the command line submits a job and distinguishes refusals by exit status', async () => {
    const file = join(folder, 'job.json');
    await writeFile(file, JSON.stringify({ ...createJob(), id: undefined }));
    expect((await runCli(['submit', file])).out).toInclude('is complete');
    await writeFile(file, JSON.stringify(createJob({ service: 'none' })));
    expect((await runCli(['submit', file])).status).toEqual(3);
    await writeFile(file, '[]');
    expect((await runCli(['submit', file])).status).toEqual(2);
    expect((await runCli(['nonsense'])).status).toEqual(2);
  });

  it('a daemon with invalid settings exits with status 2 and prints a line for each error', async () => {
    const failed = await execFileAsync(process.execPath, [DAEMON, '--listen', 'here']).then(
      () => undefined,
      (error: unknown) => error as { code: number; stderr: string },
    );
    expect(failed?.code).toEqual(2);
    expect(failed?.stderr.trim().split('\n').length).toEqual(6);
  });
});
