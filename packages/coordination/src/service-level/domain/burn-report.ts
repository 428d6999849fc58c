import {
	type BurnCause, type BurnReport, type BurnState, type BurnWindow, type Objective, type ServiceSample,
} from '../definitions.js';
import {classifiedIncreases, usedThresholdMs, type Classified} from './classified-requests.js';
import {countWithin, type Increase} from './increases.js';

const minuteMs = 60_000;
const hourMs = 60 * minuteMs;
const dayMs = 24 * hourMs;

/** Windows over which burn is looked at: two short ones for incidents, two long ones for slow losses. */
export const burnWindows: ReadonlyArray<{name: string; windowMs: number}> = [
	{name: '5 min', windowMs: 5 * minuteMs},
	{name: '1 h', windowMs: hourMs},
	{name: '6 h', windowMs: 6 * hourMs},
	{name: '3 d', windowMs: 3 * dayMs},
];

/** At this rate the budget of 30 days lasts about two days. */
const fastBurnRate = 14.4;

type Totals = {total: number; bad: number};

const totalsWithin = (found: Array<Increase<Classified>>, fromUnixMs: number, toUnixMs: number): Totals => {
	const totals = {total: 0, bad: 0};
	for (const increase of found) {
		const count = countWithin(increase, fromUnixMs, toUnixMs);
		totals.total += count;
		totals.bad += increase.labels.good ? 0 : count;
	}

	return totals;
};

/** Bad requests over those that the target allows; infinite if it allows none and there are some. */
const burnRate = ({total, bad}: Totals, targetRatio: number): number => {
	if (bad === 0) {
		return 0;
	}

	return targetRatio >= 1 ? Infinity : bad / (total * (1 - targetRatio));
};

const burnState = (windows: BurnWindow[]): BurnState => {
	const [fiveMinutes, hour, sixHours, threeDays] = windows.map(window => window.burnRate);
	if (fiveMinutes! >= fastBurnRate && hour! >= fastBurnRate) {
		return 'fast-burn';
	}

	return sixHours! > 1 && threeDays! > 1 ? 'slow-burn' : 'ok';
};

const burnCauses = (found: Array<Increase<Classified>>, fromUnixMs: number, toUnixMs: number): BurnCause[] => {
	const byCause = new Map<string, BurnCause>();
	for (const increase of found.filter(({labels}) => !labels.good)) {
		const {outcome, code, database, workClass} = increase.labels;
		const key = JSON.stringify([outcome, code, database, workClass]);
		const cause = byCause.get(key) ?? {
			outcome, code, database, workClass, bad: 0, share: 0,
		};
		cause.bad += countWithin(increase, fromUnixMs, toUnixMs);
		byCause.set(key, cause);
	}

	const causes = [...byCause.values()].filter(({bad}) => bad > 0);
	const allBad = causes.reduce((sum, {bad}) => sum + bad, 0);
	return causes.map(cause => ({...cause, share: cause.bad / allBad})).sort((a, b) => b.bad - a.bad);
};

/** Burn of one objective at `nowUnixMs`, from the samples of all hosts in any order. */
export const reportBurn = (objective: Objective, samples: readonly ServiceSample[], nowUnixMs: number): BurnReport => {
	const found = classifiedIncreases(objective, samples);
	const windows = burnWindows.map(({name, windowMs}) => {
		const totals = totalsWithin(found, nowUnixMs - windowMs, nowUnixMs);
		return {
			name, windowMs, ...totals, burnRate: burnRate(totals, objective.targetRatio),
		};
	});
	const fromUnixMs = nowUnixMs - (objective.windowDays * dayMs);
	const budget = totalsWithin(found, fromUnixMs, nowUnixMs);
	return {
		objective,
		state: burnState(windows),
		windows,
		...budget,
		budgetLeft: 1 - burnRate(budget, objective.targetRatio),
		causes: burnCauses(found, fromUnixMs, nowUnixMs),
		usedThresholdMs: objective.kind === 'latency' ? usedThresholdMs(objective.thresholdMs ?? 0, samples) : undefined,
	};
};

/** Burn rate of an objective in successive steps up to `nowUnixMs`, oldest first, for plots. */
export const burnSeries = (
	objective: Objective,
	samples: readonly ServiceSample[],
	range: {nowUnixMs: number; stepMs: number; steps: number},
): Array<{atUnixMs: number; burnRate: number; total: number; bad: number}> => {
	const found = classifiedIncreases(objective, samples);
	return Array.from({length: range.steps}, (_, index) => {
		const atUnixMs = range.nowUnixMs - ((range.steps - 1 - index) * range.stepMs);
		const totals = totalsWithin(found, atUnixMs - range.stepMs, atUnixMs);
		return {atUnixMs, ...totals, burnRate: burnRate(totals, objective.targetRatio)};
	});
};
