import {type Scenario, type ScenarioContext} from '../definitions.js';
import {waitForPromotion, waitForShare} from '../core/waiting.js';

/**
 * Takes the platform down, restarts a proxy meanwhile and kills a primary. Writes to that group
 * stop until the platform is back, because no promotion can be agreed without it.
 */
export class PlatformOutageScenario implements Scenario {
	get name(): string {
		return 'platform-outage';
	}

	get summary(): string {
		return 'platform down; a proxy is restarted and a primary killed meanwhile';
	}

	async run(context: ScenarioContext): Promise<void> {
		const {deployment, log, markFault, report, timers} = context;
		await waitForShare(context, 0.15);
		const primary = await deployment.primaryOf(deployment.plan.databases[0] ?? '');
		const restarted = deployment.proxies.at(-1);
		log('taking the platform down');
		await deployment.platform.setFaults({down: true});
		if (restarted) {
			const exit = await deployment.terminate(restarted);
			const startMs = timers.nowMs();
			await deployment.restartProxy(restarted.hostId);
			report('proxyRestartExitCode', exit.code);
			report('proxyRestartMs', Math.round(timers.nowMs() - startMs));
			log(`${restarted.hostId} was restarted without the platform`);
		}

		await waitForShare(context, 0.1);
		log(`killing ${primary.memberId}, the primary of ${primary.database}`);
		markFault(primary.database);
		await primary.process.kill();
		await waitForShare(context, 0.2);
		log('the platform is back');
		await deployment.platform.setFaults({down: false});
		await waitForPromotion(context, primary);
	}
}
