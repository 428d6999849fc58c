import {type Scenario, type ScenarioContext} from '../definitions.js';
import {delayOneReplica} from '../infra/replica-lag.js';

/** Load without a failure; optionally one replica of each group applies entries late. */
export class SteadyScenario implements Scenario {
	get name(): string {
		return 'steady';
	}

	get summary(): string {
		return 'load without a failure; --apply-lag-ms delays one replica of each group';
	}

	async run({deployment, options, log}: ScenarioContext): Promise<void> {
		if (options.applyLagMs !== undefined) {
			await delayOneReplica(deployment, options.applyLagMs, log);
		}
	}
}
