import {setEndpointFaults} from '../../deployment/index.js';
import {type Scenario, type ScenarioContext} from '../definitions.js';
import {waitForShare} from '../core/waiting.js';

/** Lets every instance of a group answer late and out of order, and cut row sets for a while. */
export class CrossedScenario implements Scenario {
	get name(): string {
		return 'crossed';
	}

	get summary(): string {
		return 'answers of a group are late, out of order and in part incomplete';
	}

	async run(context: ScenarioContext): Promise<void> {
		const {deployment, log, markFault} = context;
		const endpoints = deployment.endpointsOf(deployment.plan.databases[0] ?? '');
		await waitForShare(context, 0.2);
		log('answers are late and out of order');
		markFault(endpoints[0]?.database);
		await Promise.all(endpoints.map(async endpoint => setEndpointFaults(endpoint, {answerDelayMs: 40, crossAnswers: true})));
		await waitForShare(context, 0.3);
		log('answers end before their last row');
		await Promise.all(endpoints.map(async endpoint => setEndpointFaults(endpoint, {answerDelayMs: 0, crossAnswers: false, dropMidRows: true})));
		await waitForShare(context, 0.1);
		await Promise.all(endpoints.map(async endpoint => setEndpointFaults(endpoint, {dropMidRows: false})));
	}
}
