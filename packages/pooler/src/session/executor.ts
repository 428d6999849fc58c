import {type Result} from 'neverthrow';
import {type EndpointAnswer} from '../endpoint/index.js';
import {type StatementFailure} from './errors.js';
import {type Operation} from './operation.js';
import {type SingleStatement} from './single-statement.js';
import {type SessionState} from './session-state.js';

export type StatementResult = Result<EndpointAnswer, StatementFailure>;

/** An open transaction of one client session. */
export type TransactionHandle = {
	readonly state: 'open' | 'failed' | 'ended';
	run(statement: SingleStatement, isWrite: boolean, operation: Operation): Promise<StatementResult>;
	commit(operation: Operation): Promise<StatementResult>;
	/** Rolls the transaction back and ends it. */
	abort(): void;
	/** Rolls the transaction back while the client is idle; the client's next statement finds it failed. */
	expire(): void;
};

export type BeginRequest = {id: string; readOnly: boolean; session: SessionState; beganAtMs: number};

/** Runs statements for one service, either over this host's own connections or through another host that has connections. */
export type Executor = {
	runSingle(statement: SingleStatement, isWrite: boolean, operation: Operation): Promise<StatementResult>;
	begin(request: BeginRequest): TransactionHandle;
	/** This host's view of the service, as fields for log lines. */
	logFields(): Record<string, string | number | undefined>;
};
