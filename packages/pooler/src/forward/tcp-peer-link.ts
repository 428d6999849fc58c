import {type Buffer} from 'node:buffer';
import {
	connect, createServer, type Server, type Socket,
} from 'node:net';
import {type BufferAccount, type BufferBudget, LineBuffer} from '../input/index.js';
import {
	type ForwardReply, type ForwardRequest, type PeerConnector, type PeerLink,
} from './definitions.js';
import {parseReply, parseRequest} from './peer-messages.js';
import {resetSocket} from './reset-socket.js';

/** Maximum length of a line: a message of 1 MiB after JSON escaping. */
const maxLineBytes = 8_388_608;

/** Messages that wait for the other host to read them. A link over this limit is reset. */
const maxUnsentBytes = 2 * maxLineBytes;

/** Length of the part of a rejected message that is logged, in characters. */
const maxReportedLength = 200;

/** Newline-delimited JSON over one TCP connection. Strings hold bytes of the client protocol as Latin-1 characters. */
class TcpPeerLink<Sent, Received> implements PeerLink<Sent, Received> {
	readonly #buffer = new LineBuffer({terminator: '\n', encoding: 'utf8', maxLineBytes});
	readonly #account: BufferAccount | undefined;

	/** `parse` returns undefined for a message that is not valid. */
	constructor(
		private readonly socket: Socket,
		private readonly parse: (message: unknown) => Received | undefined,
		private readonly onRejected: (message: string) => void,
		{address, budget}: {address: string; budget: BufferBudget | undefined},
	) {
		this.#account = budget?.open({
			source: 'host', address, onEvict: () => {
				this.reset();
			},
		});
		socket.setNoDelay(true);
		socket.on('drain', () => {
			this.#updateAccount();
		});
		socket.on('close', () => {
			this.#buffer.clear();
			this.#account?.close();
		});
		// The close event that follows is handled; without an error listener Node.js would throw the error.
		socket.on('error', () => undefined);
	}

	get isOpen(): boolean {
		return !this.socket.destroyed && this.socket.writable;
	}

	send(message: Sent): void {
		if (!this.isOpen || this.socket.write(`${JSON.stringify(message)}\n`)) {
			return;
		}

		if (this.socket.writableLength > maxUnsentBytes) {
			this.#account?.recordCut('not-reading', this.socket.writableLength);
			this.reset();
		} else {
			this.#updateAccount();
		}
	}

	close(): void {
		this.socket.destroy();
	}

	reset(): void {
		resetSocket(this.socket);
	}

	onMessage(callback: (message: Received) => void): void {
		this.socket.on('data', (chunk: Buffer) => {
			this.#buffer.append(chunk);
			while (this.isOpen && this.#buffer.hasLine && !this.#buffer.isTooLong) {
				this.#deliverLine(this.#buffer.takeLine()!, callback);
			}

			if (this.isOpen && this.#buffer.isTooLong) {
				this.#account?.recordCut('message-too-large', this.#buffer.heldBytes);
				this.#reject(this.#buffer.preview(maxReportedLength));
			}

			this.#updateAccount();
		});
	}

	onClose(callback: () => void): void {
		this.socket.on('close', callback);
	}

	#deliverLine(line: string, callback: (message: Received) => void): void {
		const message = this.parse(parseJson(line));
		if (message === undefined) {
			this.#reject(line.slice(0, maxReportedLength));
		} else {
			callback(message);
		}
	}

	/** Whatever follows cannot be trusted either: the sender is no host of the fleet, or the stream is corrupt. */
	#reject(message: string): void {
		this.onRejected(message);
		this.close();
	}

	#updateAccount(): void {
		if (this.isOpen) {
			this.#account?.update(this.#buffer.heldBytes + this.socket.writableLength);
		}
	}
}

/** Undefined if the text is not valid JSON. */
function parseJson(text: string): unknown {
	try {
		return JSON.parse(text);
	} catch {
		return undefined;
	}
}

/** Called with the address of the sender and the beginning of a message that was not valid. */
export type OnMessageRejected = (address: string, message: string) => void;

/** Opens links over TCP. */
export class TcpPeerConnector implements PeerConnector {
	constructor(private readonly onRejected: OnMessageRejected = () => undefined, private readonly budget?: BufferBudget) {}

	connect(address: string): PeerLink<ForwardRequest, ForwardReply> {
		const separator = address.lastIndexOf(':');
		const socket = connect({host: address.slice(0, separator), port: Number(address.slice(separator + 1))});
		return new TcpPeerLink(socket, parseReply, message => {
			this.onRejected(address, message);
		}, {address, budget: this.budget});
	}
}

/** Accepts links from other hosts. */
export function listenForPeers(
	address: {host: string; port: number},
	accept: (link: PeerLink<ForwardReply, ForwardRequest>) => void,
	onRejected: OnMessageRejected = () => undefined,
	budget?: BufferBudget,
): Server {
	return createServer(socket => {
		const senderAddress = `${socket.remoteAddress}:${socket.remotePort}`;
		accept(new TcpPeerLink(socket, parseRequest, message => {
			onRejected(senderAddress, message);
		}, {address: senderAddress, budget}));
	}).listen(address.port, address.host);
}
