import {type TimerService, type TimerSubscription} from '@dogwoodthread/coordination';

export type DelayLineOptions<Item> = {
	timers: TimerService;
	/** Delay in force, in ms; read again at `rearm`. */
	delayMs: () => number;
	deliver: (item: Item) => void;
};

/** Hands items on in order, each after a delay. Without a delay it hands on at once. */
export class DelayLine<Item> {
	#items: Array<{item: Item; arrivedMs: number}> = [];
	#timer: TimerSubscription | undefined;

	constructor(private readonly options: DelayLineOptions<Item>) {}

	push(item: Item): void {
		this.#items.push({item, arrivedMs: this.options.timers.nowMs()});
		if (this.#items.length === 1) {
			this.rearm();
		}
	}

	/** Drops what has not been handed on. */
	clear(): void {
		this.#items = [];
		this.#timer?.cancel();
	}

	/** Hands on what is due with the delay now in force, and waits for the rest. */
	rearm(): void {
		this.#timer?.cancel();
		const {timers, delayMs, deliver} = this.options;
		while (this.#items[0]) {
			const waitMs = this.#items[0].arrivedMs + delayMs() - timers.nowMs();
			if (waitMs > 0) {
				// Rounded up because a timer may fire up to one ms early against the monotonic clock.
				this.#timer = timers.after(Math.ceil(waitMs), () => {
					this.rearm();
				});
				return;
			}

			deliver(this.#items.shift()!.item);
		}
	}
}
