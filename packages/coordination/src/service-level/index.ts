/** Burn of service-level objectives from counters of many hosts that restart and come and go. */
export type {
	BurnCause, BurnReport, BurnState, BurnWindow, LatencyCount, Objective, ObjectiveKind, PromotionCount, ReadCount, RequestCount, ServiceSample,
} from './definitions.js';
export {countWithin, type Increase, increases} from './domain/increases.js';
export {burnSeries, burnWindows, reportBurn} from './domain/burn-report.js';
