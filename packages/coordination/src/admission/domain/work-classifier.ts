import {type WorkClass} from '../definitions.js';

/** What is known of one statement name. Times in ms. */
type StatementEstimate = {
	samples: number;
	meanMs: number;
	deviationMs: number;
	/** Slow average of the logarithm of the service time, which single outliers hardly move. */
	logBaseline: number;
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
/** Samples of all statements before the usual time means anything. */
const minUsualSamples = 20;
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
	#usualMs = 0;
	#samples = 0;
	#logSlowdown = 0;

	constructor(options: WorkClassifierOptions = {}) {
		this.#maxStatements = options.maxStatements ?? 512;
		this.#enterLongRatio = options.enterLongRatio ?? 8;
		this.#leaveLongRatio = options.leaveLongRatio ?? 4;
		this.#minLongMs = options.minLongMs ?? 20;
	}

	/** Statement names known at present. */
	get size(): number {
		return this.#statements.size;
	}

	/** Running median of the service time of all statements, in ms; 0 before the first sample. */
	get usualMs(): number {
		return this.#usualMs;
	}

	/** Recent service time over the baseline of the same statements; 1 if the instance is as usual. */
	get slowdown(): number {
		return Math.exp(this.#logSlowdown);
	}

	/** A stated class holds, except that `short` and `browse` work that proves long counts as long. */
	classify(statementName: string, stated: WorkClass | undefined): WorkClass {
		if (stated === 'critical' || stated === 'long') {
			return stated;
		}

		return this.#statements.get(statementName)?.long ? 'long' : stated ?? 'short';
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
		updated.long = this.#isLong(updated);
		this.#store(statementName, updated);
	}

	#isLong({meanMs, long}: StatementEstimate): boolean {
		if (this.#samples < minUsualSamples) {
			return long;
		}

		// When the whole instance is slow, no statement becomes long for it.
		const ratio = meanMs / (this.#usualMs * Math.max(1, this.slowdown));
		return meanMs >= this.#minLongMs && ratio > (long ? this.#leaveLongRatio : this.#enterLongRatio);
	}

	/** Moves the running median by a relative step, large at first, towards the sample. */
	#moveUsual(sampleMs: number): void {
		this.#samples += 1;
		if (this.#usualMs === 0) {
			this.#usualMs = sampleMs;
			return;
		}

		const factor = 1 + Math.max(usualStep, 1 / Math.sqrt(this.#samples));
		this.#usualMs = sampleMs > this.#usualMs
			? Math.min(sampleMs, this.#usualMs * factor)
			: Math.max(sampleMs, this.#usualMs / factor);
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
	samples: 1, meanMs: sampleMs, deviationMs: sampleMs / 4, logBaseline: Math.log(sampleMs), long: false,
});

const updateEstimate = (known: StatementEstimate, sampleMs: number): StatementEstimate => {
	const samples = known.samples + 1;
	const weight = Math.max(sampleWeight, 1 / samples);
	return {
		samples,
		meanMs: known.meanMs + (weight * (sampleMs - known.meanMs)),
		deviationMs: known.deviationMs + (weight * (Math.abs(sampleMs - known.meanMs) - known.deviationMs)),
		logBaseline: known.logBaseline + (Math.max(baselineWeight, 1 / samples) * (Math.log(sampleMs) - known.logBaseline)),
		long: known.long,
	};
};
