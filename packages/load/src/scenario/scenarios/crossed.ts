import {setEndpointFaults, type EndpointFaults} from '../../deployment/index.js';
import {type Scenario, type ScenarioContext} from '../definitions.js';
import {waitForShare} from '../core/waiting.js';

/** Lets every instance of a group answer late, then with foreign answers in between, then incompletely. */
export class CrossedScenario implements Scenario {
	get name(): string {
		return 'crossed';
	}

	get summary(): string {
		return 'answers of a group are late, mixed with foreign ones and incomplete';
	}

	async run(context: ScenarioContext): Promise<void> {
		const {deployment, log, markFault} = context;
		const endpoints = deployment.endpointsOf(deployment.plan.databases[0] ?? '');
		const setFaults = async (faults: EndpointFaults): Promise<void> => {
			await Promise.all(endpoints.map(async endpoint => setEndpointFaults(endpoint, faults)));
		};

		await waitForShare(context, 0.2);
		log('answers are late');
		markFault(endpoints[0]?.database);
		await setFaults({answerDelayMs: 40});
		await waitForShare(context, 0.2);
		log('each answer follows one that belongs to no request');
		await setFaults({crossAnswers: true});
		await waitForShare(context, 0.15);
		log('answers end before their last row');
		await setFaults({answerDelayMs: 0, crossAnswers: false, dropMidRows: true});
		await waitForShare(context, 0.15);
		await setFaults({dropMidRows: false});
	}
}
