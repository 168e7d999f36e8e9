/**
 * Measures the processor time that interference adds to a start: the decision, and the observation
 * of a report. Run by hand: `node packages/dispatch/dist/__tests__/interferenceBenchmark.js`.
 */
import { createInterference, groupKey, type GroupedTask } from '@celerybarrow/interference';
import { createRandom } from '@celerybarrow/shared';
import { chooseEndpoint, type Candidate, type PlacementRequest } from '../src/chooseEndpoint.js';
import { quieterEndpoint } from '../src/quieterEndpoint.js';

const GROUPS = 12;
const ROUNDS = 20_000;
const demand = { cores: 14_000, memoryMb: 64, accelerators: 0 };
const taskOf = (group: number): GroupedTask => ({ team: `team-${group}`, step: 0, cores: 14_000 });

function measureUs(call: (round: number) => void): number {
  for (let round = 0; round < ROUNDS / 4; round += 1) call(round);
  const since = process.cpuUsage();
  for (let round = 0; round < ROUNDS; round += 1) call(round);
  const { user, system } = process.cpuUsage(since);
  return Number(((user + system) / ROUNDS).toFixed(2));
}

/** Creates a pool with one run on each endpoint; all groups are noisy for their next group. */
function createPool(endpoints: number) {
  const random = createRandom(1);
  const interference = createInterference({ onPairChange: () => undefined });
  for (let group = 0; group < GROUPS; group += 1) {
    const [target, neighbour] = [groupKey(taskOf(group)), groupKey(taskOf((group + 1) % GROUPS))];
    interference.importPairs([{ target, neighbour, factor: 1.6, weight: 500, ageMs: 0 }], 0);
  }
  const candidates: Candidate[] = [];
  for (let index = 0; index < endpoints; index += 1) {
    const base = { service: 's', address: '', dataCentre: 'd', isLeaving: false, labels: [] };
    const entry = { id: `e${index}`, ...base, capacity: demand };
    candidates.push({ entry, room: demand, slowness: 0.6 + random.next() });
    const task = taskOf(index % GROUPS);
    interference.started({ endpoint: entry.id, key: 'r', task, expectedMs: 200, sentMs: 0 });
  }
  return { interference, candidates };
}

function measureDecision(endpoints: number) {
  const { interference, candidates } = createPool(endpoints);
  const request: PlacementRequest = {
    service: 's',
    step: { tasks: 1, demand, estimateMs: 200, after: [] },
    baseMs: 200,
    objectiveInMs: 800,
    patienceMs: 1_500,
    minSlowness: 0.6,
    avoided: new Set(),
    awaitedEndMs: () => Infinity,
    tasksOn: () => 0,
  };
  const decide = (usual: Candidate, group: number) => {
    const found = interference.groupOf(taskOf(group % GROUPS));
    if (found === undefined) throw new Error('the group is not known');
    quieterEndpoint(candidates, request, usual, (id, runMs) =>
      interference.penaltyMs(id, found, runMs, 0),
    );
  };
  const first = candidates[0];
  if (first === undefined) throw new Error('no endpoints');
  return {
    endpoints,
    chooseEndpointUs: measureUs(() => chooseEndpoint(candidates, request)),
    // The first endpoint runs a task of group 0, which concerns groups 1 and 11, but not 5.
    withoutLossUs: measureUs(() => {
      decide(first, 5);
    }),
    withLossUs: measureUs(() => {
      decide(first, 1);
    }),
  };
}

/** One start, one report with two runs and one end on each endpoint in turn. */
function measureObservation(endpoints: number) {
  const { interference } = createPool(endpoints);
  const startReportEndUs = measureUs((round) => {
    const endpoint = `e${round % endpoints}`;
    const nowMs = round;
    const clocks = { receivedMs: nowMs, clockMs: nowMs, writtenMs: nowMs };
    const task = taskOf(round % GROUPS);
    const key = `r${round}`;
    interference.started({ endpoint, key, task, expectedMs: 200, sentMs: nowMs - 100 });
    const running = [key, `r${round - endpoints}`].map((listed, index) => {
      return { key: listed, percent: 30 + 40 * index, isStopping: false };
    });
    interference.ended(endpoint, `r${round - 2 * endpoints}`, true);
    interference.reported({ endpoint, ...clocks, running });
  });
  return { endpoints, startReportEndUs };
}

for (const endpoints of [245, 1_800]) {
  console.log(JSON.stringify(measureDecision(endpoints)));
  console.log(JSON.stringify(measureObservation(endpoints)));
}
