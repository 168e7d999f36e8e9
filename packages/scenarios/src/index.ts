export { runScenario, type ScenarioOptions, type ScenarioReport } from './runScenario.js';
export { parseScenario, type Scenario } from './scenarioSchema.js';
