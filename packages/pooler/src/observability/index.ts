/** Log of decisions and metrics. */
export {
	BudgetedEventLog, isSampled, type BudgetedEventLogOptions, type LineSink,
} from './budgeted-event-log.js';
export type {EventFields, EventLog, EventName} from './definitions.js';
export {PoolerMetrics} from './pooler-metrics.js';
