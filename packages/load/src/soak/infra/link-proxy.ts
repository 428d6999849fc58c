import {
	connect, createServer, type Server, type Socket,
} from 'node:net';
import {resetSocket} from '@dogwoodthread/pooler';

/** How a link treats the bytes of its connections; `pass` is the healthy state. */
export type LinkMode = 'pass' | 'delay' | 'silence' | 'cut-to-server' | 'cut-to-client' | 'reset';

const delayMs = 150;

/** A loopback link to one server, through which faults strike connections. */
export class LinkProxy {
	static async start(targetPort: number): Promise<LinkProxy> {
		const proxy = new LinkProxy(targetPort);
		await new Promise<void>((resolve, reject) => {
			proxy.#server.once('error', reject).listen(0, '127.0.0.1', resolve);
		});
		return proxy;
	}

	readonly #server: Server;
	readonly #pairs = new Set<{client: Socket; upstream: Socket}>();
	#mode: LinkMode = 'pass';

	private constructor(private readonly targetPort: number) {
		this.#server = createServer({noDelay: true}, client => {
			this.#join(client);
		});
	}

	get port(): number {
		return (this.#server.address() as {port: number}).port;
	}

	/** Resets all connections for `reset`; otherwise what is held up passes once the mode is `pass` again. */
	setMode(mode: LinkMode): void {
		this.#mode = mode;
		if (mode === 'reset') {
			this.#resetAll();
		}

		for (const {client, upstream} of this.#pairs) {
			this.#applyTo(client, upstream);
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
		for (const {client, upstream} of this.#pairs) {
			resetSocket(client);
			resetSocket(upstream);
		}
	}

	#join(client: Socket): void {
		if (this.#mode === 'reset') {
			resetSocket(client);
			return;
		}

		const upstream = connect({port: this.targetPort, host: '127.0.0.1', noDelay: true});
		const pair = {client, upstream};
		this.#pairs.add(pair);
		this.#forward(client, upstream);
		this.#forward(upstream, client);
		client.on('close', () => {
			this.#pairs.delete(pair);
			upstream.destroy();
		});
		upstream.on('close', () => {
			client.destroy();
		});
		this.#applyTo(client, upstream);
	}

	#forward(from: Socket, to: Socket): void {
		from.on('error', () => undefined);
		from.on('data', (chunk: unknown) => {
			if (this.#mode === 'delay') {
				setTimeout(() => {
					to.write(chunk as Uint8Array);
				}, delayMs);
			} else {
				to.write(chunk as Uint8Array);
			}
		});
		from.on('end', () => {
			to.end();
		});
	}

	#applyTo(client: Socket, upstream: Socket): void {
		setHeld(client, this.#mode === 'silence' || this.#mode === 'cut-to-server');
		setHeld(upstream, this.#mode === 'silence' || this.#mode === 'cut-to-client');
	}
}

function setHeld(socket: Socket, isHeld: boolean): void {
	if (isHeld) {
		socket.pause();
	} else {
		socket.resume();
	}
}
