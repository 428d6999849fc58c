import {type RandomSource} from '../../random/index.js';

/** Shortest time in ms after which a repeat makes sense. */
const minRetryAfterMs = 10;
/** Longest time in ms: a longer one would keep callers away after the instance has recovered. */
const maxRetryAfterMs = 5000;

/**
 * Spreads repeats evenly from half to one and a half of `baseMs`, so that callers that were refused
 * together do not come back together. In whole ms, at least 1.
 */
export const jitteredRetryAfterMs = (baseMs: number, random: RandomSource): number => {
	const boundedMs = Math.min(maxRetryAfterMs, Math.max(minRetryAfterMs, baseMs));
	return Math.max(1, Math.round(boundedMs * (0.5 + random())));
};
