import {type LogPosition, type TypedError} from '@dogwoodthread/coordination';
import {type Result} from 'neverthrow';
import {type Endpoint} from '../catalog/index.js';
import {type Access, type ErrorCode, type TransactionState} from '../statement/index.js';

/** With `after`, the endpoint refuses the command with `lagging` if it has not applied that log position. */
export type EndpointCommand =
	| {kind: 'read' | 'write'; id: string; text: string; after?: LogPosition}
	| {kind: 'execute'; id: string; name: string; argument: string; after?: LogPosition}
	| {kind: 'commit'; id: string}
	/** `id` is that of the client's own `BEGIN`; undefined if the client sent none. */
	| {kind: 'begin'; id?: string; readOnly: boolean; after?: LogPosition}
	| {kind: 'rollback'; id?: string}
	| {kind: 'reset'}
	| {kind: 'status'}
	| {kind: 'resume'}
	| {kind: 'set'; name: string; value: string}
	| {kind: 'prepare'; name: string; access: Access; shape: string}
	/** Removes a prepared statement, so that the endpoint need not keep it. */
	| {kind: 'deallocate'; name: string}
	/** Stops a replica from receiving until it is resumed, promoted or restarted. */
	| {kind: 'fence'; term: number}
	/** Demotes a primary of a lower term to a replica. */
	| {kind: 'step-down'; term: number};

export type EndpointAnswer = {
	rows: string[];
	/** Absent if the command failed. */
	signature?: string;
	error?: {code: ErrorCode; text: string};
	transaction: TransactionState;
	/** Log position that the endpoint has applied. */
	position?: LogPosition;
	/** Whether the command was refused at this host, without a byte to the endpoint, because no message can carry it. */
	isUnsent?: boolean;
};

/** Status that an endpoint reports in answer to `status`, `fence`, `resume` and `step-down`. */
export type EndpointStatus = {
	role: 'primary' | 'replica';
	term: number;
	/** Log position that the endpoint has received; a replica applies it later. */
	received: LogPosition;
	/** Term at which a replica is fenced; 0 if it is not. */
	fencedTerm: number;
	lagMs: number;
	busySlots: number;
	/** Number of connections of all callers together. */
	connections: number;
};

/**
 * - `lost`: the connection ended; the command in progress may have run.
 * - `silent`: no answer within the timeout; the connection is closed, and the command in progress may have run.
 */
export type ConnectionErrorKind = 'lost' | 'silent';
export type ConnectionError = TypedError<ConnectionErrorKind>;

/**
 * - `unreachable`: connecting timed out or was refused.
 * - `wrong-endpoint`: another endpoint listens at the address.
 * - `connection-limit`: the endpoint has reached its maximum number of connections.
 * - `busy`: the endpoint accepts no connections at present.
 */
export type ConnectErrorKind = 'unreachable' | 'wrong-endpoint' | 'connection-limit' | 'busy';
export type ConnectError = TypedError<ConnectErrorKind>;

/** A connection to an endpoint. Runs one command at a time, in the order of the calls. */
export type EndpointConnection = {
	readonly isOpen: boolean;
	/** Closes the connection; the endpoint rolls back a transaction that is open on it. */
	close(): void;
	run(command: EndpointCommand, timeoutMs: number): Promise<Result<EndpointAnswer, ConnectionError>>;
	onClose(callback: () => void): void;
};

export type EndpointConnector = {
	connect(endpoint: Endpoint, timeoutMs: number): Promise<Result<EndpointConnection, ConnectError>>;
	/** Parses the row of an answer to `status`; undefined if it has another form. */
	parseStatus(answer: EndpointAnswer): EndpointStatus | undefined;
};
