import {type Scenario, type ScenarioContext} from '../definitions.js';
import {findActingOwner} from '../infra/acting-owner.js';
import {waitForShare} from '../core/waiting.js';

/** Stops the acting owner of a group for longer than its peers take to declare it dead. */
export class PausedOwnerScenario implements Scenario {
	get name(): string {
		return 'paused-owner';
	}

	get summary(): string {
		return 'the acting owner of a group is paused for seconds and resumes';
	}

	async run(context: ScenarioContext): Promise<void> {
		const {deployment, log, markFault, report} = context;
		const database = deployment.plan.databases[0] ?? '';
		await waitForShare(context, 0.2);
		const owner = await findActingOwner(deployment, database);
		log(`pausing ${owner.hostId}, the acting owner of ${database}`);
		report('pausedOwner', owner.hostId);
		markFault(database);
		owner.process.pause();
		await waitForShare(context, 0.4);
		log(`${owner.hostId} resumes`);
		owner.process.resume();
	}
}
