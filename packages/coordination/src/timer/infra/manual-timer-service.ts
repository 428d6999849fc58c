import {type TimerService, type TimerSubscription} from '../definitions.js';

type Entry = {dueMs: number; intervalMs: number | undefined; callback: () => void; cancelled: boolean};

/** Time that moves only when told to; for tests and for embedders that simulate. */
export class ManualTimerService implements TimerService {
	#nowMs = 0;
	// Sorted by due time, the next one last. Simulated fleets keep thousands of entries, too many to sort each time.
	readonly #entries: Entry[] = [];

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

	/** Moves time forward and runs what falls due, in order of its due time. */
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

	/** Like `advance`, in steps of `stepMs`, giving pending promises a turn after each. */
	async advanceAsync(byMs: number, stepMs = byMs): Promise<void> {
		for (let leftMs = byMs; leftMs > 0; leftMs -= stepMs) {
			this.advance(Math.min(stepMs, leftMs));
			await new Promise<void>(resolve => {
				setImmediate(resolve);
			});
		}
	}

	#schedule({dueMs, intervalMs, callback}: Omit<Entry, 'cancelled'>): TimerSubscription {
		const entry: Entry = {
			dueMs, intervalMs, callback, cancelled: false,
		};
		this.#insert(entry);
		return {
			cancel() {
				entry.cancelled = true;
			},
		};
	}

	/** Puts the entry before all that are due earlier or at the same time, which then run first. */
	#insert(entry: Entry): void {
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

	/** Takes out the next entry that is due by `targetMs`. */
	#nextDue(targetMs: number): Entry | undefined {
		for (let next = this.#entries.at(-1); next && next.dueMs <= targetMs; next = this.#entries.at(-1)) {
			this.#entries.pop();
			if (!next.cancelled) {
				return next;
			}
		}

		return undefined;
	}
}
