import {type Socket} from 'node:net';

/**
 * Closes a connection whose other side does not answer. The reset drops what has not arrived yet; after an ordinary
 * close the system would go on sending it, and it would take effect once the network lets it through.
 */
export function abandonSocket(socket: Socket): void {
	// A reset needs an open handle that is not ending already.
	if (socket.connecting || socket.destroyed || socket.writableEnded) {
		socket.destroy();
	} else {
		socket.resetAndDestroy();
	}
}
