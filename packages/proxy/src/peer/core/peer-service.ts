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
	/** Counts a request in flight for the graceful shutdown. */
	track: <T>(work: Promise<T>) => Promise<T>;
};

type ResponseInit = {requestId: bigint; response?: ForwardResponse['response']; notActingOwner?: boolean};

/** What this proxy does for its peers. */
export class PeerServiceHandler {
	readonly #streams = new Set<AnswerBatcher>();
	#draining = false;

	constructor(private readonly options: PeerServiceOptions) {}

	/** Runs no more requests, and ends the streams after the answers that were given. */
	drain(): void {
		this.#draining = true;
		for (const stream of this.#streams) {
			stream.end();
		}
	}

	register(router: ConnectRouter): void {
		const {directory, membership, document} = this.options;
		router.service(PeerService, {
			forward: requests => this.#forward(requests),
			transact: steps => trackIteration(this.#transact(steps), this.options.track),
			observeEndpoint: async question => this.#observe(question),
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

	/** Answers as they come, several in one message when they come within one turn of the event loop. */
	async * #forward(batches: AsyncIterable<{requests: ForwardRequest[]}>) {
		const answers = new AsyncQueue<{responses: ResponseInit[]}>();
		const batcher = new AnswerBatcher(answers);
		this.#streams.add(batcher);
		void this.#readRequests(batches, batcher);
		try {
			yield * answers;
		} finally {
			this.#streams.delete(batcher);
		}
	}

	async #readRequests(batches: AsyncIterable<{requests: ForwardRequest[]}>, batcher: AnswerBatcher): Promise<void> {
		try {
			for await (const {requests} of batches) {
				if (requests.length === 0) {
					batcher.confirm();
				}

				for (const request of requests) {
					void this.#answer(request, batcher);
				}
			}
		} catch {
			// The peer has gone; what it asked for still runs to its end, its answers go nowhere.
		}

		batcher.end();
	}

	async #answer({requestId, request}: ForwardRequest, batcher: AnswerBatcher): Promise<void> {
		const {owners, timers, track, directory, holderCheck} = this.options;
		if (!request) {
			batcher.add({requestId, response: notRun('invalid-request', 'The forwarded request is empty.', 0)});
			return;
		}

		const owner = owners.get(request.database);
		if (!owner?.isActing || this.#draining) {
			// The sender may know a newer record, or this proxy may not have heard of its seat yet.
			void (owner ? holderCheck.probeHigherRankedOwners(request.database) : directory.refresh(request.database));
			batcher.add({requestId, notActingOwner: true});
			return;
		}

		const response = await track(owner.execute(request, timers.nowMs() + request.timeoutMs));
		batcher.add({requestId, response});
	}

	async * #transact(steps: AsyncIterable<TransactRequest>): AsyncIterable<TransactResponse> {
		const {owners} = this.options;
		const first = await takeFirst(steps);
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

	async #observe({database, address, memberId}: ObserveEndpointRequest) {
		const {connector, membership} = this.options;
		const {failureDomain} = membership.self();
		// Term 0 fences nothing; the call only shows whether a fresh connection gets an answer.
		const reply = await connector.fence(database, {
			memberId, address, replicationAddress: '', failureDomain: '',
		}, 0);
		return {reachable: reply.isOk(), failureDomain, reason: reply.isOk() ? '' : reply.error.message};
	}
}

/** Collects answers within one turn of the event loop. */
class AnswerBatcher {
	#batch: ResponseInit[] = [];

	constructor(private readonly answers: AsyncQueue<{responses: ResponseInit[]}>) {}

	add(answer: ResponseInit): void {
		if (this.#batch.length === 0) {
			setImmediate(() => {
				this.#flush();
			});
		}

		this.#batch.push(answer);
		if (this.#batch.length >= maxBatchSize) {
			this.#flush();
		}
	}

	/** Ends the stream after what was added. */
	end(): void {
		this.#flush();
		this.answers.close();
	}

	/** Answers an empty batch, which asks whether this side still answers. */
	confirm(): void {
		this.answers.push({responses: []});
	}

	#flush(): void {
		if (this.#batch.length > 0) {
			this.answers.push({responses: this.#batch});
			this.#batch = [];
		}
	}
}

/** Counts an iteration as one piece of work, from its first item to its end. */
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

/** Reads the first item without losing it for the one who iterates over all. */
export async function takeFirst<T>(items: AsyncIterable<T>): Promise<{value: T; all: AsyncIterable<T>} | undefined> {
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
