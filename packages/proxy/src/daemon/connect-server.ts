import {once} from 'node:events';
import {createServer, type Http2Server, type ServerHttp2Session} from 'node:http2';
import {type AddressInfo} from 'node:net';
import {type ConnectRouter} from '@connectrpc/connect';
import {connectNodeAdapter} from '@connectrpc/connect-node';

/** Maximum size of a message; the parameters of a statement may take 1 MiB of it. */
const maxMessageBytes = 2 * 1024 * 1024;

/** HTTP/2 server for one Connect service that can shut down without interrupting requests. */
export class ConnectServer {
	readonly #server: Http2Server = createServer();
	readonly #sessions = new Set<ServerHttp2Session>();

	constructor() {
		this.#server.on('session', session => {
			this.#sessions.add(session);
			session.once('close', () => {
				this.#sessions.delete(session);
			});
		});
	}

	/** Starts listening and returns the address as `ip:port`. */
	async listen(host: string, port: number): Promise<string> {
		this.#server.listen(port, host);
		await once(this.#server, 'listening');
		const address = this.#server.address() as AddressInfo;
		return `${host}:${address.port}`;
	}

	/** Starts answering requests; until then they wait. Compression is off: over short network paths it costs more than it saves. */
	serve(register: (router: ConnectRouter) => void): void {
		this.#server.on('request', connectNodeAdapter({routes: register, readMaxBytes: maxMessageBytes, acceptCompression: []}));
	}

	/** Sends GOAWAY on every connection; open streams run to completion. */
	sendGoaway(): void {
		for (const session of this.#sessions) {
			session.close();
		}
	}

	/** Stops accepting connections and sends GOAWAY on the open ones. */
	stopAccepting(): void {
		this.#server.close();
		this.sendGoaway();
	}

	/**
	 * Resolves when every connection has closed, and so all pending data has been sent. Also if one closes with an error, as
	 * that of a peer does which shuts down at the same time and aborts its connections.
	 */
	async whenClosed(): Promise<void> {
		await Promise.all([...this.#sessions].map(async session => new Promise<void>(resolve => {
			// `once` of node:events would reject with the error that precedes the close.
			session.once('close', resolve);
		})));
	}

	/** Closes the listener and destroys the remaining connections. */
	destroy(): void {
		this.#server.close();
		for (const session of this.#sessions) {
			session.destroy();
		}
	}
}
