import {type WorkClass} from '../definitions.js';

/** What is known of one statement name. Times in ms. */
type StatementEstimate = {
	samples: number;
	meanMs: number;
	deviationMs: number;
	/** Slow average of the logarithm of the service time, which single outliers hardly move. */
	logBaseline: number;
	/** Has run often enough to tell whether it is long. */
	proven: boolean;
	long: boolean;
};

export type WorkClassifierOptions = {
	/** Statement names kept; the least recently used one is dropped first. */
	maxStatements?: number;
	/** A statement becomes long when its mean is over this multiple of the usual service time. */
	enterLongRatio?: number;
	/** A long statement becomes short again under this multiple. */
	leaveLongRatio?: number;
	/** Statements under this mean are never long, in ms. */
	minLongMs?: number;
};

/** Share of a new sample in a statement's mean: follows a change within about 10 runs. */
const sampleWeight = 0.1;
/** Share of a new sample in the baseline: slow enough that growth of the service time shows against it. */
const baselineWeight = 0.02;
/** Samples of all statements before the usual time means anything while only one statement is known. */
const minUsualSamples = 20;
/** Samples of a statement before its class is known. */
const minStatementSamples = 3;
/** The usual time is a lower quartile, so that it stays that of short work until most runs are long. */
const usualQuantile = 0.25;
/** Observations between two looks at the quartile over statement names, once there are more names than this. */
const nameQuartileInterval = 16;
/** Smallest relative step of the usual time. */
const usualStep = 0.02;
/** Shorter times are below the resolution of the measurement. */
const minSampleMs = 0.01;

/**
 * Learns the service time of each statement name at one instance, and which statements are long.
 * Only completed runs count: a timeout says more of the instance than of the statement.
 */
export class WorkClassifier {
	readonly #statements = new Map<string, StatementEstimate>();
	readonly #maxStatements: number;
	readonly #enterLongRatio: number;
	readonly #leaveLongRatio: number;
	readonly #minLongMs: number;
	/** Running quartile over runs: right when most runs are short. */
	#usualOfRunsMs = 0;
	/** Quartile over statement names: right when long runs outnumber the short ones, e.g. at night. */
	#usualOfNamesMs = Infinity;
	#samples = 0;
	#logSlowdown = 0;

	constructor(options: WorkClassifierOptions = {}) {
		this.#maxStatements = options.maxStatements ?? 512;
		this.#enterLongRatio = options.enterLongRatio ?? 12;
		this.#leaveLongRatio = options.leaveLongRatio ?? 6;
		this.#minLongMs = options.minLongMs ?? 50;
	}

	/** Statement names known at present. */
	get size(): number {
		return this.#statements.size;
	}

	/** Service time of usual work in ms: the lower quartile of all runs or of all statements; 0 before the first sample. */
	get usualMs(): number {
		return Math.min(this.#usualOfRunsMs, this.#usualOfNamesMs);
	}

	/** Recent service time over the baseline of the same statements; 1 if the instance is as usual. */
	get slowdown(): number {
		return Math.exp(this.#logSlowdown);
	}

	/**
	 * A stated class holds, except that `short` and `browse` work that proves long counts as long. Without
	 * one, a statement whose first runs are slow counts as long until more is known: taken as short, a
	 * batch of it would keep the slots from the statements that tell what is usual.
	 */
	classify(statementName: string, stated: WorkClass | undefined): WorkClass {
		if (stated === 'critical' || stated === 'long') {
			return stated;
		}

		const known = this.#statements.get(statementName);
		if (!known) {
			return stated ?? 'short';
		}

		const suspected = stated === undefined && !known.proven && known.meanMs >= this.#minLongMs;
		return known.long || suspected ? 'long' : stated ?? 'short';
	}

	/** Whether the statement has run often enough to tell whether it is long. */
	isProven(statementName: string): boolean {
		return this.#statements.get(statementName)?.proven ?? false;
	}

	/** Expected service time in ms; `undefined` for an unknown statement. */
	estimateMs(statementName: string): number | undefined {
		return this.#statements.get(statementName)?.meanMs;
	}

	/** Service time that few runs exceed, in ms; `undefined` for an unknown statement. */
	cautiousEstimateMs(statementName: string): number | undefined {
		const known = this.#statements.get(statementName);
		return known && known.meanMs + (2 * known.deviationMs);
	}

	/** Takes in a completed run. */
	observe(statementName: string, serviceMs: number): void {
		const sampleMs = Math.max(minSampleMs, serviceMs);
		const known = this.#statements.get(statementName);
		if (known) {
			this.#logSlowdown += sampleWeight * (Math.log(sampleMs) - known.logBaseline - this.#logSlowdown);
		}

		this.#moveUsual(sampleMs);
		const updated = known ? updateEstimate(known, sampleMs) : firstEstimate(sampleMs);
		this.#store(statementName, updated);
		if (this.#statements.size <= nameQuartileInterval || this.#samples % nameQuartileInterval === 0) {
			this.#updateUsualOfNames();
		}

		updated.proven ||= updated.samples >= minStatementSamples
			&& (this.#samples >= minUsualSamples || this.#usualOfNamesMs < Infinity);
		updated.long = this.#isLong(updated);
	}

	#isLong({meanMs, long, proven}: StatementEstimate): boolean {
		if (!proven) {
			return long;
		}

		// When the whole instance is slow, no statement becomes long for it.
		const ratio = meanMs / (this.usualMs * Math.max(1, this.slowdown));
		return meanMs >= this.#minLongMs && ratio > (long ? this.#leaveLongRatio : this.#enterLongRatio);
	}

	/** Moves the running quartile by a relative step, large at first, towards the sample. */
	#moveUsual(sampleMs: number): void {
		this.#samples += 1;
		if (this.#usualOfRunsMs === 0) {
			this.#usualOfRunsMs = sampleMs;
			return;
		}

		const step = Math.max(usualStep, 1 / Math.sqrt(this.#samples));
		this.#usualOfRunsMs = sampleMs > this.#usualOfRunsMs
			? Math.min(sampleMs, this.#usualOfRunsMs * (1 + (step * usualQuantile)))
			: Math.max(sampleMs, this.#usualOfRunsMs / (1 + (step * (1 - usualQuantile))));
	}

	#updateUsualOfNames(): void {
		const known = [...this.#statements.values()].filter(({samples}) => samples >= minStatementSamples);
		const logs = known.map(({logBaseline}) => logBaseline).sort((a, b) => a - b);
		// One statement alone is always the usual one.
		this.#usualOfNamesMs = logs.length < 2 ? Infinity : Math.exp(logs[Math.floor(logs.length * usualQuantile)]!);
	}

	#store(statementName: string, estimate: StatementEstimate): void {
		this.#statements.delete(statementName);
		this.#statements.set(statementName, estimate);
		if (this.#statements.size > this.#maxStatements) {
			const [oldest] = this.#statements.keys();
			this.#statements.delete(oldest!);
		}
	}
}

const firstEstimate = (sampleMs: number): StatementEstimate => ({
	samples: 1, meanMs: sampleMs, deviationMs: sampleMs / 4, logBaseline: Math.log(sampleMs), proven: false, long: false,
});

const updateEstimate = (known: StatementEstimate, sampleMs: number): StatementEstimate => {
	const samples = known.samples + 1;
	const weight = Math.max(sampleWeight, 1 / samples);
	return {
		samples,
		meanMs: known.meanMs + (weight * (sampleMs - known.meanMs)),
		deviationMs: known.deviationMs + (weight * (Math.abs(sampleMs - known.meanMs) - known.deviationMs)),
		logBaseline: known.logBaseline + (Math.max(baselineWeight, 1 / samples) * (Math.log(sampleMs) - known.logBaseline)),
		proven: known.proven,
		long: known.long,
	};
};
