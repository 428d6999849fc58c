/** How long the store holds a watch call open without changes, and the timeout of the call at its caller, in ms. */
export type WatchTiming = {waitMs: number; timeoutMs: number};

/** Time allowed for the answer of a watch in addition to its wait, in ms; a slow store takes 300 ms. */
const answerAllowanceMs = 500;
/** Part of a bound that is reserved, after a watch timed out, for a second call, its answer and applying the change, in ms. */
const secondCallReserveMs = 700;
/** Minimum wait, in ms; a shorter one would amount to polling the store. */
const minWaitMs = 300;

/**
 * Timing of a watch whose changes must be in force within `boundMs` of their acknowledgement. The connection may become
 * unresponsive at any moment of the wait, which is detected only when the answer is overdue, so the timeout must leave
 * time for a second call.
 */
export function watchTiming(boundMs: number): WatchTiming {
	const waitMs = Math.max(minWaitMs, boundMs - secondCallReserveMs - answerAllowanceMs);
	return {waitMs, timeoutMs: waitMs + answerAllowanceMs};
}

/** Time allowed for replacing a primary that leaves, in ms; most replacements take less than 1,000 ms. */
const primaryReplacementMs = 3000;

/** Timing of the watch of the endpoints, where no statement may reach an endpoint later than `drainBoundMs` after it announced that it leaves. */
export const endpointWatchTiming = (drainBoundMs: number): WatchTiming => watchTiming(drainBoundMs - primaryReplacementMs);
