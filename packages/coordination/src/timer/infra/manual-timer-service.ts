import {type TimerService, type TimerSubscription} from '../definitions.js';

type TimerEntry = {dueMs: number; intervalMs: number | undefined; callback: () => void; isCancelled: boolean};

/** Simulated time that moves only through `advance`, for tests and simulations. */
export class ManualTimerService implements TimerService {
	#nowMs = 0;
	// Sorted by descending due time, so that the next entry is last. Simulated fleets have thousands of entries, too many
	// to sort on each insertion.
	readonly #entries: TimerEntry[] = [];

	constructor(private readonly startWallClockMs = 1_700_000_000_000) {}

	nowMs(): number {
		return this.#nowMs;
	}

	wallClockMs(): number {
		return this.startWallClockMs + this.#nowMs;
	}

	after(delayMs: number, callback: () => void): TimerSubscription {
		return this.#schedule({dueMs: this.#nowMs + Math.max(0, delayMs), intervalMs: undefined, callback});
	}

	every(intervalMs: number, callback: () => void): TimerSubscription {
		return this.#schedule({dueMs: this.#nowMs + intervalMs, intervalMs, callback});
	}

	async sleep(delayMs: number): Promise<void> {
		await new Promise<void>(resolve => {
			this.after(delayMs, resolve);
		});
	}

	/** Advances time and runs the callbacks that fall due, in order of their due times. */
	advance(byMs: number): void {
		const targetMs = this.#nowMs + byMs;
		for (let next = this.#nextDue(targetMs); next; next = this.#nextDue(targetMs)) {
			this.#nowMs = Math.max(this.#nowMs, next.dueMs);
			if (next.intervalMs !== undefined) {
				next.dueMs += next.intervalMs;
				this.#insert(next);
			}

			next.callback();
		}

		this.#nowMs = targetMs;
	}

	/** Like `advance`, in steps of `stepMs`; lets pending promises settle after each step. */
	async advanceAsync(byMs: number, stepMs = byMs): Promise<void> {
		for (let remainingMs = byMs; remainingMs > 0; remainingMs -= stepMs) {
			this.advance(Math.min(stepMs, remainingMs));
			await new Promise<void>(resolve => {
				setImmediate(resolve);
			});
		}
	}

	#schedule({dueMs, intervalMs, callback}: Omit<TimerEntry, 'isCancelled'>): TimerSubscription {
		const entry: TimerEntry = {
			dueMs, intervalMs, callback, isCancelled: false,
		};
		this.#insert(entry);
		return {
			cancel() {
				entry.isCancelled = true;
			},
		};
	}

	/** Inserts the entry in front of all entries that are due earlier or at the same time, so that those run first. */
	#insert(entry: TimerEntry): void {
		let low = 0;
		let high = this.#entries.length;
		while (low < high) {
			const middle = Math.floor((low + high) / 2);
			if (this.#entries[middle]!.dueMs > entry.dueMs) {
				low = middle + 1;
			} else {
				high = middle;
			}
		}

		this.#entries.splice(low, 0, entry);
	}

	/** Removes and returns the next entry that is due by `targetMs` and not cancelled. */
	#nextDue(targetMs: number): TimerEntry | undefined {
		for (let next = this.#entries.at(-1); next && next.dueMs <= targetMs; next = this.#entries.at(-1)) {
			this.#entries.pop();
			if (!next.isCancelled) {
				return next;
			}
		}

		return undefined;
	}
}
