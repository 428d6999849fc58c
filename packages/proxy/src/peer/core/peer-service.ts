import {type ConnectRouter} from '@connectrpc/connect';
import {type DocumentInForce, type MembershipView, type TimerService} from '@dogwoodthread/coordination';
import {
	type ForwardRequest, type ForwardResponse, type ObserveEndpointRequest, PeerService, type TransactRequest, type TransactResponse,
} from '@dogwoodthread/protocol';
import {type DatabaseDirectory, type OwnerLivenessProbe} from '../../directory/index.js';
import {AsyncQueue, type EndpointConnector} from '../../endpoint/index.js';
import {notRun} from '../../outcome/index.js';
import {type OwnerRegistry} from '../../owner/index.js';
import {maxBatchSize} from './forward-link.js';
import {fromOwnershipMessage, toOwnershipMessage} from './ownership-messages.js';

export type PeerServiceOptions = {
	directory: DatabaseDirectory;
	holderCheck: OwnerLivenessProbe;
	owners: OwnerRegistry;
	membership: MembershipView;
	connector: EndpointConnector;
	timers: TimerService;
	document: Pick<DocumentInForce, 'version' | 'peerContentSince'>;
	/** Tracks work in flight, which a graceful shutdown waits for. */
	track: <T>(work: Promise<T>) => Promise<T>;
};

type ResponseInit = {requestId: bigint; response?: ForwardResponse['response']; notActingOwner?: boolean};

/** Implements the peer service: forwarded requests, probes and queries from other proxies. */
export class PeerServiceHandler {
	readonly #batchers = new Set<ResponseBatcher>();
	#isDraining = false;

	constructor(private readonly options: PeerServiceOptions) {}

	/** Stops running requests, and ends the streams after the responses given so far. */
	drain(): void {
		this.#isDraining = true;
		for (const stream of this.#batchers) {
			stream.end();
		}
	}

	register(router: ConnectRouter): void {
		const {directory, membership, document} = this.options;
		router.service(PeerService, {
			forward: requests => this.#forward(requests),
			transact: steps => trackIteration(this.#transact(steps), this.options.track),
			observeEndpoint: async question => this.#observeEndpoint(question),
			getDocument: ({knownVersion}) => ({
				version: BigInt(document.version),
				content: document.peerContentSince(Number(knownVersion)),
			}),
			getOwnership({database}) {
				const entry = directory.findEntry(database);
				return toOwnershipMessage(database, entry?.ownership, entry?.group);
			},
			ownershipChanged(message) {
				const {ownership, group} = fromOwnershipMessage(message);
				if (ownership) {
					directory.applyIfNewer(ownership, group);
				}

				return {};
			},
			getView: () => ({
				members: membership.members().map(member => ({
					...member,
					incarnation: String(member.startedUnixMs),
					documentVersion: BigInt(member.documentVersion),
				})),
			}),
		});
	}

	/** Yields responses as they become available; those from one turn of the event loop share a message. */
	async * #forward(batches: AsyncIterable<{requests: ForwardRequest[]}>) {
		const responseBatches = new AsyncQueue<{responses: ResponseInit[]}>();
		const batcher = new ResponseBatcher(responseBatches);
		this.#batchers.add(batcher);
		void this.#readRequests(batches, batcher);
		try {
			yield * responseBatches;
		} finally {
			this.#batchers.delete(batcher);
		}
	}

	async #readRequests(batches: AsyncIterable<{requests: ForwardRequest[]}>, batcher: ResponseBatcher): Promise<void> {
		try {
			for await (const {requests} of batches) {
				if (requests.length === 0) {
					batcher.answerHeartbeat();
				}

				for (const request of requests) {
					void this.#answerForwarded(request, batcher);
				}
			}
		} catch {
			// The peer disconnected. Its requests still run to completion, but their responses are dropped.
		}

		batcher.end();
	}

	async #answerForwarded({requestId, request}: ForwardRequest, batcher: ResponseBatcher): Promise<void> {
		const {owners, timers, track, directory, holderCheck} = this.options;
		if (!request) {
			batcher.add({requestId, response: notRun('invalid-request', 'The forwarded request is empty.', 0)});
			return;
		}

		const owner = owners.get(request.database);
		if (!owner?.isActing || this.#isDraining) {
			// The sender may have a newer ownership record, or this proxy may not know of its own seat yet.
			void (owner ? holderCheck.probeHigherRankedOwners(request.database) : directory.refresh(request.database));
			batcher.add({requestId, notActingOwner: true});
			return;
		}

		const response = await track(owner.execute(request, timers.nowMs() + request.timeoutMs));
		batcher.add({requestId, response});
	}

	async * #transact(steps: AsyncIterable<TransactRequest>): AsyncIterable<TransactResponse> {
		const {owners} = this.options;
		const first = await peekFirst(steps);
		const database = first?.value.step.case === 'begin' ? first.value.step.value.database : '';
		const owner = owners.get(database);
		if (!first || !owner) {
			yield {
				$typeName: 'dogwoodthread.v1.TransactResponse', stepId: 0n, ended: true,
				response: notRun('no-acting-owner', 'This proxy does not act for the database.', 200),
			};
			return;
		}

		yield * owner.transact(first.all);
	}

	async #observeEndpoint({database, address, memberId}: ObserveEndpointRequest) {
		const {connector, membership} = this.options;
		const {failureDomain} = membership.self();
		// Term 0 fences nothing; the call only tests whether a new connection gets an answer.
		const reply = await connector.fence(database, {
			memberId, address, replicationAddress: '', failureDomain: '',
		}, 0);
		return {reachable: reply.isOk(), failureDomain, reason: reply.isOk() ? '' : reply.error.message};
	}
}

/** Batches the responses from one turn of the event loop. */
class ResponseBatcher {
	#batch: ResponseInit[] = [];

	constructor(private readonly responses: AsyncQueue<{responses: ResponseInit[]}>) {}

	add(response: ResponseInit): void {
		if (this.#batch.length === 0) {
			setImmediate(() => {
				this.#flush();
			});
		}

		this.#batch.push(response);
		if (this.#batch.length >= maxBatchSize) {
			this.#flush();
		}
	}

	/** Ends the stream after the responses added so far. */
	end(): void {
		this.#flush();
		this.responses.close();
	}

	/** Answers a heartbeat (empty batch) of the peer. */
	answerHeartbeat(): void {
		this.responses.push({responses: []});
	}

	#flush(): void {
		if (this.#batch.length > 0) {
			this.responses.push({responses: this.#batch});
			this.#batch = [];
		}
	}
}

/** Tracks an iteration as one unit of work, from when it starts until it ends. */
export async function * trackIteration<T>(items: AsyncIterable<T>, track: <R>(work: Promise<R>) => Promise<R>): AsyncIterable<T> {
	let end!: () => void;
	void track(new Promise<void>(resolve => {
		end = resolve;
	}));
	try {
		yield * items;
	} finally {
		end();
	}
}

/** Reads the first item; `all` iterates over every item, including the first. */
export async function peekFirst<T>(items: AsyncIterable<T>): Promise<{value: T; all: AsyncIterable<T>} | undefined> {
	const iterator = items[Symbol.asyncIterator]();
	const first = await iterator.next();
	if (first.done) {
		return undefined;
	}

	async function * all() {
		yield first.value as T;
		for (let next = await iterator.next(); !next.done; next = await iterator.next()) {
			yield next.value;
		}
	}

	return {value: first.value, all: all()};
}
