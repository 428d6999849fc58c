import {type ClientHttp2Session, type ClientHttp2Stream} from 'node:http2';
import {Http2SessionManager} from '@connectrpc/connect-node';

/**
 * Session manager whose session errors never end the process. connect-node 2.1.2 destroys an idle session
 * with an error when it receives GOAWAY, and removes its error listener if a request starts before the
 * socket has closed. The error event would then have no listener, which ends the process.
 */
export class GuardedSessionManager extends Http2SessionManager {
	readonly #guarded = new WeakSet<ClientHttp2Session>();

	override async request(...parameters: Parameters<Http2SessionManager['request']>): Promise<ClientHttp2Stream> {
		const stream = await super.request(...parameters);
		const session = stream.session as ClientHttp2Session | undefined;
		if (session && !this.#guarded.has(session)) {
			this.#guarded.add(session);
			// The manager and the requests handle the error in their own listeners.
			session.on('error', () => undefined);
		}

		return stream;
	}
}
