import {type RetryBudgetOptions} from '../definitions.js';

/**
 * Token buckets, one per pair of caller and database, that are refilled by successful requests. Limits retries
 * to a share of the successful requests, so that they do not multiply the load when most requests fail.
 */
export class RetryBudget {
	readonly #tokens = new Map<string, number>();
	readonly #maxEntries: number;
	#options: RetryBudgetOptions;

	constructor(options: RetryBudgetOptions) {
		this.#options = options;
		this.#maxEntries = options.maxEntries ?? 4096;
	}

	/** Number of buckets that are not full. */
	get size(): number {
		return this.#tokens.size;
	}

	/** Applies a new ratio and burst. Existing buckets keep their tokens up to the new burst. */
	configure(options: Pick<RetryBudgetOptions, 'ratio' | 'burst'>): void {
		this.#options = {...this.#options, ...options};
	}

	onSuccess(callerId: string, database: string): void {
		const key = bucketKey(callerId, database);
		const tokens = this.#tokens.get(key);
		// A pair without an entry has a full bucket.
		if (tokens !== undefined) {
			this.#store(key, tokens + this.#options.ratio);
		}
	}

	/** Takes a token if one is available. Returns false if the request must not be retried. */
	tryTakeRetry(callerId: string, database: string): boolean {
		const key = bucketKey(callerId, database);
		const tokens = this.#tokens.get(key) ?? this.#options.burst;
		// The tolerance covers rounding errors from repeated additions of the ratio.
		if (tokens < 1 - 1e-9) {
			return false;
		}

		this.#store(key, tokens - 1);
		return true;
	}

	#store(key: string, tokens: number): void {
		this.#tokens.delete(key);
		if (tokens >= this.#options.burst) {
			return;
		}

		this.#tokens.set(key, tokens);
		if (this.#tokens.size > this.#maxEntries) {
			const [oldest] = this.#tokens.keys();
			this.#tokens.delete(oldest!);
		}
	}
}

/** The length tells where the first name ends, since both may hold any character. */
const bucketKey = (callerId: string, database: string): string => `${database.length}:${database}${callerId}`;
