import {type AddressInfo, createServer, type Socket} from 'node:net';
import {type Faults} from '../core/faults.js';

/** Anything that serves sockets handed to it, such as an HTTP or HTTP/2 server. */
export type SocketConsumer = {emit(event: 'connection', socket: Socket): boolean};

export type GatedListenerOptions = {
	host: string;
	port: number;
	faults: Pick<Faults, 'untilThawed'>;
	/** Whether connections are to be dropped at present. */
	refuses: () => boolean;
	consumer: SocketConsumer;
};

export type GatedListener = {address: string; close(): Promise<void>};

/** Listens on TCP and hands sockets to a server; while frozen, sockets are accepted and left unread. */
export const listenGated = async ({host, port, faults, refuses, consumer}: GatedListenerOptions): Promise<GatedListener> => {
	const sockets = new Set<Socket>();
	const server = createServer(async socket => {
		socket.setNoDelay(true);
		socket.on('error', () => undefined);
		if (refuses()) {
			socket.destroy();
			return;
		}

		sockets.add(socket);
		socket.on('close', () => {
			sockets.delete(socket);
		});
		await faults.untilThawed();
		if (!socket.destroyed) {
			consumer.emit('connection', socket);
		}
	});
	await new Promise<void>((resolve, reject) => {
		server.once('error', reject);
		server.listen(port, host, resolve);
	});
	return {
		address: `${host}:${(server.address() as AddressInfo).port}`,
		async close() {
			for (const socket of sockets) {
				socket.destroy();
			}

			await new Promise(resolve => {
				server.close(resolve);
			});
		},
	};
};
