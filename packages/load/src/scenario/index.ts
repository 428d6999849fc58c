/** Scenarios of the load tool: a fault beside a load, and what must hold. */
export type {
	ProgressLog, RunOptions, RunResult, Scenario, ScenarioContext, ScenarioOptions,
} from './definitions.js';
export {ScenarioRun} from './core/run-scenario.js';
export {createScenarios} from './scenarios/index.js';
export {FailoverScenario} from './scenarios/failover.js';
