import {type LogPosition, type TypedError} from '@dogwoodthread/coordination';
import {type Result} from 'neverthrow';
import {type Endpoint} from '../catalog/index.js';
import {type Access, type ErrorCode, type TransactionState} from '../statement/index.js';

/** `after` makes the endpoint refuse with `lagging` if its log lacks that position. */
export type EndpointCommand =
	| {kind: 'read' | 'write'; id: string; text: string; after?: LogPosition}
	| {kind: 'execute'; id: string; name: string; argument: string; after?: LogPosition}
	| {kind: 'commit'; id: string}
	/** `id` is that of the client's own statement, if it sent one. */
	| {kind: 'begin'; id?: string; readOnly: boolean; after?: LogPosition}
	| {kind: 'rollback'; id?: string}
	| {kind: 'reset'}
	| {kind: 'status'}
	| {kind: 'resume'}
	| {kind: 'set'; name: string; value: string}
	| {kind: 'prepare'; name: string; access: Access; shape: string}
	/** Stops a replica from receiving until it is resumed, promoted or restarted. */
	| {kind: 'fence'; term: number}
	/** Makes a primary of a lower term a replica. */
	| {kind: 'step-down'; term: number};

export type EndpointAnswer = {
	rows: string[];
	/** Absent if the command failed. */
	signature?: string;
	error?: {code: ErrorCode; text: string};
	transaction: TransactionState;
	/** Position that the endpoint's log has applied. */
	position?: LogPosition;
};

/** What an endpoint reports of itself in answer to `status`, `fence`, `resume` and `step-down`. */
export type EndpointStatus = {
	role: 'primary' | 'replica';
	term: number;
	/** Position that the endpoint has received; a replica applies it later. */
	received: LogPosition;
	/** Term at which a replica is fenced; 0 if it is not. */
	fencedTerm: number;
	lagMs: number;
	busySlots: number;
	/** Connections of all callers together. */
	connections: number;
};

/**
 * - `lost`: the connection ended; what was under way may have run.
 * - `silent`: no answer in time; the connection is closed and what was under way may have run.
 */
export type ConnectionErrorKind = 'lost' | 'silent';
export type ConnectionError = TypedError<ConnectionErrorKind>;

/**
 * - `unreachable`: no connection in time, or refused.
 * - `wrong-endpoint`: another endpoint listens at the address.
 * - `connection-limit`: the endpoint has all the connections that it takes.
 * - `busy`: the endpoint takes no connection at present.
 */
export type ConnectErrorKind = 'unreachable' | 'wrong-endpoint' | 'connection-limit' | 'busy';
export type ConnectError = TypedError<ConnectErrorKind>;

/** One connection to an endpoint. Runs one command at a time, in the order of the calls. */
export type EndpointConnection = {
	readonly isOpen: boolean;
	/** Rolls back on the endpoint's side if a transaction is open. */
	close(): void;
	run(command: EndpointCommand, timeoutMs: number): Promise<Result<EndpointAnswer, ConnectionError>>;
	onClose(callback: () => void): void;
};

export type EndpointConnector = {
	connect(endpoint: Endpoint, timeoutMs: number): Promise<Result<EndpointConnection, ConnectError>>;
	/** Reads the row of a status answer; undefined if it has another form. */
	parseStatus(answer: EndpointAnswer): EndpointStatus | undefined;
};
