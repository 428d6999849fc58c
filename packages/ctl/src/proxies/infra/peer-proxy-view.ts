import {createClient} from '@connectrpc/connect';
import {createConnectTransport, type Http2SessionManager} from '@connectrpc/connect-node';
import {PeerService} from '@dogwoodthread/protocol';
import {GuardedSessionManager} from '@dogwoodthread/proxy';
import {ResultAsync} from 'neverthrow';
import {type ProxyError, type ProxyMember, type ProxyView} from '../definitions.js';

export type PeerProxyViewOptions = {
	/** Peer address, `ip:port`. */
	address: string;
	timeoutMs: number;
};

const failure = (address: string, error: unknown): ProxyError => ({
	kind: 'proxy-unavailable',
	message: `The proxy at ${address} did not answer: ${error instanceof Error ? error.message : String(error)}. Check --proxy, or ask another proxy.`,
	cause: error,
});

/** Reads the state of the proxies through the peer service of one of them. */
export class PeerProxyView implements ProxyView {
	readonly #sessions = new Map<string, Http2SessionManager>();

	constructor(private readonly options: PeerProxyViewOptions) {}

	fetchMembers(): ResultAsync<ProxyMember[], ProxyError> {
		const {address} = this.options;
		return ResultAsync.fromPromise(this.#client(address).getView({}), error => failure(address, error))
			.map(({members}) => members
				.filter(({state}) => state !== 'dead')
				.map(({hostId, state, peerAddress, documentVersion}) => ({
					hostId, state, peerAddress, documentVersion: Number(documentVersion),
				})));
	}

	fetchDocument(peerAddress: string): ResultAsync<{version: number; content: string}, ProxyError> {
		return ResultAsync.fromPromise(this.#client(peerAddress).getDocument({knownVersion: 0n}), error => failure(peerAddress, error))
			.map(({version, content}) => ({version: Number(version), content: content ?? ''}));
	}

	close(): void {
		for (const session of this.#sessions.values()) {
			session.abort();
		}
	}

	#client(address: string) {
		const baseUrl = `http://${address}`;
		const sessionManager = this.#sessions.get(address) ?? new GuardedSessionManager(baseUrl);
		this.#sessions.set(address, sessionManager);
		return createClient(PeerService, createConnectTransport({
			baseUrl, httpVersion: '2', sessionManager, defaultTimeoutMs: this.options.timeoutMs,
		}));
	}
}
