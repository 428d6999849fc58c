import {
	type BurnCause, type BurnReport, type BurnState, type BurnWindow, type Objective, type ServiceSample,
} from '../definitions.js';
import {classifiedIncreases, usedThresholdMs, type RequestLabels} from './classified-requests.js';
import {countWithin, type Increase} from './increases.js';

const minuteMs = 60_000;
const hourMs = 60 * minuteMs;
const dayMs = 24 * hourMs;

/** Windows over which burn rates are computed: two short ones to detect incidents, two long ones to detect gradual loss. */
export const burnWindows: ReadonlyArray<{name: string; windowMs: number}> = [
	{name: '5 min', windowMs: 5 * minuteMs},
	{name: '1 h', windowMs: hourMs},
	{name: '6 h', windowMs: 6 * hourMs},
	{name: '3 d', windowMs: 3 * dayMs},
];

/** At this burn rate a 30-day budget is used up in about two days. */
const fastBurnRate = 14.4;

type Totals = {total: number; bad: number};

const totalsWithin = (increases: Array<Increase<RequestLabels>>, fromUnixMs: number, toUnixMs: number): Totals => {
	const totals = {total: 0, bad: 0};
	for (const increase of increases) {
		const count = countWithin(increase, fromUnixMs, toUnixMs);
		totals.total += count;
		totals.bad += increase.labels.isGood ? 0 : count;
	}

	return totals;
};

/** Bad requests divided by those that the target allows; infinite if there are any and the target allows none. */
const computeBurnRate = ({total, bad}: Totals, targetRatio: number): number => {
	if (bad === 0) {
		return 0;
	}

	return targetRatio >= 1 ? Infinity : bad / (total * (1 - targetRatio));
};

const classifyBurn = (windows: BurnWindow[]): BurnState => {
	const [fiveMinutes, hour, sixHours, threeDays] = windows.map(window => window.burnRate);
	if (fiveMinutes! >= fastBurnRate && hour! >= fastBurnRate) {
		return 'fast-burn';
	}

	return sixHours! > 1 && threeDays! > 1 ? 'slow-burn' : 'ok';
};

const collectCauses = (increases: Array<Increase<RequestLabels>>, fromUnixMs: number, toUnixMs: number): BurnCause[] => {
	const byCause = new Map<string, BurnCause>();
	for (const increase of increases.filter(({labels}) => !labels.isGood)) {
		const {outcome, code, database, workClass} = increase.labels;
		const key = JSON.stringify([outcome, code, database, workClass]);
		const cause = byCause.get(key) ?? {
			outcome, code, database, workClass, bad: 0, share: 0,
		};
		cause.bad += countWithin(increase, fromUnixMs, toUnixMs);
		byCause.set(key, cause);
	}

	const causes = [...byCause.values()].filter(({bad}) => bad > 0);
	const totalBad = causes.reduce((sum, {bad}) => sum + bad, 0);
	return causes.map(cause => ({...cause, share: cause.bad / totalBad})).sort((a, b) => b.bad - a.bad);
};

/** Reports the burn of one objective at `nowUnixMs` from the samples of all hosts, given in any order. */
export const reportBurn = (objective: Objective, samples: readonly ServiceSample[], nowUnixMs: number): BurnReport => {
	const increases = classifiedIncreases(objective, samples);
	const windows = burnWindows.map(({name, windowMs}) => {
		const totals = totalsWithin(increases, nowUnixMs - windowMs, nowUnixMs);
		return {
			name, windowMs, ...totals, burnRate: computeBurnRate(totals, objective.targetRatio),
		};
	});
	const fromUnixMs = nowUnixMs - (objective.windowDays * dayMs);
	const budget = totalsWithin(increases, fromUnixMs, nowUnixMs);
	return {
		objective,
		state: classifyBurn(windows),
		windows,
		...budget,
		budgetLeft: 1 - computeBurnRate(budget, objective.targetRatio),
		causes: collectCauses(increases, fromUnixMs, nowUnixMs),
		usedThresholdMs: objective.kind === 'latency' ? usedThresholdMs(objective.thresholdMs ?? 0, samples) : undefined,
	};
};

/** Burn rate of an objective per step up to `nowUnixMs`, oldest first, for plots. */
export const burnSeries = (
	objective: Objective,
	samples: readonly ServiceSample[],
	range: {nowUnixMs: number; stepMs: number; steps: number},
): Array<{atUnixMs: number; burnRate: number; total: number; bad: number}> => {
	const increases = classifiedIncreases(objective, samples);
	return Array.from({length: range.steps}, (_, index) => {
		const atUnixMs = range.nowUnixMs - ((range.steps - 1 - index) * range.stepMs);
		const totals = totalsWithin(increases, atUnixMs - range.stepMs, atUnixMs);
		return {atUnixMs, ...totals, burnRate: computeBurnRate(totals, objective.targetRatio)};
	});
};
