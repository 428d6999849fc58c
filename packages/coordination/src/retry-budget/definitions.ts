export type RetryBudgetOptions = {
	/** Tokens added by each successful request; 0.1 allows one retry per ten successes. */
	ratio: number;
	/** Capacity of a bucket in retries; new buckets are full. */
	burst: number;
	/** Maximum number of buckets (pairs of caller and database); the least recently used one is evicted first. */
	maxEntries?: number;
};
