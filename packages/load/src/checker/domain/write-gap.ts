import {type HistoryEntry} from '../../history/index.js';
import {isAcknowledged} from './write-checks.js';

/** Longest time without an acknowledged write that the fault falls into or that follows it. */
export const measureWriteGap = (history: readonly HistoryEntry[], faultAtMs: number | undefined): {writeGapMs: number; writesResumed: boolean} => {
	if (faultAtMs === undefined) {
		return {writeGapMs: 0, writesResumed: true};
	}

	const times = history.filter(entry => isAcknowledged(entry)).map(entry => entry.returnMs).sort((a, b) => a - b);
	const endMs = Math.max(faultAtMs, ...history.map(entry => entry.returnMs));
	const lastBefore = times.findLast(time => time <= faultAtMs) ?? faultAtMs;
	const after = times.filter(time => time > faultAtMs);
	// Without a write after the fault the gap lasts to the end of the run.
	const points = after.length === 0 ? [lastBefore, endMs] : [lastBefore, ...after];
	const gaps = points.slice(1).map((time, index) => time - (points[index] ?? time));
	return {writeGapMs: Math.round(Math.max(0, ...gaps)), writesResumed: after.length > 0};
};
