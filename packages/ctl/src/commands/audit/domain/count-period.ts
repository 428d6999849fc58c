import {
	countWithin, type Increase, counterIncreases, type ServiceSample,
} from '@dogwoodthread/coordination';
import {type DatabaseCounters, type PeriodCounters} from '../definitions.js';

type Kind = 'done' | 'not_run' | 'unknown' | 'read' | 'promoted';

type Labels = {database: string; kind: Kind};

const requestKinds: ReadonlySet<string> = new Set(['done', 'not_run', 'unknown']);

const seriesOf = ({requests, reads = [], promotions = []}: ServiceSample) => [
	...requests.filter(({outcome}) => requestKinds.has(outcome)).map(({database, workClass, outcome, code, count}) => ({
		key: JSON.stringify([database, workClass, outcome, code]), labels: {database, kind: outcome as Kind}, count,
	})),
	...reads.map(({database, servedBy, count}) => ({
		key: JSON.stringify(['reads', database, servedBy]), labels: {database, kind: 'read' as const}, count,
	})),
	...promotions.filter(({result}) => result === 'promoted').map(({database, count}) => ({
		key: JSON.stringify(['promotions', database]), labels: {database, kind: 'promoted' as const}, count,
	})),
];

const countDatabase = (database: string, found: Array<Increase<Labels>>, [fromUnixMs, toUnixMs]: readonly [number, number], isComplete: boolean): DatabaseCounters => {
	const sum = (kind: Kind): number => found
		.filter(({labels}) => labels.database === database && labels.kind === kind)
		.reduce((total, increase) => total + countWithin(increase, fromUnixMs, toUnixMs), 0);
	return {
		database,
		// Only reads have a counter of their own, so the writes are what remains of the requests.
		acknowledgedWrites: isComplete ? Math.max(0, Math.round(sum('done') - sum('read'))) : undefined,
		refused: Math.round(sum('not_run')),
		unknownOutcomes: Math.round(sum('unknown')),
		promotions: isComplete ? Math.round(sum('promoted')) : undefined,
	};
};

/** Counts of a period from samples of all hosts; undefined if no sample lies in it. */
export const countPeriod = (samples: readonly ServiceSample[], fromUnixMs: number, toUnixMs: number): Omit<PeriodCounters, 'damagedLines'> | undefined => {
	const times = samples.map(({atUnixMs}) => atUnixMs).filter(atUnixMs => atUnixMs >= fromUnixMs && atUnixMs < toUnixMs).sort((a, b) => a - b);
	const [firstSampleUnixMs] = times;
	const lastSampleUnixMs = times.at(-1);
	if (firstSampleUnixMs === undefined || lastSampleUnixMs === undefined) {
		return undefined;
	}

	const found = counterIncreases<Labels>(samples, seriesOf);
	const isComplete = samples.every(({reads, promotions}) => reads !== undefined && promotions !== undefined);
	const databases = [...new Set(samples.flatMap(({requests}) => requests.map(({database}) => database)))].sort();
	return {
		databases: databases.map(database => countDatabase(database, found, [fromUnixMs, toUnixMs], isComplete)),
		firstSampleUnixMs,
		lastSampleUnixMs,
	};
};
