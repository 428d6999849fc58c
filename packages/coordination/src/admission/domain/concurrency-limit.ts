import {type WorkResult} from '../definitions.js';

/** What a finished run shows of the instance. */
export type LimitSignal = {
	result: WorkResult;
	/** Recent service time over the usual one of the same statements. */
	slowdown: number;
	/** Usual service time, in ms. */
	usualMs: number;
	nowMs: number;
};

/** Service time growth that counts as a sign of overload; below it is the noise of a loaded instance. */
const slowdownTolerance = 2;
const decreaseFactor = 0.7;
/** Shortest time between two decreases in ms, so that one incident seen by several runs counts once. */
const minDecreaseIntervalMs = 50;

/**
 * Number of statements that an instance is given at the same time: additive increase, multiplicative
 * decrease on timeouts and on growth of the service time; between 1 and the instance's slots.
 */
export class ConcurrencyLimit {
	#limit: number;
	#nextDecreaseMs = Number.NEGATIVE_INFINITY;

	constructor(private slots: number) {
		this.#limit = slots;
	}

	/** Whole statements, at least 1. */
	get current(): number {
		return Math.max(1, Math.floor(this.#limit + 1e-9));
	}

	setSlots(slots: number): void {
		// An instance that gained slots takes them at once; one that lost some never gets more than it has.
		this.#limit = slots > this.slots ? this.#limit + (slots - this.slots) : Math.min(this.#limit, slots);
		this.slots = slots;
	}

	onRelease(signal: LimitSignal): void {
		if (signal.result === 'timeout') {
			this.#decrease(signal, 1);
		} else if (signal.slowdown > slowdownTolerance) {
			// A limit under slots / growth would only idle the instance, since the growth may have another cause.
			this.#decrease(signal, Math.min(this.#limit, (this.slots * slowdownTolerance) / signal.slowdown));
		} else if (signal.result === 'completed') {
			this.#limit = Math.min(this.slots, this.#limit + (1 / this.#limit));
		}
	}

	#decrease({nowMs, usualMs}: LimitSignal, floor: number): void {
		if (nowMs < this.#nextDecreaseMs) {
			return;
		}

		this.#limit = Math.max(1, floor, this.#limit * decreaseFactor);
		this.#nextDecreaseMs = nowMs + Math.max(minDecreaseIntervalMs, 2 * usualMs);
	}
}
