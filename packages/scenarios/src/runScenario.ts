/**
 * Runs one scenario. In addition to the expectations of its steps, the runner always checks that no
 * task is started twice, that no task had been started when a job was answered not-run, and that
 * every complete answer contains the answers of all tasks.
 */
import { setTimeout as delay } from 'node:timers/promises';
import { describeError } from '@celerybarrow/shared';
import {
  countStarts,
  createCallers,
  findDoubleStarts,
  type JobAnswer,
  type Callers,
  type Job,
} from './callers.js';
import { readStatus, waitUntil } from './conditions.js';
import { describeFailure, formatTimeOfDay } from './describeFailure.js';
import { startFleet, type Fleet, type FleetInstance } from './fleet.js';
import { createLoads } from './loads.js';
import { publishServiceFile } from './publishServiceFile.js';
import type { ExpectStep, Scenario, Step, SubmitStep, WaitStep } from './scenarioSchema.js';

const START_TIMEOUT_MS = 20_000;
const STOP_TIMEOUT_MS = 30_000;
const QUIET_PERIOD_MS = 1_500;

export interface ScenarioReport {
  readonly name: string;
  readonly submissions: number;
  readonly outcomes: Record<string, number>;
  /** Number of may-have-run answers to jobs of which no task had been started. */
  readonly needlessMayHaveRun: number;
}

export interface ScenarioOptions {
  readonly number: number;
  readonly logFolder?: string | undefined;
  readonly extraFlags?: readonly string[];
}

/** Runs a scenario. If it fails, throws an error with all violations and the events before them. */
export async function runScenario(
  scenario: Scenario,
  options: ScenarioOptions,
): Promise<ScenarioReport> {
  const fleet = await startFleet({ scenario, ...options });
  const callers = createCallers(fleet);
  const runner = createRunner(scenario, fleet, callers);
  try {
    await runner.prepare();
    for (const [index, step] of scenario.steps.entries()) {
      await runner.take(step).catch((error: unknown) => {
        throw new Error(`step ${index + 1} ${JSON.stringify(step)}: ${String(error)}`, {
          cause: error,
        });
      });
    }
    return await runner.finish();
  } catch (error) {
    const report = await runner.describeFailure();
    throw new Error(`${describeError(error)}\n${report}`, { cause: error });
  } finally {
    runner.stopLoads();
    await callers.close();
    await fleet.close();
  }
}

function createRunner(scenario: Scenario, fleet: Fleet, callers: Callers) {
  const jobs = new Map<string, Job>();
  const pending = new Map<string, Promise<JobAnswer>>();
  const answered = new Map<string, JobAnswer>();
  const loads = createLoads(callers, listRunningInstances);
  const events: string[] = [];
  let version = 0;

  async function prepare(): Promise<void> {
    await waitUntil('the service is published', START_TIMEOUT_MS, () => publishWithRate());
    await waitUntil(
      'every instance is a member and has the configuration',
      START_TIMEOUT_MS,
      async () => {
        const statuses = await Promise.all(
          listRunningInstances().map((instance) => readStatus(instance.operate)),
        );
        const isJoined = statuses.every(
          (status) => status?.role === 'member' && status.configuration.version === version,
        );
        return isJoined && Object.keys(scenario.fleet).every(isSettled);
      },
    );
  }

  function isSettled(dataCentre: string): boolean {
    const roster = fleet.roster(dataCentre);
    const expectedMembers = scenario.fleet[dataCentre]?.instances.length ?? 0;
    return (
      expectedMembers === 0 ||
      (roster?.members.length === expectedMembers && roster.sources.length === 0)
    );
  }

  function listRunningInstances(): FleetInstance[] {
    return [...fleet.instances.values()].filter((instance) => instance.isRunning());
  }

  async function publishWithRate(ratePerSecond?: number): Promise<boolean> {
    const published = await publishServiceFile(fleet.platform.url, ratePerSecond);
    if (published !== undefined) version = Math.max(version, published);
    return published !== undefined;
  }

  function recordEvent(event: string): void {
    events.push(`${formatTimeOfDay(Date.now())} ${event}`);
  }

  async function runStep(step: Step): Promise<void> {
    recordEvent(JSON.stringify(step));
    if ('start' in step) await Promise.all(step.start.map((name) => getInstance(name).start()));
    else if ('stop' in step) await Promise.all(step.stop.map(stop));
    else if ('beginStop' in step)
      for (const name of step.beginStop) getInstance(name).signal('SIGTERM');
    else if ('awaitEnd' in step) await Promise.all(step.awaitEnd.map(awaitEnd));
    else if ('kill' in step) await Promise.all(step.kill.map(kill));
    else if ('freeze' in step) for (const name of step.freeze) getInstance(name).signal('SIGSTOP');
    else if ('thaw' in step) for (const name of step.thaw) getInstance(name).signal('SIGCONT');
    else if ('cut' in step) fleet.setCut(step.cut.between, true);
    else if ('heal' in step) fleet.setCut(step.heal.between, false);
    else if ('platform' in step) fleet.platform.setFaults(withoutUndefined(step.platform));
    else if ('lapseLeases' in step) fleet.platform.store.lapseLeases();
    else if ('submit' in step) submit(step.submit);
    else if ('resubmit' in step) resubmit(step.resubmit);
    else if ('cancel' in step)
      await callers.cancel(getJob(step.cancel.job), getInstance(step.cancel.at).listen);
    else if ('load' in step) loads.start(step.load);
    else if ('endLoad' in step) await loads.end(step.endLoad);
    else if ('endpoint' in step) await changeEndpoint(step.endpoint);
    else if ('publish' in step) await publishRates(step.publish);
    else if ('pause' in step) await delay(step.pause);
    else if ('wait' in step) await wait(step.wait);
    else checkExpectation(step.expect);
  }

  async function stop(name: string): Promise<void> {
    getInstance(name).signal('SIGTERM');
    await awaitEnd(name);
  }

  async function awaitEnd(name: string): Promise<void> {
    const status = await Promise.race([getInstance(name).ended(), delay(STOP_TIMEOUT_MS)]);
    if (status !== 0)
      throw new Error(`${name} did not exit with status 0 after SIGTERM (got ${String(status)})`);
  }

  async function kill(name: string): Promise<void> {
    getInstance(name).signal('SIGKILL');
    await getInstance(name).ended();
  }

  function submit(step: SubmitStep): void {
    const newJob = callers.create(step);
    jobs.set(step.as, newJob);
    trackAnswer(step.as, callers.send(newJob, getInstance(step.at).listen));
  }

  function resubmit(step: { job: string; at: string; as: string }): void {
    trackAnswer(step.as, callers.send(getJob(step.job), getInstance(step.at).listen));
  }

  function trackAnswer(name: string, answer: Promise<JobAnswer>): void {
    pending.set(
      name,
      answer.then((jobAnswer) => {
        answered.set(name, jobAnswer);
        recordEvent(`${name} was answered ${jobAnswer.outcome ?? 'nothing'}: ${jobAnswer.text}`);
        return jobAnswer;
      }),
    );
  }

  async function changeEndpoint({ id, state }: { id: string; state: string }): Promise<void> {
    const endpoint = getByName(fleet.endpoints, id);
    if (state === 'leaving') endpoint.setState('leaving');
    else if (state === 'dead') await endpoint.kill();
    else endpoint.standin.setBehaviour({ failRatio: state === 'failing' ? 1 : 0 });
  }

  async function publishRates(step: { rate: number; twice: boolean }): Promise<void> {
    const rates = step.twice ? [step.rate, step.rate + 1] : [step.rate];
    const accepted = await Promise.all(rates.map(publishWithRate));
    if (!accepted.some(Boolean)) throw new Error('no publication was accepted');
    if (step.twice && accepted.every(Boolean))
      throw new Error('both concurrent publications were accepted');
  }

  async function wait(step: WaitStep): Promise<void> {
    const { withinMs, started, members, version: requestedVersion, loadAnswers } = step;
    const description = JSON.stringify(step);
    if (started !== undefined) {
      await waitUntil(
        description,
        withinMs,
        () => countStarts(fleet, getJob(started.job).id) >= started.atLeast,
      );
    }
    if (step.answered !== undefined) {
      await waitUntil(
        description,
        withinMs,
        () => step.answered?.every((name) => answered.has(name)) ?? true,
      );
    }
    if (members !== undefined) await waitUntil(description, withinMs, () => hasMembers(members));
    if (requestedVersion !== undefined)
      await waitUntil(description, withinMs, () => hasVersion(requestedVersion));
    if (loadAnswers !== undefined) {
      const answers = loads.answers(loadAnswers.load);
      const before = answers.length;
      await waitUntil(description, withinMs, () => answers.length - before >= loadAnswers.atLeast);
    }
    const idleEndpoint = step.endpointIdle;
    if (idleEndpoint !== undefined) await waitUntilIdle(idleEndpoint, withinMs);
  }

  function hasMembers(members: { dataCentre: string; are: readonly string[] }): boolean {
    const roster = fleet.roster(members.dataCentre);
    if (roster === undefined || roster.sources.length > 0) return false;
    const names = roster.members.map((member) => member.instance).sort();
    return JSON.stringify(names) === JSON.stringify([...members.are].sort());
  }

  async function hasVersion(requested: {
    number: number;
    at: readonly string[];
  }): Promise<boolean> {
    const statuses = await Promise.all(
      requested.at.map((name) => readStatus(getInstance(name).operate)),
    );
    return statuses.every((status) => (status?.configuration.version ?? 0) >= requested.number);
  }

  /** Waits until an endpoint has received no new task for a quiet period. */
  async function waitUntilIdle(id: string, withinMs: number): Promise<void> {
    const endpoint = getByName(fleet.endpoints, id);
    let lastCount = -1;
    let lastChangeMs = performance.now();
    await waitUntil(`${id} receives no new tasks`, withinMs, () => {
      const count = endpoint.standin.starts().size;
      if (count !== lastCount) {
        lastCount = count;
        lastChangeMs = performance.now();
      }
      return performance.now() - lastChangeMs > QUIET_PERIOD_MS;
    });
  }

  function checkExpectation(step: ExpectStep): void {
    if (step.answer !== undefined) {
      const found = getByName(answered, step.answer);
      if (!step.outcome?.some((outcome) => outcome === found.outcome)) {
        throw new Error(
          `${step.answer} got ${found.outcome ?? 'no answer'}: ${found.text.slice(0, 300)}`,
        );
      }
    }
    if (step.sameAnswer !== undefined) {
      const [first, second] = step.sameAnswer.map((name) => getByName(answered, name).text);
      if (first !== second)
        throw new Error(`the answers differ: ${first ?? ''} and ${second ?? ''}`);
    }
    if (step.load !== undefined) loads.expectComplete(step.load, step.incomplete ?? 0);
    if (step.startsOf !== undefined) {
      const starts = countStarts(fleet, getJob(step.startsOf.job).id);
      if (starts > step.startsOf.atMost) throw new Error(`${starts} tasks were started`);
    }
  }

  async function finish(): Promise<ScenarioReport> {
    loads.stopAll();
    await loads.ended();
    await Promise.all(pending.values());
    const faults = [
      ...callers.faults,
      ...findDoubleStarts(fleet).map((task) => `${task} was started twice`),
    ];
    if (faults.length > 0) throw new Error(faults.join('\n'));
    return describeAnswers();
  }

  function describeAnswers(): ScenarioReport {
    const outcomes: Record<string, number> = {};
    for (const { outcome } of callers.answers) {
      const key = outcome ?? 'no answer';
      outcomes[key] = (outcomes[key] ?? 0) + 1;
    }
    const mayHaveRun = callers.answers.filter((jobAnswer) => jobAnswer.outcome === 'may-have-run');
    const needlessMayHaveRun = mayHaveRun.filter((jobAnswer) => jobAnswer.starts === 0).length;
    return {
      name: scenario.name,
      submissions: callers.answers.length,
      outcomes,
      needlessMayHaveRun,
    };
  }

  function getInstance(name: string): FleetInstance {
    return getByName(fleet.instances, name);
  }

  function getJob(name: string): Job {
    return getByName(jobs, name);
  }

  function describeScenarioFailure(): Promise<string> {
    const rosters = Object.keys(scenario.fleet).flatMap((name) => fleet.roster(name) ?? []);
    return describeFailure({
      events,
      rosters,
      jobs: new Map([...jobs].map(([name, { id }]) => [name, id])),
      operate: listRunningInstances().map((instance) => instance.operate),
      logs: new Map([...fleet.instances].map(([name, instance]) => [name, instance.logLines()])),
    });
  }

  return {
    prepare,
    take: runStep,
    stopLoads: () => {
      loads.stopAll();
    },
    finish,
    describeFailure: describeScenarioFailure,
  };
}

function getByName<T>(map: ReadonlyMap<string, T>, name: string): T {
  const found = map.get(name);
  if (found === undefined) throw new Error(`the scenario has not defined ${name} yet`);
  return found;
}

function withoutUndefined<T extends object>(
  value: T,
): { [K in keyof T]: Exclude<T[K], undefined> } {
  const entries = Object.entries(value).filter(([, field]) => field !== undefined);
  return Object.fromEntries(entries) as { [K in keyof T]: Exclude<T[K], undefined> };
}
