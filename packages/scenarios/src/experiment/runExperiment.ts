/** Runs one policy of an experiment on real instances and collects its metrics. */
import { setTimeout as delay } from 'node:timers/promises';
import { Agent, request } from 'undici';
import { createUuidV7 } from '@celerybarrow/shared';
import { createHttpStore } from '@celerybarrow/store';
import { publish, readServiceFile } from '@celerybarrow/configuration';
import { readStatus, waitUntil } from '../conditions.js';
import { startFleet, type Fleet } from '../fleet.js';
import type { Scenario } from '../scenarioSchema.js';
import type { Experiment } from './experimentSchema.js';
import { computeIdealTimes, type IdealTime } from './idealTimes.js';
import type { JobResult } from './jobResult.js';
import { summarize, type PolicyResult, type UsageSample } from './summary.js';
import { getDataCentreNames, getEndpointSpeed, planWorkload, type PlannedJob } from './workload.js';

const START_TIMEOUT_MS = 30_000;
const UNLIMITED_RATE = 10_000_000;

export async function runPolicy(
  experiment: Experiment,
  policy: string,
  number: number,
): Promise<PolicyResult> {
  const fleet = await startFleet({
    scenario: createFleetScenario(experiment),
    number,
    isMeasured: true,
    extraFlags: ['--policy', policy, ...experiment.instanceFlags],
  });
  const agent = new Agent({ connections: 512 });
  try {
    await prepare(fleet, experiment);
    const jobs = planWorkload(experiment);
    const ideal = computeIdealTimes(experiment, jobs);
    const before = await sampleUsage(fleet);
    const results = await submitWorkload(fleet, agent, experiment, jobs, ideal);
    const after = await sampleUsage(fleet);
    return summarize({ policy, experiment, results, before, after });
  } finally {
    await agent.destroy();
    await fleet.close();
  }
}

function createFleetScenario(experiment: Experiment): Scenario {
  const fleet = Object.fromEntries(
    getDataCentreNames(experiment).map((name) => [
      name,
      {
        instances: Array.from(
          { length: experiment.instancesEach },
          (_, index) => `${name}-e${index + 1}`,
        ),
        spare: [],
        endpoints: Array.from({ length: experiment.endpointsEach }, (_, index) => ({
          slots: experiment.slots,
          speed: getEndpointSpeed(experiment, index),
          failRatio: index >= experiment.endpointsEach - experiment.failingEach ? 1 : 0,
        })),
      },
    ]),
  );
  return { name: experiment.name, property: 1, fleet, steps: [] };
}

async function prepare(fleet: Fleet, experiment: Experiment): Promise<void> {
  const platform = createHttpStore(fleet.platform.url);
  const services = Array.from({ length: experiment.teams }, (_, index) => {
    const file = readServiceFile({
      path: 'experiment',
      text: createServiceText(experiment, index + 1),
    });
    if (file.isErr) throw new Error(file.error.map((fault) => fault.message).join('; '));
    return file.value;
  });
  await publish({
    platform,
    services,
    removals: [],
    publication: createUuidV7(Date.now()),
    pause: (ms) => delay(ms),
  });
  await platform.close();
  if (experiment.straggleRatio > 0) {
    for (const { standin } of fleet.endpoints.values())
      standin.setBehaviour({ straggleRatio: experiment.straggleRatio });
  }
  await waitUntil('the fleet is ready', START_TIMEOUT_MS, async () => {
    const statuses = await Promise.all(
      [...fleet.instances.values()].map((instance) => readStatus(instance.operate)),
    );
    return statuses.every(
      (status) =>
        status?.role === 'member' &&
        status.configuration.version > 0 &&
        status.roster?.settled === true,
    );
  });
}

/** Creates a team's service file. Every team has its own service; every endpoint runs them all. */
function createServiceText(experiment: Experiment, team: number): string {
  const kinds = Object.entries(experiment.kinds).map(
    ([name, kind]) =>
      `  ${name}: { expectedMs: ${kind.declaredMs ?? kind.medianMs}, idempotent: true }`,
  );
  return [
    `service: ${getServiceName(`team${team}`)}`,
    `team: team${team}`,
    'kinds:',
    ...kinds,
    `limits: { ratePerSecond: ${UNLIMITED_RATE}, concurrency: 10000, queue: 1000000 }`,
  ].join('\n');
}

function getServiceName(team: string): string {
  return `service-${team}`;
}

async function submitWorkload(
  fleet: Fleet,
  agent: Agent,
  experiment: Experiment,
  jobs: readonly PlannedJob[],
  ideal: readonly IdealTime[],
): Promise<JobResult[]> {
  const entries = [...fleet.instances.values()];
  const startMs = performance.now();
  const pendingResults = jobs.map(async (job, index): Promise<JobResult> => {
    await delay(Math.max(0, job.atMs - (performance.now() - startMs)));
    // Callers submit to an instance in the home data centre, as with a local load balancer.
    const localInstances = entries.filter((entry) => entry.dataCentre === job.home);
    const entry = localInstances[index % localInstances.length];
    const sentMs = performance.now();
    const outcome = await submit(agent, entry?.listen ?? '', experiment, job);
    const idealTime = ideal[index] ?? { responseMs: 0, boundMs: 0 };
    return { job, ideal: idealTime, outcome, responseMs: performance.now() - sentMs };
  });
  await delay(Math.max(0, experiment.durationMs - (performance.now() - startMs)));
  return Promise.all(pendingResults);
}

async function submit(
  agent: Agent,
  entry: string,
  experiment: Experiment,
  job: PlannedJob,
): Promise<string> {
  const body = JSON.stringify({
    id: createUuidV7(Date.now()),
    service: getServiceName(job.team),
    home: job.home,
    deadlineMs: experiment.deadlineMs,
    tasks: job.tasks.map((task, index) => ({
      name: `t${index}`,
      kind: task.kind,
      payload: { workMs: task.workMs },
    })),
  });
  try {
    const response = await request(`${entry}/v1/jobs`, {
      dispatcher: agent,
      method: 'POST',
      headers: { 'content-type': 'application/json' },
      body,
      headersTimeout: 0,
    });
    const answer = (await response.body.json()) as { outcome?: string };
    return answer.outcome ?? `status ${response.statusCode}`;
  } catch {
    return 'no answer';
  }
}

async function sampleUsage(fleet: Fleet): Promise<UsageSample[]> {
  return Promise.all(
    [...fleet.instances.values()].map(async (instance) => {
      const response = await request(`${instance.operate}/v1/status`);
      return (await response.body.json()) as UsageSample;
    }),
  );
}
