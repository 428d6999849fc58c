import {
	connect, createServer, type Server, type Socket,
} from 'node:net';
import {
	type ForwardReply, type ForwardRequest, type PeerConnector, type PeerLink,
} from './definitions.js';
import {abandonSocket} from './abandon-socket.js';

/** Longest line in characters: a message of 1 MiB, escaped. */
const maxLineLength = 8_388_608;

/** JSON lines over one TCP connection. Strings keep the bytes of the wire as Latin-1 characters. */
class TcpPeerLink<Sent, Received> implements PeerLink<Sent, Received> {
	#rest = '';

	constructor(private readonly socket: Socket) {
		socket.setNoDelay(true);
		socket.setEncoding('utf8');
		// The close event follows; without a listener the error would end the process.
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

	abandon(): void {
		abandonSocket(this.socket);
	}

	onMessage(callback: (message: Received) => void): void {
		this.socket.on('data', (text: unknown) => {
			const lines = (this.#rest + (text as string)).split('\n');
			this.#rest = lines.pop()!;
			if (this.#rest.length > maxLineLength) {
				this.close();
			}

			for (const line of lines) {
				this.#deliver(line, callback);
			}
		});
	}

	onClose(callback: () => void): void {
		this.socket.on('close', callback);
	}

	#deliver(line: string, callback: (message: Received) => void): void {
		let message: Received;
		try {
			message = JSON.parse(line) as Received;
		} catch {
			// Only hosts of this system connect here; a line that is no JSON means that the stream is damaged.
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
