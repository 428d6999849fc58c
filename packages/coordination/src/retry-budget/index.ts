/** Limits on retries: token buckets refilled by successes, and retry times with jitter. */
export type {RetryBudgetOptions} from './definitions.js';
export {jitteredRetryAfterMs} from './domain/jitter.js';
export {RetryBudget} from './domain/retry-budget.js';
