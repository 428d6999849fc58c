import {type TimerService, type TimerSubscription} from '@dogwoodthread/coordination';
import {err, ok} from 'neverthrow';
import {type StatementResult} from '../session/index.js';
import {
	type ForwardReply, type ForwardRequest, type PeerConnector, type PeerLink,
} from './definitions.js';

/** How a call ended at the holder, or `lost` if that is not known, or `not-sent`. */
export type CallResult = {kind: 'answered'; result: StatementResult} | {kind: 'lost' | 'not-sent'};

export type HolderLinkOptions = {
	address: string;
	connector: PeerConnector;
	timers: TimerService;
};

type CallRequest = Extract<ForwardRequest, {call: number}>;
type WithoutCall<Request> = Request extends unknown ? Omit<Request, 'call'> : never;

/** Interval at which a link with open calls is checked, in ms. */
const pingIntervalMs = 300;
/** A link without any message for this long while calls are open is given up, in ms. */
const silenceMs = 1000;
/** Time for opening a connection to a holder, in ms; hosts are a few ms apart. */
const connectTimeoutMs = 250;
/** A holder that could not be reached, or leaves, is passed over for this long, in ms. */
const avoidMs = 2000;
/** The answer may come this much later than the holder's own deadline, in ms. */
const answerSlackMs = 100;

/** The link to one holder, opened when needed. */
export class HolderLink {
	readonly #pending = new Map<number, (result: CallResult) => void>();
	#link: PeerLink<ForwardRequest, ForwardReply> | undefined;
	#nextCall = 1;
	#generation = 0;
	#lastMessageMs = 0;
	#avoidUntilMs = Number.NEGATIVE_INFINITY;
	#ping: TimerSubscription | undefined;

	constructor(private readonly options: HolderLinkOptions) {}

	get pending(): number {
		return this.#pending.size;
	}

	isAvoided(nowMs: number): boolean {
		return nowMs < this.#avoidUntilMs;
	}

	/** Grows with each new connection; a transaction lives on one. */
	get generation(): number {
		return this.#generation;
	}

	get isOpen(): boolean {
		return this.#link?.isOpen ?? false;
	}

	/** Sends a call; with `generation` only over that connection. */
	async call(request: WithoutCall<CallRequest>, generation?: number): Promise<CallResult> {
		if (generation !== undefined && (generation !== this.#generation || !this.isOpen)) {
			return {kind: 'not-sent'};
		}

		const link = this.#open();
		const call = this.#nextCall;
		this.#nextCall += 1;
		return new Promise(resolve => {
			const timeout = this.options.timers.after(request.statement.leftMs + answerSlackMs, () => {
				this.#settle(call, {kind: 'lost'});
			});
			this.#pending.set(call, result => {
				timeout.cancel();
				resolve(result);
			});
			link.send({...request, call});
		});
	}

	abort(transaction: number): void {
		if (this.isOpen) {
			this.#link!.send({kind: 'abort', transaction});
		}
	}

	close(): void {
		this.#link?.close();
	}

	#open(): PeerLink<ForwardRequest, ForwardReply> {
		if (this.#link?.isOpen) {
			return this.#link;
		}

		this.#generation += 1;
		const {connector, address, timers} = this.options;
		const link = connector.connect(address);
		this.#link = link;
		this.#lastMessageMs = timers.nowMs();
		link.onMessage(reply => {
			this.#lastMessageMs = timers.nowMs();
			this.#onReply(reply);
		});
		link.onClose(() => {
			if (this.#link === link) {
				this.#onClosed(link.isConnected ? 'lost' : 'not-sent');
			}
		});
		this.#ping ??= timers.every(pingIntervalMs, () => {
			this.#check();
		});
		return link;
	}

	#onReply(reply: ForwardReply): void {
		if (reply.kind === 'answer') {
			this.#settle(reply.call, {kind: 'answered', result: reply.failure ? err(reply.failure) : ok(reply.answer!)});
		} else if (reply.kind === 'leaving') {
			this.#avoidUntilMs = this.options.timers.nowMs() + avoidMs;
		}
	}

	#check(): void {
		if (!this.#link?.isOpen || this.#pending.size === 0) {
			this.#lastMessageMs = this.options.timers.nowMs();
			return;
		}

		const limitMs = this.#link.isConnected ? silenceMs : connectTimeoutMs;
		if (this.options.timers.nowMs() - this.#lastMessageMs > limitMs) {
			this.#link.close();
			return;
		}

		this.#link.send({kind: 'ping'});
	}

	#onClosed(kind: 'lost' | 'not-sent'): void {
		this.#link = undefined;
		this.#avoidUntilMs = this.options.timers.nowMs() + avoidMs;
		this.#ping?.cancel();
		this.#ping = undefined;
		for (const call of this.#pending.keys()) {
			this.#settle(call, {kind});
		}
	}

	#settle(call: number, result: CallResult): void {
		const settle = this.#pending.get(call);
		this.#pending.delete(call);
		settle?.(result);
	}
}
