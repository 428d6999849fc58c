import {setEndpointFaults} from '../../deployment/index.js';
import {type Scenario, type ScenarioContext} from '../definitions.js';
import {waitForPromotion, waitForShare} from '../core/waiting.js';

/** Bound of the design for new work at a leaving endpoint. */
const leavingBoundMs = 3000;

/** A primary announces that it leaves: a planned promotion, and no new work after the bound. */
export class LeavingScenario implements Scenario {
	#left: {memberId: string; atMs: number} | undefined;

	get name(): string {
		return 'leaving';
	}

	get summary(): string {
		return 'a primary leaves; it gets no new work after 3 s';
	}

	async run(context: ScenarioContext): Promise<void> {
		const {deployment, timers, log, markFault} = context;
		await waitForShare(context, 0.25);
		const primary = await deployment.primaryOf(deployment.plan.databases[0] ?? '');
		log(`${primary.memberId} is leaving`);
		markFault(primary.database);
		this.#left = {memberId: primary.memberId, atMs: timers.nowMs()};
		await setEndpointFaults(primary, {leaving: true});
		await waitForPromotion(context, primary);
	}

	verify({history, report}: ScenarioContext): string[] {
		const {memberId, atMs} = this.#left ?? {memberId: '', atMs: 0};
		const late = history().filter(entry => entry.servedBy === memberId && entry.invokeMs > atMs + leavingBoundMs);
		report('workAfterLeaving', late.length);
		return late.length > 0 ? [`${memberId} got ${late.length} requests more than ${leavingBoundMs} ms after it was leaving`] : [];
	}
}
