import {
	countWithin, type Increase, counterIncreases, type ServiceSample,
} from '@dogwoodthread/coordination';
import {type DatabaseCounters, type PeriodCounters} from '../definitions.js';

type CounterKind = 'done' | 'not_run' | 'unknown' | 'read' | 'promoted';

type CounterLabels = {database: string; kind: CounterKind};

const requestOutcomes: ReadonlySet<string> = new Set(['done', 'not_run', 'unknown']);

const listSeries = ({requests, reads = [], promotions = []}: ServiceSample) => [
	...requests.filter(({outcome}) => requestOutcomes.has(outcome)).map(({database, workClass, outcome, code, count}) => ({
		key: JSON.stringify([database, workClass, outcome, code]), labels: {database, kind: outcome as CounterKind}, count,
	})),
	...reads.map(({database, servedBy, count}) => ({
		key: JSON.stringify(['reads', database, servedBy]), labels: {database, kind: 'read' as const}, count,
	})),
	...promotions.filter(({result}) => result === 'promoted').map(({database, count}) => ({
		key: JSON.stringify(['promotions', database]), labels: {database, kind: 'promoted' as const}, count,
	})),
];

const countDatabase = (database: string, increases: Array<Increase<CounterLabels>>, [fromUnixMs, toUnixMs]: readonly [number, number], hasReadsAndPromotions: boolean): DatabaseCounters => {
	const sum = (kind: CounterKind): number => increases
		.filter(({labels}) => labels.database === database && labels.kind === kind)
		.reduce((total, increase) => total + countWithin(increase, fromUnixMs, toUnixMs), 0);
	return {
		database,
		// Reads have their own counter and writes do not, so writes are the completed requests minus the reads.
		acknowledgedWrites: hasReadsAndPromotions ? Math.max(0, Math.round(sum('done') - sum('read'))) : undefined,
		refused: Math.round(sum('not_run')),
		unknownOutcomes: Math.round(sum('unknown')),
		promotions: hasReadsAndPromotions ? Math.round(sum('promoted')) : undefined,
	};
};

/** Computes the counters of a period from the samples of all hosts; undefined if the period has no sample. */
export const countPeriod = (samples: readonly ServiceSample[], fromUnixMs: number, toUnixMs: number): Omit<PeriodCounters, 'damagedLines'> | undefined => {
	const sampleTimes = samples.map(({atUnixMs}) => atUnixMs).filter(atUnixMs => atUnixMs >= fromUnixMs && atUnixMs < toUnixMs).sort((a, b) => a - b);
	const [firstSampleUnixMs] = sampleTimes;
	const lastSampleUnixMs = sampleTimes.at(-1);
	if (firstSampleUnixMs === undefined || lastSampleUnixMs === undefined) {
		return undefined;
	}

	const increases = counterIncreases<CounterLabels>(samples, listSeries);
	const hasReadsAndPromotions = samples.every(({reads, promotions}) => reads !== undefined && promotions !== undefined);
	const databases = [...new Set(samples.flatMap(({requests}) => requests.map(({database}) => database)))].sort();
	return {
		databases: databases.map(database => countDatabase(database, increases, [fromUnixMs, toUnixMs], hasReadsAndPromotions)),
		firstSampleUnixMs,
		lastSampleUnixMs,
	};
};
