import {type Client, createClient} from '@connectrpc/connect';
import {createConnectTransport, type Http2SessionManager} from '@connectrpc/connect-node';
import {type GroupRecord, type TimerService, type VersionedOwnership} from '@dogwoodthread/coordination';
import {
	type ExecuteRequest, PeerService, type TransactRequest, type TransactResponse,
} from '@dogwoodthread/protocol';
import {type PeerOwnership} from '../../directory/index.js';
import {GuardedSessionManager} from '../../http2/index.js';
import {
	type ForwardResult, type RequestForwarder, type PeerQueries,
} from '../definitions.js';
import {ForwardLink} from './forward-link.js';
import {fromOwnershipMessage, toOwnershipMessage} from './ownership-messages.js';

/** A document may be a megabyte in size, so it gets more time than other queries. */
const documentTimeoutMs = 2000;

type Peer = {
	client: Client<typeof PeerService>;
	sessionManager: Http2SessionManager;
	link: ForwardLink | undefined;
};

/** Time without requests after which a connection is closed, to limit open connections in a large fleet. */
const idleTimeoutMs = 60_000;

/** Connections to other proxies, opened on demand. */
export class PeerClients implements RequestForwarder, PeerQueries {
	readonly #peers = new Map<string, Peer>();

	constructor(private readonly options: {timers: TimerService; connectTimeoutMs: number; queryTimeoutMs: number}) {}

	async forward(peerAddress: string, request: ExecuteRequest): Promise<ForwardResult> {
		const peer = this.#getPeer(peerAddress);
		// Connects first: a request written to a stream whose connection was never established could not be
		// told apart from one that was sent and lost.
		if (!await this.#connect(peer)) {
			return {kind: 'not-sent'};
		}

		if (!peer.link?.isUsable) {
			peer.link = new ForwardLink(peer.client, this.options.timers, reason => {
				peer.link = undefined;
				if (reason === 'silent') {
					// All streams of an unresponsive connection are affected, so the whole connection is closed.
					peer.sessionManager.abort();
					this.#peers.delete(peerAddress);
				}
			});
		}

		return peer.link.forward(request);
	}

	transact(peerAddress: string, steps: AsyncIterable<TransactRequest>): AsyncIterable<TransactResponse> {
		return this.#getPeer(peerAddress).client.transact(steps);
	}

	async getOwnership(peerAddress: string, database: string): Promise<PeerOwnership | undefined> {
		return this.#query(peerAddress, async client => fromOwnershipMessage(await client.getOwnership({database}, {timeoutMs: this.options.queryTimeoutMs})));
	}

	async announceOwnership(peerAddress: string, ownership: VersionedOwnership, group: GroupRecord | undefined): Promise<void> {
		await this.#query(peerAddress, async client => {
			await client.ownershipChanged(toOwnershipMessage(ownership.record.database, ownership, group), {timeoutMs: this.options.queryTimeoutMs});
		});
	}

	async observeEndpoint(peerAddress: string, query: {database: string; memberId: string; address: string; timeoutMs: number}): Promise<boolean | undefined> {
		return this.#query(peerAddress, async client => {
			const {reachable} = await client.observeEndpoint(query, {timeoutMs: query.timeoutMs + this.options.queryTimeoutMs});
			return reachable;
		});
	}

	async getDocument(peerAddress: string, knownVersion: number): Promise<{version: number; content: string | undefined} | undefined> {
		return this.#query(peerAddress, async client => {
			const {version, content} = await client.getDocument({knownVersion: BigInt(knownVersion)}, {timeoutMs: documentTimeoutMs});
			return {version: Number(version), content};
		});
	}

	close(): void {
		for (const {link, sessionManager} of this.#peers.values()) {
			link?.close();
			sessionManager.abort();
		}

		this.#peers.clear();
	}

	#getPeer(peerAddress: string): Peer {
		const known = this.#peers.get(peerAddress);
		if (known) {
			return known;
		}

		const baseUrl = `http://${peerAddress}`;
		const sessionManager = new GuardedSessionManager(baseUrl, {idleConnectionTimeoutMs: idleTimeoutMs});
		const transport = createConnectTransport({
			baseUrl, httpVersion: '2', sessionManager, acceptCompression: [],
		});
		const peer = {client: createClient(PeerService, transport), sessionManager, link: undefined};
		this.#peers.set(peerAddress, peer);
		return peer;
	}

	async #connect({sessionManager}: Peer): Promise<boolean> {
		if (sessionManager.state() === 'open') {
			return true;
		}

		const expired = this.options.timers.sleep(this.options.connectTimeoutMs);
		const state = await Promise.race([sessionManager.connect(), expired]);
		return state === 'open' || state === 'idle';
	}

	async #query<T>(peerAddress: string, call: (client: Client<typeof PeerService>) => Promise<T>): Promise<T | undefined> {
		try {
			return await call(this.#getPeer(peerAddress).client);
		} catch {
			return undefined;
		}
	}
}

