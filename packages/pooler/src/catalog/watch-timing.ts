/** How long a watch waits for changes, and how long its caller waits for the answer, in ms. */
export type WatchTiming = {waitMs: number; timeoutMs: number};

/** Time for the answer of a watch on top of its wait, in ms; a slow store takes 300. */
const answerMs = 700;
/** Part of a bound that is left after a silent watch for a new call, its answer and the change itself, in ms. */
const reserveMs = 1000;
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

/** Part of the drain bound within which each host hears that an endpoint leaves. The rest is for replacing a primary. */
const noticeShare = 3 / 7;

/** Time within which a host must know that an endpoint leaves, in ms, if nothing may reach it after `drainBoundMs`. */
export const drainNoticeMs = (drainBoundMs: number): number => Math.floor(drainBoundMs * noticeShare);

/** How long a primary that leaves gets new work after a host has heard of it, in ms. */
export const leavingPrimaryGraceMs = (drainBoundMs: number): number => drainBoundMs - drainNoticeMs(drainBoundMs);
