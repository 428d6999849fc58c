import {type LatencyCount, type Objective, type ServiceSample} from '../definitions.js';
import {counterIncreases, type Increase} from './increases.js';

/** Labels of requests that count towards an objective, and whether they met it. */
export type RequestLabels = {
	isGood: boolean;
	outcome: string;
	code: string;
	database: string;
	workClass: string;
};

const isCovered = (objective: Objective, {database, workClass}: {database: string; workClass: string}): boolean =>
	(objective.database === undefined || objective.database === database)
	&& (objective.workClass === undefined || objective.workClass === workClass);

const availabilityIncreases = (objective: Objective, samples: readonly ServiceSample[]): Array<Increase<RequestLabels>> =>
	counterIncreases(samples, ({requests}) => requests.filter(request => isCovered(objective, request)).map(request => {
		const {outcome, code, database, workClass, count} = request;
		return {
			key: JSON.stringify([outcome, code, database, workClass]),
			labels: {
				isGood: outcome === 'done', outcome, code, database, workClass,
			},
			count,
		};
	}));

/** Highest histogram bound that is not above the threshold, in ms; 0 if there is none. */
export const usedThresholdMs = (thresholdMs: number, samples: readonly ServiceSample[]): number => {
	const bounds = samples.flatMap(({latencies}) => latencies.map(({upToMs}) => upToMs ?? Infinity));
	return Math.max(0, ...new Set(bounds.filter(boundMs => boundMs <= thresholdMs)));
};

/** Splits the cumulative histogram buckets of one sample into good and slow requests. */
const splitBuckets = (latencies: LatencyCount[], thresholdMs: number) => {
	const byLabels = new Map<string, {database: string; workClass: string; total: number; good: number}>();
	for (const {database, workClass, upToMs, count} of latencies) {
		const key = JSON.stringify([database, workClass]);
		const known = byLabels.get(key) ?? {
			database, workClass, total: 0, good: 0,
		};
		known.total = upToMs === null ? count : known.total;
		// Buckets are cumulative: of those within the threshold, the one with the highest bound has the highest count.
		known.good = upToMs !== null && upToMs <= thresholdMs ? Math.max(known.good, count) : known.good;
		byLabels.set(key, known);
	}

	return [...byLabels].flatMap(([key, {database, workClass, total, good}]) => [
		{
			key: `good ${key}`, count: good, labels: {
				isGood: true, outcome: 'done', code: '', database, workClass,
			},
		},
		{
			key: `slow ${key}`, count: Math.max(0, total - good), labels: {
				isGood: false, outcome: 'done', code: 'slow', database, workClass,
			},
		},
	]);
};

const latencyIncreases = (objective: Objective, samples: readonly ServiceSample[]): Array<Increase<RequestLabels>> =>
	counterIncreases(samples, ({latencies}) => splitBuckets(
		latencies.filter(latency => latency.outcome === 'done' && isCovered(objective, latency)),
		objective.thresholdMs ?? 0,
	));

/** Increases of the counts of good and bad requests that the objective covers. */
export const classifiedIncreases = (objective: Objective, samples: readonly ServiceSample[]): Array<Increase<RequestLabels>> =>
	objective.kind === 'availability' ? availabilityIncreases(objective, samples) : latencyIncreases(objective, samples);
