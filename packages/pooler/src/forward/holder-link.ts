import {type TimerService, type TimerSubscription} from '@dogwoodthread/coordination';
import {err, ok} from 'neverthrow';
import {type StatementResult} from '../session/index.js';
import {
	type ForwardReply, type ForwardRequest, type PeerConnector, type PeerLink,
} from './definitions.js';
import {HolderClock} from './holder-clock.js';

/** How a call ended at the holder, or `lost` if that is not known, or `not-sent`. */
export type CallResult = {kind: 'answered'; result: StatementResult} | {kind: 'lost' | 'not-sent'};

export type HolderLinkOptions = {
	address: string;
	connector: PeerConnector;
	timers: TimerService;
};

type CallRequest = Extract<ForwardRequest, {call: number}>;
type Unsent<Request> = Request extends unknown ? Omit<Request, 'call' | 'sentAt'> : never;
type UnsentRequest = Unsent<CallRequest>;

/** Interval at which a link with open calls is checked, in ms. */
const pingIntervalMs = 300;
/** A link without any message for this long while calls are open is given up, in ms. */
const silenceMs = 1000;
/** Time for opening a connection to a holder and learning its time, in ms; hosts are a few ms apart. */
const connectTimeoutMs = 250;
/** A holder that could not be reached, or leaves, is passed over for this long, in ms. */
const avoidMs = 2000;
/** The answer may come this much later than the holder's own deadline, in ms. */
const answerSlackMs = 100;

/** The link to one holder, opened when needed. */
export class HolderLink {
	readonly #pending = new Map<number, (result: CallResult) => void>();
	/** Calls that wait until the holder has told its time. */
	readonly #unsent = new Map<number, UnsentRequest>();
	#clock: HolderClock;
	#link: PeerLink<ForwardRequest, ForwardReply> | undefined;
	#nextCall = 1;
	#generation = 0;
	#lastMessageMs = 0;
	#avoidUntilMs = Number.NEGATIVE_INFINITY;
	#ping: TimerSubscription | undefined;

	constructor(private readonly options: HolderLinkOptions) {
		this.#clock = new HolderClock(options.timers);
	}

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

	/**
	 * Sends a call; with `generation` only over that connection. A holder that got it late has not run it, and now has
	 * told its time, so it is sent once more.
	 */
	async call(request: UnsentRequest, generation?: number): Promise<CallResult> {
		const first = await this.#call(request, generation);
		return isLate(first) ? this.#call(request, generation) : first;
	}

	abort(transaction: number): void {
		if (this.isOpen) {
			this.#link!.send({kind: 'abort', transaction});
		}
	}

	close(): void {
		this.#link?.close();
	}

	async #call(request: UnsentRequest, generation?: number): Promise<CallResult> {
		if (generation !== undefined && (generation !== this.#generation || !this.isOpen)) {
			return {kind: 'not-sent'};
		}

		const {timers} = this.options;
		this.#open();
		if (this.#pending.size === 0) {
			this.#lastMessageMs = timers.nowMs();
		}

		const call = this.#nextCall;
		this.#nextCall += 1;
		return new Promise(resolve => {
			const timeout = timers.after(request.statement.leftMs + answerSlackMs, () => {
				this.#settle(call, {kind: 'lost'});
			});
			this.#pending.set(call, result => {
				timeout.cancel();
				resolve(result);
			});
			this.#unsent.set(call, request);
			this.#flush();
		});
	}

	#flush(): void {
		const sentAt = this.#clock.reading;
		if (!sentAt) {
			return;
		}

		for (const [call, request] of this.#unsent) {
			this.#link?.send({...request, call, sentAt});
		}

		this.#unsent.clear();
	}

	#open(): void {
		if (this.#link?.isOpen) {
			return;
		}

		this.#generation += 1;
		const {connector, address, timers} = this.options;
		const link = connector.connect(address);
		this.#link = link;
		this.#clock = new HolderClock(timers);
		this.#lastMessageMs = timers.nowMs();
		link.onMessage(reply => {
			this.#lastMessageMs = timers.nowMs();
			this.#onReply(reply);
		});
		link.onClose(() => {
			if (this.#link === link) {
				this.#onClosed();
			}
		});
		this.#ping ??= timers.every(pingIntervalMs, () => {
			this.#check();
		});
	}

	#onReply(reply: ForwardReply): void {
		if (reply.kind !== 'leaving') {
			this.#clock.note(reply.clock);
			this.#flush();
		}

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

		const limitMs = this.#clock.reading ? silenceMs : connectTimeoutMs;
		if (this.options.timers.nowMs() - this.#lastMessageMs > limitMs) {
			// What a partition holds up must not run later: its clients have had their answers by then.
			this.#link.abandon();
			return;
		}

		this.#link.send({kind: 'ping'});
	}

	#onClosed(): void {
		this.#link = undefined;
		this.#avoidUntilMs = this.options.timers.nowMs() + avoidMs;
		this.#ping?.cancel();
		this.#ping = undefined;
		for (const call of this.#pending.keys()) {
			this.#settle(call, {kind: 'lost'});
		}
	}

	/** A call that was never sent has not run. */
	#settle(call: number, result: CallResult): void {
		const settle = this.#pending.get(call);
		this.#pending.delete(call);
		settle?.(this.#unsent.delete(call) ? {kind: 'not-sent'} : result);
	}
}

const isLate = (result: CallResult): boolean =>
	result.kind === 'answered' && result.result.isErr() && result.result.error.reason === 'arrived-late';
