import {
	type GroupControl, type LogPosition, type MemberStatus, type TypedError,
} from '@dogwoodthread/coordination';
import {
	type RequestKey, type Row, type Statement, type StatementError,
} from '@dogwoodthread/protocol';
import {type Result} from 'neverthrow';

/** Names one connection of a seat to an instance. */
export type ConnectionIdentity = {
	database: string;
	rank: number;
	generation: number;
	index: number;
	hostId: string;
};

/** Connections of monitors count from here up, apart from those for statements. */
export const monitorIndexBase = 1000;

/** Connections of probes count from here up. */
export const probeIndexBase = 2000;

/**
 * - `completed`: the whole answer to this request.
 * - `refused`: the instance refused before running anything.
 * - `lost`: the request was handed over and no complete answer came; it may have run.
 */
export type EndpointReply =
	| {kind: 'completed'; completion: Completion}
	| {kind: 'refused'; code: string; message: string}
	| {kind: 'lost'; reason: 'connection-lost' | 'no-answer-in-time' | 'incomplete-answer' | 'foreign-answer'};

export type Completion = {
	rows: Row[];
	position: LogPosition;
	verifiedTerm: number;
	statementError: StatementError | undefined;
	repeated: boolean;
	serviceMs: number;
};

export type StatementCall = {
	/** Term that the instance must be primary of; 0 for reads. */
	term: number;
	statement: Statement;
	access: 'read' | 'write';
	requestKey?: RequestKey;
};

/** One connection to an instance. Requests run one at a time. */
export type EndpointConnection = {
	/** False once the connection must not be used again. */
	readonly usable: boolean;
	execute(call: StatementCall, timeoutMs: number): Promise<EndpointReply>;
	begin(term: number, timeoutMs: number): Promise<EndpointReply>;
	commit(requestKey: RequestKey | undefined, timeoutMs: number): Promise<EndpointReply>;
	rollback(timeoutMs: number): Promise<EndpointReply>;
	close(): void;
	onClose(listener: () => void): void;
};

/** Stream of statuses of one instance. */
export type EndpointMonitor = {
	/** Resolves when the stream has ended. */
	readonly closed: Promise<void>;
	/**
	 * Asks for a status; the answer comes to the listener. With `pushPositions` the instance also sends a
	 * status whenever its log grows, until a ping without it.
	 */
	ping(pushPositions: boolean): void;
	close(): void;
};

/** `askedAtMs` is the monotonic time at which the status was asked for; absent for a push. */
export type StatusListener = (status: MemberStatus, askedAtMs: number | undefined) => void;

/**
 * - `unreachable`: no connection in time.
 * - `refused`: the instance refused the connection; `code` tells why.
 */
export type ConnectError = TypedError<'unreachable' | 'refused'> & {code?: string};

/** Opens connections to instances. Another codec is another implementation of this port. */
export type EndpointConnector = GroupControl & {
	connect(address: string, identity: ConnectionIdentity, timeoutMs: number): Promise<Result<EndpointConnection, ConnectError>>;
	monitor(
		address: string, identity: ConnectionIdentity, timeoutMs: number, listener: StatusListener,
	): Promise<Result<EndpointMonitor, ConnectError>>;
};

export {type ControlError} from '@dogwoodthread/coordination';
