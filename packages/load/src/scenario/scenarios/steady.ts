import {setEndpointFaults} from '../../deployment/index.js';
import {type Scenario, type ScenarioContext} from '../definitions.js';

/** Load without a failure; optionally one replica of each group applies entries late. */
export class SteadyScenario implements Scenario {
	get name(): string {
		return 'steady';
	}

	get summary(): string {
		return 'load without a failure; --apply-lag-ms delays one replica of each group';
	}

	async run({deployment, options, log}: ScenarioContext): Promise<void> {
		const {applyLagMs} = options;
		if (applyLagMs === undefined) {
			return;
		}

		await Promise.all(deployment.plan.databases.map(async database => {
			const primary = await deployment.primaryOf(database);
			const replica = deployment.endpointsOf(database).find(endpoint => endpoint !== primary);
			if (replica) {
				log(`${replica.memberId} applies entries ${applyLagMs} ms late`);
				await setEndpointFaults(replica, {applyLagMs});
			}
		}));
	}
}
