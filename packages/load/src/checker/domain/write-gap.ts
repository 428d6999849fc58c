import {type HistoryEntry} from '../../history/index.js';
import {isAcknowledged} from './write-checks.js';

/** Measures the longest interval without an acknowledged write that contains or follows the start of the fault. */
export const measureWriteGap = (history: readonly HistoryEntry[], faultAtMs: number | undefined): {writeGapMs: number; writesResumed: boolean} => {
	if (faultAtMs === undefined) {
		return {writeGapMs: 0, writesResumed: true};
	}

	const acknowledgedAtMs = history.filter(entry => isAcknowledged(entry)).map(entry => entry.returnMs).sort((a, b) => a - b);
	const endMs = Math.max(faultAtMs, ...history.map(entry => entry.returnMs));
	const lastBeforeMs = acknowledgedAtMs.findLast(time => time <= faultAtMs) ?? faultAtMs;
	const afterFaultMs = acknowledgedAtMs.filter(time => time > faultAtMs);
	// Without a write after the fault, the gap lasts until the end of the run.
	const boundariesMs = afterFaultMs.length === 0 ? [lastBeforeMs, endMs] : [lastBeforeMs, ...afterFaultMs];
	const gapsMs = boundariesMs.slice(1).map((time, index) => time - (boundariesMs[index] ?? time));
	return {writeGapMs: Math.round(Math.max(0, ...gapsMs)), writesResumed: afterFaultMs.length > 0};
};
