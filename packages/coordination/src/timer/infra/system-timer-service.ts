import {type TimerService, type TimerSubscription} from '../definitions.js';

/** Timers of the Node.js event loop. */
export class SystemTimerService implements TimerService {
	readonly #pendingCancels = new Set<() => void>();

	nowMs(): number {
		return performance.now();
	}

	wallClockMs(): number {
		return Date.now();
	}

	after(delayMs: number, callback: () => void): TimerSubscription {
		const timer = setTimeout(() => {
			this.#pendingCancels.delete(cancel);
			callback();
		}, delayMs);
		const cancel = () => {
			clearTimeout(timer);
			this.#pendingCancels.delete(cancel);
		};

		this.#pendingCancels.add(cancel);
		return {cancel};
	}

	every(intervalMs: number, callback: () => void): TimerSubscription {
		const timer = setInterval(callback, intervalMs);
		const cancel = () => {
			clearInterval(timer);
			this.#pendingCancels.delete(cancel);
		};

		this.#pendingCancels.add(cancel);
		return {cancel};
	}

	async sleep(delayMs: number): Promise<void> {
		await new Promise<void>(resolve => {
			this.after(delayMs, resolve);
		});
	}

	/** Cancels all pending timers. Pending `sleep` calls then never resolve. */
	close(): void {
		for (const cancel of this.#pendingCancels) {
			cancel();
		}
	}
}
