import {
	connect, createServer, type Server, type Socket,
} from 'node:net';
import {
	type ForwardReply, type ForwardRequest, type PeerConnector, type PeerLink,
} from './definitions.js';
import {resetSocket} from './reset-socket.js';

/** Maximum length of a line in characters: a message of 1 MiB after JSON escaping. */
const maxLineLength = 8_388_608;

/** Newline-delimited JSON over one TCP connection. Strings hold bytes of the client protocol as Latin-1 characters. */
class TcpPeerLink<Sent, Received> implements PeerLink<Sent, Received> {
	#partialLine = '';

	constructor(private readonly socket: Socket) {
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
		let message: Received;
		try {
			message = JSON.parse(line) as Received;
		} catch {
			// Only hosts of the same deployment connect, so a line that is not valid JSON means that the stream is corrupt.
			this.close();
			return;
		}

		callback(message);
	}
}

/** Opens links over TCP. */
export class TcpPeerConnector implements PeerConnector {
	connect(address: string): PeerLink<ForwardRequest, ForwardReply> {
		const separator = address.lastIndexOf(':');
		return new TcpPeerLink(connect({host: address.slice(0, separator), port: Number(address.slice(separator + 1))}));
	}
}

/** Accepts links from other hosts. */
export function listenForPeers(address: {host: string; port: number}, accept: (link: PeerLink<ForwardReply, ForwardRequest>) => void): Server {
	return createServer(socket => {
		accept(new TcpPeerLink(socket));
	}).listen(address.port, address.host);
}
