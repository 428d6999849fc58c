import {type EndpointHandle} from '../../deployment/index.js';
import {type ScenarioContext} from '../definitions.js';

/** A promotion takes a few seconds; longer than the design's bound for the largest size (12 s). */
const promotionTimeoutMs = 20_000;

/** Few enough reads of the platform not to matter beside its rate. */
const pollIntervalMs = 100;

/** Waits for a share of the load's time. */
export const waitForShare = async (context: ScenarioContext, share: number): Promise<void> =>
	context.timers.sleep(context.durationMs * share);

/** Waits until the platform's record names another primary, and reports how long it took. */
export const waitForPromotion = async (context: ScenarioContext, former: EndpointHandle): Promise<EndpointHandle> => {
	const {deployment, timers, log, report} = context;
	const sinceMs = timers.nowMs();
	while (timers.nowMs() < sinceMs + promotionTimeoutMs) {
		const record = await deployment.platform.readGroup(former.database);
		if (record.primary !== former.memberId && record.phase === 'established') {
			const promotionMs = Math.round(timers.nowMs() - sinceMs);
			log(`${record.primary} is the primary of term ${record.term} after ${promotionMs} ms`, {promotionMs});
			report('promotionMs', promotionMs);
			return deployment.primaryOf(former.database);
		}

		await timers.sleep(pollIntervalMs);
	}

	throw new Error(`${former.database} has no new primary ${promotionTimeoutMs} ms after ${former.memberId} was lost.`);
};
