import {
	type GroupControl, type LogPosition, type MemberStatus, type TypedError,
} from '@dogwoodthread/coordination';
import {
	type RequestKey, type Row, type Statement, type StatementError,
} from '@dogwoodthread/protocol';
import {type Result} from 'neverthrow';

/** Identifies one connection of a seat to an instance. */
export type ConnectionIdentity = {
	database: string;
	rank: number;
	generation: number;
	index: number;
	hostId: string;
};

/** First connection index of monitors; lower indexes belong to connections for statements. */
export const monitorIndexBase = 1000;

/** First connection index of probes. */
export const probeIndexBase = 2000;

/**
 * - `completed`: the complete response to this request.
 * - `refused`: the instance refused before running anything.
 * - `lost`: the request was sent and no complete response arrived; it may have run.
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
	/** Term in which the instance must be primary; 0 for reads. */
	term: number;
	statement: Statement;
	access: 'read' | 'write';
	requestKey?: RequestKey;
};

/** One connection to an instance, which runs one request at a time. */
export type EndpointConnection = {
	/** False once the connection is closed. A closed connection must not be used again. */
	readonly isUsable: boolean;
	execute(call: StatementCall, timeoutMs: number): Promise<EndpointReply>;
	begin(term: number, timeoutMs: number): Promise<EndpointReply>;
	commit(requestKey: RequestKey | undefined, timeoutMs: number): Promise<EndpointReply>;
	rollback(timeoutMs: number): Promise<EndpointReply>;
	close(): void;
	onClose(listener: () => void): void;
};

/** Status stream of one instance. */
export type EndpointMonitor = {
	/** Resolves when the stream has ended. */
	readonly closed: Promise<void>;
	/**
	 * Requests a status, which is passed to the listener. With `pushPositions`, the instance also sends a
	 * status whenever its log grows, until the next ping without `pushPositions`.
	 */
	ping(pushPositions: boolean): void;
	close(): void;
};

/** `requestedAtMs` is the monotonic time at which the status was requested; undefined for a pushed status. */
export type StatusListener = (status: MemberStatus, requestedAtMs: number | undefined) => void;

/**
 * - `unreachable`: no connection was established in time.
 * - `refused`: the instance refused the connection; `code` gives the reason.
 */
export type ConnectError = TypedError<'unreachable' | 'refused'> & {code?: string};

/** Port for connections to instances. Each wire protocol has its own implementation. */
export type EndpointConnector = GroupControl & {
	connect(address: string, identity: ConnectionIdentity, timeoutMs: number): Promise<Result<EndpointConnection, ConnectError>>;
	monitor(
		address: string, identity: ConnectionIdentity, timeoutMs: number, listener: StatusListener,
	): Promise<Result<EndpointMonitor, ConnectError>>;
};

export {type ControlError} from '@dogwoodthread/coordination';
