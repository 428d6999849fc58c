import {type TimerService, type TimerSubscription} from '@dogwoodthread/coordination';
import {err, ok} from 'neverthrow';
import {type StatementResult} from '../session/index.js';
import {
	type ForwardReply, type ForwardRequest, type PeerConnector, type PeerLink,
} from './definitions.js';
import {HolderClock} from './holder-clock.js';

/** `lost` means that the call may or may not have run at the holder; `not-sent` means that it did not run. */
export type CallResult = {kind: 'answered'; result: StatementResult} | {kind: 'lost' | 'not-sent'};

export type HolderLinkOptions = {
	address: string;
	connector: PeerConnector;
	timers: TimerService;
};

type CallRequest = Extract<ForwardRequest, {call: number}>;
type WithoutCallHeader<Request> = Request extends unknown ? Omit<Request, 'call' | 'sentAt'> : never;
type UnsentRequest = WithoutCallHeader<CallRequest>;

/** Interval between pings on a link with pending calls. */
const pingIntervalMs = 300;
/** A link with pending calls is reset after this long without a message from the holder. */
const silenceTimeoutMs = 1000;
/** Time limit for connecting and receiving the first clock reading; the latency between hosts is a few ms. */
const connectTimeoutMs = 250;
/** How long new calls avoid a holder that was unreachable or is shutting down. */
const avoidDurationMs = 2000;
/** Extra time after the statement's deadline at the holder for its answer to arrive. */
const answerMarginMs = 100;

/** Sends calls to one holder. The connection is opened on demand. */
export class HolderLink {
	readonly #pendingCalls = new Map<number, (result: CallResult) => void>();
	/** Requests by call number that wait for the first reading of the holder's clock. */
	readonly #queuedRequests = new Map<number, UnsentRequest>();
	#clock: HolderClock;
	#link: PeerLink<ForwardRequest, ForwardReply> | undefined;
	#nextCallNumber = 1;
	#generation = 0;
	#lastMessageAtMs = 0;
	#avoidUntilMs = Number.NEGATIVE_INFINITY;
	#pingTimer: TimerSubscription | undefined;

	constructor(private readonly options: HolderLinkOptions) {
		this.#clock = new HolderClock(options.timers);
	}

	get pendingCallCount(): number {
		return this.#pendingCalls.size;
	}

	isAvoided(nowMs: number): boolean {
		return nowMs < this.#avoidUntilMs;
	}

	/** Increases with each new connection. A transaction is bound to the connection on which it began. */
	get generation(): number {
		return this.#generation;
	}

	get isOpen(): boolean {
		return this.#link?.isOpen ?? false;
	}

	/**
	 * Sends a call; if `generation` is given, only on that connection. A holder rejects a call that arrived late
	 * without running it. The rejection carries a new clock reading, so the call is then sent once more.
	 */
	async call(request: UnsentRequest, generation?: number): Promise<CallResult> {
		const first = await this.#callOnce(request, generation);
		return hasArrivedLate(first) ? this.#callOnce(request, generation) : first;
	}

	abort(transaction: number): void {
		if (this.isOpen) {
			this.#link!.send({kind: 'abort', transaction});
		}
	}

	close(): void {
		this.#link?.close();
	}

	async #callOnce(request: UnsentRequest, generation?: number): Promise<CallResult> {
		if (generation !== undefined && (generation !== this.#generation || !this.isOpen)) {
			return {kind: 'not-sent'};
		}

		const {timers} = this.options;
		this.#ensureConnected();
		if (this.#pendingCalls.size === 0) {
			this.#lastMessageAtMs = timers.nowMs();
		}

		const call = this.#nextCallNumber;
		this.#nextCallNumber += 1;
		return new Promise(resolve => {
			const timeout = timers.after(request.statement.leftMs + answerMarginMs, () => {
				this.#settleCall(call, {kind: 'lost'});
			});
			this.#pendingCalls.set(call, result => {
				timeout.cancel();
				resolve(result);
			});
			this.#queuedRequests.set(call, request);
			this.#sendQueuedRequests();
		});
	}

	#sendQueuedRequests(): void {
		const sentAt = this.#clock.estimate;
		if (!sentAt) {
			return;
		}

		for (const [call, request] of this.#queuedRequests) {
			this.#link?.send({...request, call, sentAt});
		}

		this.#queuedRequests.clear();
	}

	#ensureConnected(): void {
		if (this.#link?.isOpen) {
			return;
		}

		this.#generation += 1;
		const {connector, address, timers} = this.options;
		const link = connector.connect(address);
		this.#link = link;
		this.#clock = new HolderClock(timers);
		this.#lastMessageAtMs = timers.nowMs();
		link.onMessage(reply => {
			this.#lastMessageAtMs = timers.nowMs();
			this.#handleReply(reply);
		});
		link.onClose(() => {
			if (this.#link === link) {
				this.#handleClose();
			}
		});
		this.#pingTimer ??= timers.every(pingIntervalMs, () => {
			this.#checkConnection();
		});
	}

	#handleReply(reply: ForwardReply): void {
		if (reply.kind !== 'leaving') {
			this.#clock.update(reply.clock);
			this.#sendQueuedRequests();
		}

		if (reply.kind === 'answer') {
			this.#settleCall(reply.call, {kind: 'answered', result: reply.failure ? err(reply.failure) : ok(reply.answer!)});
		} else if (reply.kind === 'leaving') {
			this.#avoidUntilMs = this.options.timers.nowMs() + avoidDurationMs;
		}
	}

	#checkConnection(): void {
		if (!this.#link?.isOpen || this.#pendingCalls.size === 0) {
			this.#lastMessageAtMs = this.options.timers.nowMs();
			return;
		}

		const timeoutMs = this.#clock.estimate ? silenceTimeoutMs : connectTimeoutMs;
		if (this.options.timers.nowMs() - this.#lastMessageAtMs > timeoutMs) {
			// A reset discards undelivered requests. They must not run after a partition ends, when their clients have already been answered.
			this.#link.reset();
			return;
		}

		this.#link.send({kind: 'ping'});
	}

	#handleClose(): void {
		this.#link = undefined;
		this.#avoidUntilMs = this.options.timers.nowMs() + avoidDurationMs;
		this.#pingTimer?.cancel();
		this.#pingTimer = undefined;
		for (const call of this.#pendingCalls.keys()) {
			this.#settleCall(call, {kind: 'lost'});
		}
	}

	/** Completes a call; a call that is still queued completes as `not-sent`. */
	#settleCall(call: number, result: CallResult): void {
		const settle = this.#pendingCalls.get(call);
		this.#pendingCalls.delete(call);
		settle?.(this.#queuedRequests.delete(call) ? {kind: 'not-sent'} : result);
	}
}

const hasArrivedLate = (result: CallResult): boolean =>
	result.kind === 'answered' && result.result.isErr() && result.result.error.reason === 'arrived-late';
