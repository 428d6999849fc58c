import {
	connect, createServer, type Server, type Socket,
} from 'node:net';
import {
	type ForwardReply, type ForwardRequest, type PeerConnector, type PeerLink,
} from './definitions.js';
import {parseReply, parseRequest} from './peer-messages.js';
import {resetSocket} from './reset-socket.js';

/** Maximum length of a line in characters: a message of 1 MiB after JSON escaping. */
const maxLineLength = 8_388_608;

/** Length of the part of a rejected message that is logged, in characters. */
const maxReportedLength = 200;

/** Newline-delimited JSON over one TCP connection. Strings hold bytes of the client protocol as Latin-1 characters. */
class TcpPeerLink<Sent, Received> implements PeerLink<Sent, Received> {
	#partialLine = '';

	/** `parse` returns undefined for a message that is not valid. */
	constructor(
		private readonly socket: Socket,
		private readonly parse: (message: unknown) => Received | undefined,
		private readonly onRejected: (message: string) => void,
	) {
		socket.setNoDelay(true);
		socket.setEncoding('utf8');
		// The close event that follows is handled; without an error listener Node.js would throw the error.
		socket.on('error', () => undefined);
	}

	get isOpen(): boolean {
		return !this.socket.destroyed && this.socket.writable;
	}

	send(message: Sent): void {
		if (this.isOpen) {
			this.socket.write(`${JSON.stringify(message)}\n`);
		}
	}

	close(): void {
		this.socket.destroy();
	}

	reset(): void {
		resetSocket(this.socket);
	}

	onMessage(callback: (message: Received) => void): void {
		this.socket.on('data', (text: unknown) => {
			const lines = (this.#partialLine + (text as string)).split('\n');
			this.#partialLine = lines.pop()!;
			if (this.#partialLine.length > maxLineLength) {
				this.close();
			}

			for (const line of lines) {
				this.#deliverLine(line, callback);
			}
		});
	}

	onClose(callback: () => void): void {
		this.socket.on('close', callback);
	}

	#deliverLine(line: string, callback: (message: Received) => void): void {
		const message = this.isOpen ? this.parse(parseJson(line)) : undefined;
		if (message !== undefined) {
			callback(message);
		} else if (this.isOpen) {
			// Whatever follows cannot be trusted either: the sender is no host of the fleet, or the stream is corrupt.
			this.onRejected(line.slice(0, maxReportedLength));
			this.close();
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
	constructor(private readonly onRejected: OnMessageRejected = () => undefined) {}

	connect(address: string): PeerLink<ForwardRequest, ForwardReply> {
		const separator = address.lastIndexOf(':');
		const socket = connect({host: address.slice(0, separator), port: Number(address.slice(separator + 1))});
		return new TcpPeerLink(socket, parseReply, message => {
			this.onRejected(address, message);
		});
	}
}

/** Accepts links from other hosts. */
export function listenForPeers(
	address: {host: string; port: number},
	accept: (link: PeerLink<ForwardReply, ForwardRequest>) => void,
	onRejected: OnMessageRejected = () => undefined,
): Server {
	return createServer(socket => {
		accept(new TcpPeerLink(socket, parseRequest, message => {
			onRejected(`${socket.remoteAddress}:${socket.remotePort}`, message);
		}));
	}).listen(address.port, address.host);
}
