import {type Result} from 'neverthrow';
import {type EndpointAnswer} from '../endpoint/index.js';
import {type StatementFailure} from './errors.js';
import {type Operation} from './operation.js';
import {type SingleStatement} from './single-statement.js';
import {type SessionState} from './session-state.js';

export type StatementResult = Result<EndpointAnswer, StatementFailure>;

/** A transaction of one client. */
export type TransactionHandle = {
	readonly state: 'open' | 'failed' | 'ended';
	run(statement: SingleStatement, isWrite: boolean, operation: Operation): Promise<StatementResult>;
	commit(operation: Operation): Promise<StatementResult>;
	/** Ends the transaction without its effects. */
	abort(): void;
	/** Rolls back while the client rests; its next statement finds the transaction failed. */
	expire(): void;
};

export type BeginRequest = {id: string; readOnly: boolean; session: SessionState; beganAtMs: number};

/** Runs the statements for one service: over own connections, or at a host that holds some. */
export type Executor = {
	runSingle(statement: SingleStatement, isWrite: boolean, operation: Operation): Promise<StatementResult>;
	begin(request: BeginRequest): TransactionHandle;
	/** What this host believes of the service, for the log. */
	describe(): Record<string, string | number | undefined>;
};
