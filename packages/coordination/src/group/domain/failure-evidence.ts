import {majorityOf} from './log-position.js';

/** What the acting owner knows about the primary and its group. Times are monotonic ms. */
export type Observations = {
	nowMs: number;
	/** How long evidence must last before it counts. */
	detectionMs: number;
	groupSize: number;
	/** Since when fresh connections to the primary fail; undefined if the last one worked. */
	primaryUnreachableSinceMs: number | undefined;
	/** Whether a proxy of another failure domain found fresh connections to fail as well. */
	confirmedByOtherDomain: boolean;
	/** Replicas whose monitor stream works, with the time since when they miss their primary. */
	replicas: Array<{contactLostSinceMs: number | undefined}>;
};

/**
 * - `unreachable`: fresh connections to the primary fail, seen from two failure domains.
 * - `isolated`: a majority of the group has lost contact with the primary.
 */
export type FailureEvidence = 'none' | 'unreachable' | 'isolated';

/**
 * Decides whether the primary may be replaced. A slow primary, one silent connection, or one proxy that
 * is cut off gives no evidence.
 */
export function evaluateEvidence(observations: Observations): FailureEvidence {
	const {nowMs, detectionMs, groupSize, primaryUnreachableSinceMs, confirmedByOtherDomain, replicas} = observations;
	const lasts = (sinceMs: number | undefined) => sinceMs !== undefined && nowMs - sinceMs >= detectionMs;
	// Without a reachable majority a promotion cannot succeed.
	if (replicas.length < majorityOf(groupSize)) {
		return 'none';
	}

	if (replicas.filter(({contactLostSinceMs}) => lasts(contactLostSinceMs)).length >= majorityOf(groupSize)) {
		return 'isolated';
	}

	return lasts(primaryUnreachableSinceMs) && confirmedByOtherDomain ? 'unreachable' : 'none';
}
