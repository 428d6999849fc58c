import {type ErrorCode} from '../statement/index.js';

/** Why a statement failed; `text` is sent to the client and says what to do. */
export type StatementFailure = {
	code: ErrorCode;
	/** Stable identifier of the reason, for logs and metrics. */
	reason: FailureReason;
	text: string;
	/** Whether `text` is the endpoint's own error message. */
	fromEndpoint?: boolean;
};

export type FailureReason =
	| 'unknown-database' | 'unknown-service' | 'malformed' | 'unknown-statement' | 'transaction-failed' | 'no-transaction'
	| 'leader-unknown' | 'leader-stalled' | 'endpoint-unreachable' | 'not-reachable' | 'leadership-unproven' | 'position-unknown' | 'no-reader' | 'no-connection' | 'connection-lost'
	| 'session-memory' | 'process-memory'
	| 'arrived-late' | 'commit-unconfirmed' | 'endpoint-silent' | 'endpoint-error' | 'preparation-refused' | 'idle-in-transaction' | 'shutting-down' | 'interrupted' | 'internal-error';

const failures: Record<FailureReason, {code: ErrorCode; text: string}> = {
	'unknown-database': {code: 'unknown-database', text: 'no database of this name is configured; check the name'},
	'unknown-service': {code: 'busy', text: 'the database has no instances at present; retry after 500 ms'},
	malformed: {code: 'malformed', text: 'the statement cannot be parsed; correct it'},
	'unknown-statement': {code: 'unknown-statement', text: 'no prepared statement of this name; prepare it first'},
	'transaction-failed': {code: 'aborted', text: 'the transaction failed earlier and was rolled back; repeat it as a whole'},
	'no-transaction': {code: 'malformed', text: 'no transaction is open; begin one first'},
	'leader-unknown': {code: 'busy', text: 'the database has no primary at present; retry after 500 ms'},
	'leader-stalled': {code: 'busy', text: 'the primary confirms no writes and no replica answers; retry after 1000 ms'},
	'endpoint-unreachable': {code: 'busy', text: 'the instance cannot be reached at present; retry after 200 ms'},
	'not-reachable': {code: 'busy', text: 'this host does not reach the instances at present; retry after 200 ms'},
	'leadership-unproven': {code: 'busy', text: 'the primary may have been replaced; retry after 300 ms'},
	'position-unknown': {code: 'busy', text: 'the state of the log is not known at present; retry after 300 ms'},
	'no-reader': {code: 'busy', text: 'no instance can serve the read at present; retry after 200 ms'},
	'no-connection': {code: 'busy', text: 'all connections are in use; retry after 100 ms'},
	'arrived-late': {code: 'busy', text: 'the statement took too long on its way to the host that runs it; retry after 100 ms'},
	// Not a promise: a new attempt in the same session would meet the same limit.
	'session-memory': {code: 'too-large', text: 'this session would keep too many bytes of values and prepared statements, and kept none of this statement; send shorter texts, deallocate statements, or continue in a new session'},
	'process-memory': {code: 'busy', text: 'the sessions of this host keep too many values and prepared statements, and this statement has not run; retry after 500 ms'},
	'connection-lost': {code: 'in-doubt', text: 'the connection to the instance ended before its answer; read back before repeating'},
	'commit-unconfirmed': {code: 'in-doubt', text: 'no other instance was seen to have the commit in time, so it may be lost when the primary is replaced; read back before repeating'},
	'endpoint-silent': {code: 'timeout', text: 'the instance did not answer in time; read back before repeating'},
	'endpoint-error': {code: 'failed', text: 'the instance refused the statement'},
	'preparation-refused': {code: 'malformed', text: 'the instance refused a session value or a prepared statement; change it'},
	'idle-in-transaction': {code: 'aborted', text: 'the transaction was idle for too long and was rolled back; repeat it'},
	'shutting-down': {code: 'aborted', text: 'this host is stopping and rolled the transaction back; repeat it on a new connection'},
	interrupted: {code: 'in-doubt', text: 'this host stopped before the instance had answered; read back on a new connection before repeating'},
	'internal-error': {code: 'in-doubt', text: 'the statement met an unexpected error and this connection is closed; read back before repeating'},
};

export const statementFailure = (reason: FailureReason): StatementFailure => ({reason, ...failures[reason]});

/** Passes the endpoint's error on to the client. */
export const endpointFailure = ({code, text}: {code: ErrorCode; text: string}): StatementFailure =>
	({
		code, text, reason: 'endpoint-error', fromEndpoint: true,
	});

/** As `endpointFailure`, for a session value or a prepared statement that the endpoint refused; the statement itself has not run. */
export const preparationFailure = (error: {code: ErrorCode; text: string}): StatementFailure =>
	({...endpointFailure(error), reason: 'preparation-refused'});
