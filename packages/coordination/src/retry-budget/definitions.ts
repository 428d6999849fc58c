export type RetryBudgetOptions = {
	/** Retries earned by each success; 0.1 allows one retry for ten successes. */
	ratio: number;
	/** Retries that can be saved up; also what a new caller starts with. */
	burst: number;
	/** Pairs of caller and database kept; the least recently used one is dropped first. */
	maxEntries?: number;
};
