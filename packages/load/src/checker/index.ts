/** Checks a recorded history against the final state of the endpoints. */
export type {
	CheckOptions, CheckReport, FinalGroupState, HistoryViolation, HistoryViolationKind, LoggedEntry, RowChange, TableName, UnknownOutcomes,
} from './definitions.js';
export {checkHistory, isDataConsistent} from './core/check-history.js';
