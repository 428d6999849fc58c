/** A database group: its record, majority confirmation of log entries, failure detection and promotion of a primary. */
export type {
	ControlError, ControlReply, FenceReply, GroupControl, GroupMember, GroupPhase, GroupRecord, LogPosition, MemberStatus,
	PromotionError, PromotionErrorKind, PromotionReport,
} from './definitions.js';
export {
	comparePositions, majorityOf, maxPosition, zeroPosition,
} from './domain/log-position.js';
export {ConfirmationTracker, type ConfirmationResult} from './domain/confirmation-tracker.js';
export {PositionSamples} from './domain/position-samples.js';
export {evaluateFailureEvidence, type FailureEvidence, type PrimaryObservations} from './domain/failure-evidence.js';
export {parseGroupRecord, type GroupRecordError} from './domain/group-record.js';
export {PromotePrimary, type PromotePrimaryOptions, type PromotionRequest} from './core/promote-primary.js';
