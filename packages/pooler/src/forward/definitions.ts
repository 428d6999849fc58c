import {type LogPosition} from '@dogwoodthread/coordination';
import {type Consistency} from '../catalog/index.js';
import {type EndpointAnswer} from '../endpoint/index.js';
import {type PreparedStatement, type SingleStatement, type StatementFailure} from '../session/index.js';

/** What a holder must know of a client's session to run one statement for it. */
export type ForwardedStatement = {
	requestId: string;
	service: string;
	consistency: Consistency;
	maxStalenessMs: number;
	priority: number;
	latencyObjectiveMs: number;
	/** Time that the statement has left, in ms. */
	leftMs: number;
	values: Array<[string, string]>;
	committed?: LogPosition;
};

/** A time on the holder's monotonic clock; times of two epochs cannot be compared. */
export type ClockReading = {timeMs: number; epoch: number};

/** `sentAt` is the holder's time when the request was sent, as its last replies told it. */
type Call = {call: number; sentAt: ClockReading; statement: ForwardedStatement};
/** `isFirst`: the transaction begins with this request. */
type InTransaction = {transaction: number; isFirst: boolean; begin: {id: string; readOnly: boolean}};
type Execution = {command: SingleStatement['command']; prepared?: PreparedStatement; isWrite: boolean};

/** Messages from the host that a client is connected to. */
export type ForwardRequest =
	| ({kind: 'single'} & Call & Execution)
	| ({kind: 'transaction'} & Call & InTransaction & Execution)
	| ({kind: 'commit'} & Call & InTransaction)
	| {kind: 'abort'; transaction: number}
	| {kind: 'ping'};

/** Messages from the holder. */
export type ForwardReply =
	| {kind: 'answer'; clock: ClockReading; call: number; answer?: EndpointAnswer; failure?: StatementFailure}
	/** The holder stops; it finishes what it has and takes nothing new. */
	| {kind: 'leaving'}
	/** The first message of a link, and the answer to a ping. */
	| {kind: 'clock'; clock: ClockReading};

/** A connection between two hosts, with whole messages in order. */
export type PeerLink<Sent, Received> = {
	readonly isOpen: boolean;
	send(message: Sent): void;
	close(): void;
	/** Closes a link that does not answer; what has not arrived yet is dropped. */
	abandon(): void;
	onMessage(callback: (message: Received) => void): void;
	onClose(callback: () => void): void;
};

/** Opens links to other hosts. */
export type PeerConnector = {
	connect(address: string): PeerLink<ForwardRequest, ForwardReply>;
};
