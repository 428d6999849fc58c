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

/** Messages from the host that a client is connected to. */
export type ForwardRequest =
	| {kind: 'single'; call: number; statement: ForwardedStatement; command: SingleStatement['command']; prepared?: PreparedStatement; isWrite: boolean}
	| {kind: 'transaction'; call: number; transaction: number; begin: {id: string; readOnly: boolean}; statement: ForwardedStatement; command: SingleStatement['command']; prepared?: PreparedStatement; isWrite: boolean}
	| {kind: 'commit'; call: number; transaction: number; begin: {id: string; readOnly: boolean}; statement: ForwardedStatement}
	| {kind: 'abort'; transaction: number}
	| {kind: 'ping'};

/** Messages from the holder. */
export type ForwardReply =
	| {kind: 'answer'; call: number; answer?: EndpointAnswer; failure?: StatementFailure}
	/** The holder stops; it finishes what it has and takes nothing new. */
	| {kind: 'leaving'}
	| {kind: 'pong'};

/** A connection between two hosts, with whole messages in order. */
export type PeerLink<Sent, Received> = {
	readonly isOpen: boolean;
	/** Whether the other side was ever reached; until then nothing has been sent. */
	readonly isConnected: boolean;
	send(message: Sent): void;
	close(): void;
	onMessage(callback: (message: Received) => void): void;
	onClose(callback: () => void): void;
};

/** Opens links to other hosts. */
export type PeerConnector = {
	connect(address: string): PeerLink<ForwardRequest, ForwardReply>;
};
