import {type Socket} from 'node:net';

/**
 * Closes a connection to an unresponsive peer with a TCP reset, which discards unsent and unacknowledged data. After an
 * ordinary close the kernel keeps retransmitting that data, and the peer would still act on it once the network recovers.
 */
export function resetSocket(socket: Socket): void {
	// A reset is only possible on a connected socket whose writable side has not been ended.
	if (socket.connecting || socket.destroyed || socket.writableEnded) {
		socket.destroy();
	} else {
		socket.resetAndDestroy();
	}
}
