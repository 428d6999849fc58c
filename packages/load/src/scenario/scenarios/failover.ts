import {type Scenario, type ScenarioContext} from '../definitions.js';
import {waitForPromotion, waitForShare} from '../core/waiting.js';

/** Kills the process of a primary under load. */
export class FailoverScenario implements Scenario {
	get name(): string {
		return 'failover';
	}

	get summary(): string {
		return 'kills the process of a primary';
	}

	async run(context: ScenarioContext): Promise<void> {
		const {deployment, log, markFault} = context;
		await waitForShare(context, 0.3);
		const primary = await deployment.primaryOf(deployment.plan.databases[0] ?? '');
		log(`killing ${primary.memberId}, the primary of ${primary.database}`);
		markFault(primary.database);
		await primary.process.kill();
		await waitForPromotion(context, primary);
	}
}
