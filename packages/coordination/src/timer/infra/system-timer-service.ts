import {type TimerService, type TimerSubscription} from '../definitions.js';

/** Timers of the Node.js event loop. */
export class SystemTimerService implements TimerService {
	readonly #cancels = new Set<() => void>();

	nowMs(): number {
		return performance.now();
	}

	wallClockMs(): number {
		return Date.now();
	}

	after(delayMs: number, callback: () => void): TimerSubscription {
		const timer = setTimeout(() => {
			this.#cancels.delete(cancel);
			callback();
		}, delayMs);
		const cancel = () => {
			clearTimeout(timer);
			this.#cancels.delete(cancel);
		};

		this.#cancels.add(cancel);
		return {cancel};
	}

	every(intervalMs: number, callback: () => void): TimerSubscription {
		const timer = setInterval(callback, intervalMs);
		const cancel = () => {
			clearInterval(timer);
			this.#cancels.delete(cancel);
		};

		this.#cancels.add(cancel);
		return {cancel};
	}

	async sleep(delayMs: number): Promise<void> {
		await new Promise<void>(resolve => {
			this.after(delayMs, resolve);
		});
	}

	/** Cancels every pending timer. A pending `sleep` then never resolves. */
	close(): void {
		for (const cancel of this.#cancels) {
			cancel();
		}
	}
}
