import {create} from '@bufbuild/protobuf';
import {type Client} from '@connectrpc/connect';
import {type TimerService, type TimerSubscription} from '@dogwoodthread/coordination';
import {
	type ExecuteRequest, type ForwardRequest, ForwardRequestBatchSchema, ForwardRequestSchema, type ForwardRequestBatch,
	type ForwardResponse, type PeerService,
} from '@dogwoodthread/protocol';
import {AsyncQueue} from '../../endpoint/index.js';
import {type ForwardResult} from '../definitions.js';

/** Requests in one message; 16 gave about 12 times the throughput of single ones. */
export const maxBatchSize = 16;

/** Interval of empty messages while answers are outstanding; the peer answers each at once. */
const heartbeatIntervalMs = 400;

/**
 * Time without any message after which the connection counts as silent. HTTP/2 PING would serve as well,
 * but connect-node 2.1.2 raises an unhandled error event when a PING times out, which ends the process.
 */
const silentMs = 1600;

/** Margin for the way back, after which an answer that did not come counts as lost. */
const answerMarginMs = 250;

/** `silent`: nothing came for too long although answers were due. */
export type LinkCloseReason = 'ended' | 'silent';

/**
 * Stream to one peer. Requests that arrive within one turn of the event loop travel in one message. One
 * task reads the answers until the stream ends; what is pending then is lost.
 */
export class ForwardLink {
	readonly #outgoing = new AsyncQueue<ForwardRequestBatch>();
	readonly #pending = new Map<bigint, (result: ForwardResult) => void>();
	#batch: ForwardRequest[] = [];
	#nextId = 1n;
	#open = true;
	#lastReceivedMs: number;
	readonly #heartbeat: TimerSubscription;

	constructor(
		private readonly client: Client<typeof PeerService>,
		private readonly timers: TimerService,
		private readonly onClose: (reason: LinkCloseReason) => void,
	) {
		this.#lastReceivedMs = timers.nowMs();
		this.#heartbeat = timers.every(heartbeatIntervalMs, () => {
			this.#checkSilence();
		});
		void this.#readAnswers();
	}

	get usable(): boolean {
		return this.#open;
	}

	async forward(request: ExecuteRequest): Promise<ForwardResult> {
		if (!this.#open) {
			return {kind: 'not-sent'};
		}

		const requestId = this.#nextId;
		this.#nextId += 1n;
		return new Promise(resolve => {
			const deadline = this.timers.after(request.timeoutMs + answerMarginMs, () => {
				this.#settle(requestId, {kind: 'lost'});
			});
			this.#pending.set(requestId, result => {
				deadline.cancel();
				resolve(result);
			});
			this.#enqueue(create(ForwardRequestSchema, {requestId, request}));
		});
	}

	close(reason: LinkCloseReason = 'ended'): void {
		if (!this.#open) {
			return;
		}

		this.#open = false;
		this.#heartbeat.cancel();
		this.#outgoing.close();
		for (const requestId of this.#pending.keys()) {
			this.#settle(requestId, {kind: 'lost'});
		}

		this.onClose(reason);
	}

	#enqueue(request: ForwardRequest): void {
		if (this.#pending.size === 1) {
			// Nothing was expected until now, so earlier silence means nothing.
			this.#lastReceivedMs = this.timers.nowMs();
		}

		if (this.#batch.length === 0) {
			setImmediate(() => {
				this.#flush();
			});
		}

		this.#batch.push(request);
		if (this.#batch.length >= maxBatchSize) {
			this.#flush();
		}
	}

	#checkSilence(): void {
		if (this.#pending.size === 0) {
			return;
		}

		if (this.timers.nowMs() - this.#lastReceivedMs > silentMs) {
			this.close('silent');
			return;
		}

		this.#outgoing.push(create(ForwardRequestBatchSchema, {}));
	}

	#flush(): void {
		if (this.#batch.length > 0) {
			this.#outgoing.push(create(ForwardRequestBatchSchema, {requests: this.#batch}));
			this.#batch = [];
		}
	}

	async #readAnswers(): Promise<void> {
		try {
			for await (const {responses} of this.client.forward(this.#outgoing)) {
				this.#lastReceivedMs = this.timers.nowMs();
				for (const answer of responses) {
					this.#accept(answer);
				}
			}
		} catch {
			// A cut stream is handled like an ended one.
		}

		this.close();
	}

	#accept({requestId, response, notActingOwner}: ForwardResponse): void {
		if (notActingOwner) {
			this.#settle(requestId, {kind: 'not-acting'});
		} else if (response) {
			this.#settle(requestId, {kind: 'answered', response});
		}
	}

	#settle(requestId: bigint, result: ForwardResult): void {
		const settle = this.#pending.get(requestId);
		this.#pending.delete(requestId);
		settle?.(result);
	}
}
