import {LatencyRecorder, type LatencySummary, type StepRecord} from '../../workload/index.js';

/** Length of the windows in which recovery after a peak is looked for. */
const windowMs = 500;

export const stepsDueIn = (steps: readonly StepRecord[], fromMs: number, toMs: number): StepRecord[] =>
	steps.filter(({dueMs}) => dueMs >= fromMs && dueMs < toMs);

const isWithin = ({dueMs, endMs, outcome}: StepRecord, deadlineMs: number): boolean =>
	outcome === 'done' && endMs - dueMs <= deadlineMs;

/** Steps a second that were due in the time and done within their deadline. */
export const goodputPerSecond = (steps: readonly StepRecord[], fromMs: number, toMs: number, deadlineMs: number): number =>
	stepsDueIn(steps, fromMs, toMs).filter(step => isWithin(step, deadlineMs)).length * 1000 / (toMs - fromMs);

export const latencyOf = (steps: readonly StepRecord[]): LatencySummary => {
	const recorder = new LatencyRecorder();
	for (const {dueMs, endMs} of steps) {
		recorder.record(endMs - dueMs);
	}

	return recorder.summary();
};

/** Share of the accepted steps (those that were not refused) that were done within their deadline. */
export const acceptedWithinDeadline = (steps: readonly StepRecord[], deadlineMs: number): number => {
	const accepted = steps.filter(({outcome}) => outcome !== 'not-run' && outcome !== 'dropped');
	return accepted.length === 0 ? 1 : accepted.filter(step => isWithin(step, deadlineMs)).length / accepted.length;
};

/** Time from the end of the peak to the first window in which every step is done within its deadline; -1 if none is. */
export const recoveryMs = (steps: readonly StepRecord[], peakEndMs: number, endMs: number, deadlineMs: number): number => {
	for (let fromMs = peakEndMs; fromMs + windowMs <= endMs; fromMs += windowMs) {
		const due = stepsDueIn(steps, fromMs, fromMs + windowMs);
		if (due.length > 0 && due.every(step => isWithin(step, deadlineMs))) {
			return Math.round(fromMs - peakEndMs);
		}
	}

	return -1;
};

export const round = (value: number): number => Math.round(value * 1000) / 1000;
