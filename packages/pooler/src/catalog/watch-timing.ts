/** How long a watch waits for changes, and how long its caller waits for the answer, in ms. */
export type WatchTiming = {waitMs: number; timeoutMs: number};

/** Time for the answer of a watch on top of its wait, in ms; a slow store takes 300. */
const answerMs = 500;
/** Part of a bound that is left after a silent watch for a new call, its answer and the change itself, in ms. */
const reserveMs = 700;
/** A shorter wait would poll the store, in ms. */
const minWaitMs = 300;

/**
 * Timing of a watch whose changes must be in force within `boundMs` of their acknowledgement. The connection may fall
 * silent at any moment of the wait, which shows only when the answer is overdue, so wait and answer together must leave
 * time for a second call.
 */
export function watchTiming(boundMs: number): WatchTiming {
	const waitMs = Math.max(minWaitMs, boundMs - reserveMs - answerMs);
	return {waitMs, timeoutMs: waitMs + answerMs};
}

/** Time for replacing a primary that leaves, in ms; most replacements take under 1,000. */
const replacementMs = 3000;

/** Timing of the watch of the endpoints, if nothing may reach an endpoint `drainBoundMs` after the notice that it leaves. */
export const endpointTiming = (drainBoundMs: number): WatchTiming => watchTiming(drainBoundMs - replacementMs);
