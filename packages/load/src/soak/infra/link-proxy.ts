import {
	connect, createServer, type Server, type Socket,
} from 'node:net';
import {resetSocket} from '@dogwoodthread/pooler';

/** How a link treats the bytes of its connections; `pass` forwards them without a fault. */
export type LinkMode = 'pass' | 'delay' | 'silence' | 'cut-to-server' | 'cut-to-client' | 'reset';

const chunkDelayMs = 150;

/** TCP proxy on the loopback interface in front of one server, which injects network faults. */
export class LinkProxy {
	static async start(targetPort: number): Promise<LinkProxy> {
		const proxy = new LinkProxy(targetPort);
		await new Promise<void>((resolve, reject) => {
			proxy.#server.once('error', reject).listen(0, '127.0.0.1', resolve);
		});
		return proxy;
	}

	readonly #server: Server;
	readonly #connections = new Set<{client: Socket; upstream: Socket}>();
	#mode: LinkMode = 'pass';

	private constructor(private readonly targetPort: number) {
		this.#server = createServer({noDelay: true}, client => {
			this.#acceptConnection(client);
		});
	}

	get port(): number {
		return (this.#server.address() as {port: number}).port;
	}

	/** `reset` resets all open connections. The other modes lose no data: bytes that they hold back are delivered once the mode is `pass` again. */
	setMode(mode: LinkMode): void {
		this.#mode = mode;
		if (mode === 'reset') {
			this.#resetAll();
		}

		for (const {client, upstream} of this.#connections) {
			this.#applyModeTo(client, upstream);
		}
	}

	async stop(): Promise<void> {
		this.#resetAll();
		await new Promise<void>(resolve => {
			this.#server.close(() => {
				resolve();
			});
		});
	}

	#resetAll(): void {
		for (const {client, upstream} of this.#connections) {
			resetSocket(client);
			resetSocket(upstream);
		}
	}

	#acceptConnection(client: Socket): void {
		if (this.#mode === 'reset') {
			resetSocket(client);
			return;
		}

		const upstream = connect({port: this.targetPort, host: '127.0.0.1', noDelay: true});
		const connection = {client, upstream};
		this.#connections.add(connection);
		this.#forward(client, upstream);
		this.#forward(upstream, client);
		client.on('close', () => {
			this.#connections.delete(connection);
			upstream.destroy();
		});
		upstream.on('close', () => {
			client.destroy();
		});
		this.#applyModeTo(client, upstream);
	}

	#forward(from: Socket, to: Socket): void {
		from.on('error', () => undefined);
		from.on('data', (chunk: unknown) => {
			if (this.#mode === 'delay') {
				setTimeout(() => {
					to.write(chunk as Uint8Array);
				}, chunkDelayMs);
			} else {
				to.write(chunk as Uint8Array);
			}
		});
		from.on('end', () => {
			to.end();
		});
	}

	#applyModeTo(client: Socket, upstream: Socket): void {
		setPaused(client, this.#mode === 'silence' || this.#mode === 'cut-to-server');
		setPaused(upstream, this.#mode === 'silence' || this.#mode === 'cut-to-client');
	}
}

function setPaused(socket: Socket, isPaused: boolean): void {
	if (isPaused) {
		socket.pause();
	} else {
		socket.resume();
	}
}
