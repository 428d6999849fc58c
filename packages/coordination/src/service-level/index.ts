/** Error-budget burn of service-level objectives, computed from counters of hosts that restart, join and leave. */
export type {
	BurnCause, BurnReport, BurnState, BurnWindow, LatencyCount, Objective, ObjectiveKind, PromotionCount, ReadCount, RequestCount, ServiceSample,
} from './definitions.js';
export {countWithin, type Increase, counterIncreases} from './domain/increases.js';
export {burnSeries, burnWindows, reportBurn} from './domain/burn-report.js';
