/** Structured event log, and metrics. */
export {
	RateLimitedEventLog, isSampled, type RateLimitedEventLogOptions, type LineSink,
} from './rate-limited-event-log.js';
export {
	eventNames, type EventFields, type EventLog, type EventName,
} from './definitions.js';
export {errorFields, guardTask} from './guard-task.js';
export {PoolerMetrics} from './pooler-metrics.js';
