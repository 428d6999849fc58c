/** Client sessions: session state, single statements and transactions. */
export {
	endpointFailure, type FailureReason, statementFailure, type StatementFailure,
} from './errors.js';
export type {
	BeginRequest, Executor, StatementResult, TransactionHandle,
} from './executor.js';
export {BoundedSessionState, preparedBytes} from './bounded-session-state.js';
export {LocalExecutor, type LocalExecutorContext} from './local-executor.js';
export {createProgress, type Operation, type OperationProgress} from './operation.js';
export {createPreparedStatement, type PreparedStatement} from './prepared-statement.js';
export type {SingleStatement} from './single-statement.js';
export {Session, type SessionContext} from './session.js';
export {SessionState} from './session-state.js';
