/** A silent watch is given up 1 s after its wait, and the list that follows takes up to half a second, in ms. */
const noticeMarginMs = 1700;
const minWaitMs = 1000;

/**
 * Longest wait of a watch, in ms, for changes that must be in force within `boundMs`: a connection that fell silent is
 * noticed only after the wait.
 */
export const watchWaitMs = (boundMs: number): number => Math.max(minWaitMs, boundMs - noticeMarginMs);
