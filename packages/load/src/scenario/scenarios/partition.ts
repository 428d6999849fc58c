import {setEndpointFaults} from '../../deployment/index.js';
import {type Scenario, type ScenarioContext} from '../definitions.js';
import {waitForPromotion, waitForShare} from '../core/waiting.js';

/** Cuts a primary off from its group while proxies still reach it, and reconnects it later. */
export class PartitionScenario implements Scenario {
	get name(): string {
		return 'partition';
	}

	get summary(): string {
		return 'cuts a primary off from its group while proxies still reach it';
	}

	async run(context: ScenarioContext): Promise<void> {
		const {deployment, log, markFault} = context;
		await waitForShare(context, 0.25);
		const primary = await deployment.primaryOf(deployment.plan.databases[0] ?? '');
		log(`cutting ${primary.memberId} off from ${primary.database}`);
		markFault(primary.database);
		await setEndpointFaults(primary, {cutFromGroup: true});
		await waitForPromotion(context, primary);
		await waitForShare(context, 0.25);
		log(`reconnecting ${primary.memberId}`);
		await setEndpointFaults(primary, {cutFromGroup: false});
	}
}
