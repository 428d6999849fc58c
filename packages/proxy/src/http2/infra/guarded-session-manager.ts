import {type ClientHttp2Session, type ClientHttp2Stream} from 'node:http2';
import {Http2SessionManager} from '@connectrpc/connect-node';

/**
 * Session manager whose sessions never end the process. connect-node 2.1.2 destroys an idle session with
 * an error when it receives GOAWAY, and takes its error listener off if a request comes before the socket
 * has closed; the error is then emitted without a listener.
 */
export class GuardedSessionManager extends Http2SessionManager {
	readonly #guarded = new WeakSet<ClientHttp2Session>();

	override async request(...parameters: Parameters<Http2SessionManager['request']>): Promise<ClientHttp2Stream> {
		const stream = await super.request(...parameters);
		const session = stream.session as ClientHttp2Session | undefined;
		if (session && !this.#guarded.has(session)) {
			this.#guarded.add(session);
			// The manager and the requests learn of the error through listeners of their own.
			session.on('error', () => undefined);
		}

		return stream;
	}
}
