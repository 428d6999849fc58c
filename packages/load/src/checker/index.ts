/** Checks a history against what the endpoints hold. */
export type {
	CheckOptions, CheckReport, GroupTruth, Harm, HarmKind, LoggedEntry, RowChange, TableName, UnknownOutcomes,
} from './definitions.js';
export {checkHistory, isFreeOfHarm} from './core/check-history.js';
