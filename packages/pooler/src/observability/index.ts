/** Log of decisions and metrics. */
export {
	BudgetedEventLog, isSampled, type BudgetedEventLogOptions, type LineSink,
} from './budgeted-event-log.js';
export {
	eventNames, type EventFields, type EventLog, type EventName,
} from './definitions.js';
export {PoolerMetrics} from './pooler-metrics.js';
