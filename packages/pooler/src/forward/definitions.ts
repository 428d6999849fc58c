import {type LogPosition} from '@dogwoodthread/coordination';
import {type Consistency} from '../catalog/index.js';
import {type EndpointAnswer} from '../endpoint/index.js';
import {type PreparedStatement, type SingleStatement, type StatementFailure} from '../session/index.js';

/**
 * The session state and routing parameters that a holder needs to run one statement for a client of another host. A
 * holder is a host that holds connections to the endpoints of a service.
 */
export type ForwardedStatement = {
	requestId: string;
	service: string;
	consistency: Consistency;
	maxStalenessMs: number;
	priority: number;
	latencyObjectiveMs: number;
	/** Remaining time until the deadline of the statement, in ms. */
	leftMs: number;
	values: Array<[string, string]>;
	committed?: LogPosition;
	/**
	 * If false, the holder refuses at once what it cannot reach the endpoints for, and another one is tried. Otherwise,
	 * also if absent, it waits for them, e.g. for a promotion.
	 */
	mayWait?: boolean;
};

/** A reading of the holder's monotonic clock. Readings from different epochs cannot be compared. */
export type ClockReading = {timeMs: number; epoch: number};

/** `sentAt` is the time of sending on the holder's clock, estimated from its replies. */
type CallHeader = {call: number; sentAt: ClockReading; statement: ForwardedStatement};
/** `isFirst` marks the request that begins the transaction. */
type TransactionHeader = {transaction: number; isFirst: boolean; begin: {id: string; readOnly: boolean}};
type StatementBody = {command: SingleStatement['command']; prepared?: PreparedStatement; isWrite: boolean};

/** Messages to a holder, from the host that the client is connected to. */
export type ForwardRequest =
	| ({kind: 'single'} & CallHeader & StatementBody)
	| ({kind: 'transaction'} & CallHeader & TransactionHeader & StatementBody)
	| ({kind: 'commit'} & CallHeader & TransactionHeader)
	| {kind: 'abort'; transaction: number}
	| {kind: 'ping'};

/** Messages from a holder. */
export type ForwardReply =
	| {kind: 'answer'; clock: ClockReading; call: number; answer?: EndpointAnswer; failure?: StatementFailure}
	/** The holder is shutting down: it finishes requests in progress and should get no new ones. */
	| {kind: 'leaving'}
	/** Sent once when the link opens, and in response to each ping. */
	| {kind: 'clock'; clock: ClockReading};

/** A connection between two hosts that delivers messages in order. */
export type PeerLink<Sent, Received> = {
	readonly isOpen: boolean;
	send(message: Sent): void;
	close(): void;
	/** Closes an unresponsive link and discards data that has not been delivered. */
	reset(): void;
	onMessage(callback: (message: Received) => void): void;
	onClose(callback: () => void): void;
};

/** Opens links to other hosts. */
export type PeerConnector = {
	connect(address: string): PeerLink<ForwardRequest, ForwardReply>;
};
