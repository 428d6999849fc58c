import {type WorkClass} from '../definitions.js';

/** Measured service times of one statement name, in ms. */
type StatementEstimate = {
	samples: number;
	meanMs: number;
	deviationMs: number;
	/** Long-term moving average of the logarithm of the service time, which single outliers barely change. */
	logBaseline: number;
	/** Whether there are enough samples to tell whether the statement is long. */
	isLearned: boolean;
	isLong: boolean;
};

export type WorkClassifierOptions = {
	/** Maximum number of statement names; the least recently used one is evicted first. */
	maxStatements?: number;
	/** A statement becomes long when its mean exceeds this multiple of the typical service time. */
	enterLongRatio?: number;
	/** A long statement becomes short again when its mean falls below this multiple. */
	leaveLongRatio?: number;
	/** Statements whose mean is lower are never long, in ms. */
	minLongMs?: number;
};

/** Weight of a new sample in a statement's mean, which adapts to a change within about 10 runs. */
const sampleWeight = 0.1;
/** Weight of a new sample in the baseline, low enough that growth of the service time is visible against it. */
const baselineWeight = 0.02;
/** Samples needed for a meaningful typical time while only one statement is known. */
const minTypicalSamples = 20;
/** Samples of a statement needed to determine its class. */
const minStatementSamples = 3;
/** The typical time is a lower quartile, so that it remains that of short work until most runs are long. */
const typicalQuantile = 0.25;
/** Samples between updates of the quartile over statement names, once there are more names than this. */
const nameQuartileIntervalSamples = 16;
/** Smallest relative step of the running quartile. */
const minTypicalStep = 0.02;
/** Lower bound of a sample in ms; shorter times are below the measurement resolution. */
const minSampleMs = 0.01;

/**
 * Learns the service time of each statement name at one instance, and which statements are long.
 * Only completed runs count, because a timeout says more about the instance than about the statement.
 */
export class WorkClassifier {
	readonly #statements = new Map<string, StatementEstimate>();
	readonly #maxStatements: number;
	readonly #enterLongRatio: number;
	readonly #leaveLongRatio: number;
	readonly #minLongMs: number;
	/** Running quartile over all runs; accurate while most runs are short. */
	#typicalOfRunsMs = 0;
	/** Quartile over statement names; accurate even when long runs outnumber short ones, e.g. at night. */
	#typicalOfNamesMs = Infinity;
	#samples = 0;
	#logSlowdown = 0;

	constructor(options: WorkClassifierOptions = {}) {
		this.#maxStatements = options.maxStatements ?? 512;
		this.#enterLongRatio = options.enterLongRatio ?? 12;
		this.#leaveLongRatio = options.leaveLongRatio ?? 6;
		this.#minLongMs = options.minLongMs ?? 50;
	}

	/** Number of known statement names. */
	get size(): number {
		return this.#statements.size;
	}

	/** Typical service time of short work in ms: the lower quartile over all runs or over all statement names, whichever is smaller; 0 before the first sample. */
	get typicalMs(): number {
		return Math.min(this.#typicalOfRunsMs, this.#typicalOfNamesMs);
	}

	/** Ratio of the recent service time to the baseline of the same statements; 1 under normal conditions. */
	get slowdown(): number {
		return Math.exp(this.#logSlowdown);
	}

	/**
	 * Uses the stated class, except that a `short` or `browse` statement measured as long counts as long. If no
	 * class is stated, a statement whose first runs are slow counts as long until there are enough samples: as
	 * short work, a batch of it would block the statements from which the typical time is learned.
	 */
	classify(statementName: string, stated: WorkClass | undefined): WorkClass {
		if (stated === 'critical' || stated === 'long') {
			return stated;
		}

		const known = this.#statements.get(statementName);
		if (!known) {
			return stated ?? 'short';
		}

		const isSuspectedLong = stated === undefined && !known.isLearned && known.meanMs >= this.#minLongMs;
		return known.isLong || isSuspectedLong ? 'long' : stated ?? 'short';
	}

	/** Whether the statement has enough samples to tell whether it is long. */
	isLearned(statementName: string): boolean {
		return this.#statements.get(statementName)?.isLearned ?? false;
	}

	/** Expected service time in ms; `undefined` for an unknown statement. */
	estimateMs(statementName: string): number | undefined {
		return this.#statements.get(statementName)?.meanMs;
	}

	/** Service time that few runs exceed (mean plus two deviations), in ms; `undefined` for an unknown statement. */
	pessimisticEstimateMs(statementName: string): number | undefined {
		const known = this.#statements.get(statementName);
		return known && known.meanMs + (2 * known.deviationMs);
	}

	/** Records a completed run. */
	observe(statementName: string, serviceMs: number): void {
		const sampleMs = Math.max(minSampleMs, serviceMs);
		const known = this.#statements.get(statementName);
		if (known) {
			this.#logSlowdown += sampleWeight * (Math.log(sampleMs) - known.logBaseline - this.#logSlowdown);
		}

		this.#updateTypicalOfRuns(sampleMs);
		const updated = known ? updateEstimate(known, sampleMs) : firstEstimate(sampleMs);
		this.#store(statementName, updated);
		if (this.#statements.size <= nameQuartileIntervalSamples || this.#samples % nameQuartileIntervalSamples === 0) {
			this.#updateTypicalOfNames();
		}

		updated.isLearned ||= updated.samples >= minStatementSamples
			&& (this.#samples >= minTypicalSamples || this.#typicalOfNamesMs < Infinity);
		updated.isLong = this.#shouldBeLong(updated);
	}

	#shouldBeLong({meanMs, isLong, isLearned}: StatementEstimate): boolean {
		if (!isLearned) {
			return isLong;
		}

		// The slowdown is factored out, so that no statement becomes long because the whole instance is slow.
		const ratio = meanMs / (this.typicalMs * Math.max(1, this.slowdown));
		return meanMs >= this.#minLongMs && ratio > (isLong ? this.#leaveLongRatio : this.#enterLongRatio);
	}

	/** Moves the running quartile towards the sample by a relative step that starts large. */
	#updateTypicalOfRuns(sampleMs: number): void {
		this.#samples += 1;
		if (this.#typicalOfRunsMs === 0) {
			this.#typicalOfRunsMs = sampleMs;
			return;
		}

		const step = Math.max(minTypicalStep, 1 / Math.sqrt(this.#samples));
		this.#typicalOfRunsMs = sampleMs > this.#typicalOfRunsMs
			? Math.min(sampleMs, this.#typicalOfRunsMs * (1 + (step * typicalQuantile)))
			: Math.max(sampleMs, this.#typicalOfRunsMs / (1 + (step * (1 - typicalQuantile))));
	}

	#updateTypicalOfNames(): void {
		const known = [...this.#statements.values()].filter(({samples}) => samples >= minStatementSamples);
		const logs = known.map(({logBaseline}) => logBaseline).sort((a, b) => a - b);
		// A single statement has nothing to be compared with.
		this.#typicalOfNamesMs = logs.length < 2 ? Infinity : Math.exp(logs[Math.floor(logs.length * typicalQuantile)]!);
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
	samples: 1, meanMs: sampleMs, deviationMs: sampleMs / 4, logBaseline: Math.log(sampleMs), isLearned: false, isLong: false,
});

const updateEstimate = (known: StatementEstimate, sampleMs: number): StatementEstimate => {
	const samples = known.samples + 1;
	const weight = Math.max(sampleWeight, 1 / samples);
	return {
		samples,
		meanMs: known.meanMs + (weight * (sampleMs - known.meanMs)),
		deviationMs: known.deviationMs + (weight * (Math.abs(sampleMs - known.meanMs) - known.deviationMs)),
		logBaseline: known.logBaseline + (Math.max(baselineWeight, 1 / samples) * (Math.log(sampleMs) - known.logBaseline)),
		isLearned: known.isLearned,
		isLong: known.isLong,
	};
};
