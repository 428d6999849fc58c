import {type TimerService} from '@dogwoodthread/coordination';
import {type Faults} from '../core/faults.js';

/** Messages of one stream on their way to the caller, held back or delayed by the faults in force. */
export class Outbox<Message> {
	readonly #items: Array<{message: Message; addedMs: number}> = [];
	#end: {error: Error | undefined; drops: boolean} | undefined;
	#isSilent = false;
	#wake: (() => void) | undefined;

	constructor(private readonly timers: TimerService, private readonly faults: Faults) {}

	push(message: Message): void {
		if (!this.#end) {
			this.#items.push({message, addedMs: this.timers.nowMs()});
			this.#wake?.();
		}
	}

	/** Ends the stream after the messages that were added, with an error if given. */
	finish(error?: Error): void {
		this.#end ??= {error, drops: false};
		this.#wake?.();
	}

	/** Ends the stream now and drops what was not sent. */
	close(error: Error): void {
		this.#end = {error, drops: true};
		this.#wake?.();
	}

	/** Sends nothing more, but leaves the stream open. */
	silence(): void {
		this.#isSilent = true;
	}

	async * drain(): AsyncGenerator<Message> {
		const stopListening = this.faults.onChange(() => {
			this.#wake?.();
		});
		try {
			while (!this.#isOver()) {
				const waitMs = this.#waitMs();
				if (waitMs > 0) {
					await this.#sleep(waitMs);
				} else {
					yield this.#items.shift()!.message;
				}
			}
		} finally {
			stopListening();
		}

		if (this.#end?.error) {
			throw this.#end.error;
		}
	}

	#isOver(): boolean {
		return this.#end !== undefined && (this.#end.drops || (this.#items.length === 0 && !this.#isHeld()));
	}

	#isHeld(): boolean {
		return this.#isSilent || this.faults.values.frozen;
	}

	/** Time until the next message may leave, in ms; infinite while there is none. */
	#waitMs(): number {
		const next = this.#items[0];
		return next && !this.#isHeld()
			? next.addedMs + this.faults.values.answerDelayMs - this.timers.nowMs()
			: Number.POSITIVE_INFINITY;
	}

	async #sleep(waitMs: number): Promise<void> {
		await new Promise<void>(resolve => {
			const timer = Number.isFinite(waitMs) ? this.timers.after(Math.ceil(waitMs), resolve) : undefined;
			this.#wake = () => {
				timer?.cancel();
				resolve();
			};
		});
		this.#wake = undefined;
	}
}
