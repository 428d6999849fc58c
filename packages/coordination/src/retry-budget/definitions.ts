/** Uniformly distributed numbers from 0 (included) to 1 (excluded). */
export type RandomSource = () => number;

export type RetryBudgetOptions = {
	/** Retries earned by each success; 0.1 allows one retry for ten successes. */
	ratio: number;
	/** Retries that can be saved up; also what a new caller starts with. */
	burst: number;
	/** Pairs of caller and database kept; the least recently used one is dropped first. */
	maxEntries?: number;
};
