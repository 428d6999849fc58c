/** Retry limits: token buckets refilled by successful requests, and retry delays with jitter. */
export type {RetryBudgetOptions} from './definitions.js';
export {jitteredRetryAfterMs} from './domain/jitter.js';
export {RetryBudget} from './domain/retry-budget.js';
