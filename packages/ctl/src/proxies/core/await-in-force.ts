import {type TimerService} from '@dogwoodthread/coordination';
import {type ProxyMember, type ProxyView} from '../definitions.js';

const pollIntervalMs = 200;

export type InForceState = {
	inForce: boolean;
	/** Number of live members that the asked proxy reports; 0 if it did not answer. */
	total: number;
	/** Proxies that have an earlier version in force. */
	behind: ProxyMember[];
	/** Why the member list could not be read. */
	problem?: string;
};

/** Reads which proxies have at least `version` in force. */
export const readInForce = async (proxies: ProxyView, version: number): Promise<InForceState> => {
	const members = await proxies.fetchMembers();
	if (members.isErr()) {
		return {
			inForce: false, total: 0, behind: [], problem: members.error.message,
		};
	}

	const behind = members.value.filter(({documentVersion}) => documentVersion < version);
	return {inForce: members.value.length > 0 && behind.length === 0, total: members.value.length, behind};
};

/** Waits until all proxies have at least `version` in force, for `timeoutMs` at most. */
export const awaitInForce = async (timers: TimerService, proxies: ProxyView, version: number, timeoutMs: number): Promise<InForceState> => {
	const deadlineMs = timers.nowMs() + timeoutMs;
	for (;;) {
		const state = await readInForce(proxies, version);
		if (state.inForce || timers.nowMs() >= deadlineMs) {
			return state;
		}

		await timers.sleep(pollIntervalMs);
	}
};

/** Formats proxies with version and state for display; lists at most 20. */
export const formatProxyNames = (members: readonly ProxyMember[]): string => {
	const shown = members.slice(0, 20).map(({hostId, documentVersion, state}) => `${hostId} (version ${documentVersion}, ${state})`);
	return [...shown, ...(members.length > shown.length ? [`${members.length - shown.length} more`] : [])].join(', ');
};
