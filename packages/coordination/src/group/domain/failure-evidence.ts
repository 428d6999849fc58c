import {majorityOf} from './log-position.js';

/** Observations of the acting owner about the primary and its group. Times are monotonic, in ms. */
export type PrimaryObservations = {
	nowMs: number;
	/** Minimum duration of a condition before it counts as evidence. */
	detectionMs: number;
	groupSize: number;
	/** Time since which new connections to the primary have failed; undefined if the last one succeeded. */
	primaryUnreachableSinceMs: number | undefined;
	/** Whether new connections to the primary also fail from a proxy in another failure domain. */
	isConfirmedByOtherDomain: boolean;
	/** Replicas with a working monitor stream, each with the time since which it has had no contact with the primary. */
	replicas: Array<{contactLostSinceMs: number | undefined}>;
};

/**
 * - `unreachable`: new connections to the primary fail from two failure domains.
 * - `isolated`: a majority of the group has lost contact with the primary.
 */
export type FailureEvidence = 'none' | 'unreachable' | 'isolated';

/**
 * Decides whether the primary may be replaced. A slow primary, a single unresponsive connection or a single
 * partitioned proxy is no evidence.
 */
export function evaluateFailureEvidence(observations: PrimaryObservations): FailureEvidence {
	const {nowMs, detectionMs, groupSize, primaryUnreachableSinceMs, isConfirmedByOtherDomain, replicas} = observations;
	const hasLasted = (sinceMs: number | undefined) => sinceMs !== undefined && nowMs - sinceMs >= detectionMs;
	// Without a reachable majority a promotion cannot succeed.
	if (replicas.length < majorityOf(groupSize)) {
		return 'none';
	}

	if (replicas.filter(({contactLostSinceMs}) => hasLasted(contactLostSinceMs)).length >= majorityOf(groupSize)) {
		return 'isolated';
	}

	return hasLasted(primaryUnreachableSinceMs) && isConfirmedByOtherDomain ? 'unreachable' : 'none';
}
