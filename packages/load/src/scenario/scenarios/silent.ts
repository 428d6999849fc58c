import {setEndpointFaults} from '../../deployment/index.js';
import {type Scenario, type ScenarioContext} from '../definitions.js';
import {waitForShare} from '../core/waiting.js';

/** Makes the open connections of a primary go silent for good, while new ones work. */
export class SilentScenario implements Scenario {
	get name(): string {
		return 'silent';
	}

	get summary(): string {
		return 'open connections of a primary go silent for good, new ones work';
	}

	async run(context: ScenarioContext): Promise<void> {
		const {deployment, log, markFault, report} = context;
		await waitForShare(context, 0.3);
		const primary = await deployment.primaryOf(deployment.plan.databases[0] ?? '');
		log(`open connections of ${primary.memberId} go silent`);
		markFault(primary.database);
		await setEndpointFaults(primary, {silentConnections: 'all'});
		await waitForShare(context, 0.4);
		const record = await deployment.platform.readGroup(primary.database);
		report('termAfterwards', record.term);
		report('primaryUnchanged', record.primary === primary.memberId);
	}
}
