import {type RandomSource} from '../../random/index.js';

/** Minimum base of a retry delay in ms; an earlier retry is not useful. */
const minRetryAfterMs = 10;
/** Maximum base of a retry delay in ms; a longer one would keep callers away after the instance has recovered. */
const maxRetryAfterMs = 5000;

/**
 * Returns a retry delay uniformly distributed between 0.5 and 1.5 times `baseMs`, so that callers that were
 * refused together do not retry together. In whole ms, at least 1.
 */
export const jitteredRetryAfterMs = (baseMs: number, random: RandomSource): number => {
	const boundedMs = Math.min(maxRetryAfterMs, Math.max(minRetryAfterMs, baseMs));
	return Math.max(1, Math.round(boundedMs * (0.5 + random())));
};
