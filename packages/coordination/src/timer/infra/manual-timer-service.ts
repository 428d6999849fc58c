import {type TimerService, type TimerSubscription} from '../definitions.js';

type Entry = {dueMs: number; intervalMs: number | undefined; callback: () => void};

/** Time that moves only when told to; for tests and for embedders that simulate. */
export class ManualTimerService implements TimerService {
	#nowMs = 0;
	readonly #entries = new Set<Entry>();

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
			this.#entries.delete(next);
			if (next.intervalMs !== undefined) {
				next.dueMs += next.intervalMs;
				this.#entries.add(next);
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

	#schedule(entry: Entry): TimerSubscription {
		this.#entries.add(entry);
		return {
			cancel: () => {
				this.#entries.delete(entry);
			},
		};
	}

	#nextDue(targetMs: number): Entry | undefined {
		return [...this.#entries]
			.filter(entry => entry.dueMs <= targetMs)
			.sort((a, b) => a.dueMs - b.dueMs)
			.at(0);
	}
}
