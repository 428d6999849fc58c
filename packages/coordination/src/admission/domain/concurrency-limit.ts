import {type WorkResult} from '../definitions.js';

/** Observations of a finished run, from which the limit is adjusted. */
export type RunObservation = {
	result: WorkResult;
	/** Ratio of the recent service time to the long-term average of the same statements. */
	slowdown: number;
	/** Typical service time of short work, in ms. */
	typicalMs: number;
	nowMs: number;
};

/** Slowdown above which the instance counts as overloaded; lower values are normal variation under load. */
const slowdownTolerance = 2;
const decreaseFactor = 0.7;
/** Minimum time between two decreases in ms, so that several runs affected by one incident cause one decrease. */
const minDecreaseIntervalMs = 50;

/**
 * Adaptive limit on the statements that run concurrently at an instance: additive increase, multiplicative
 * decrease (AIMD) on timeouts and on growth of the service time. Stays between 1 and the instance's slots.
 */
export class ConcurrencyLimit {
	#limit: number;
	#nextDecreaseAtMs = Number.NEGATIVE_INFINITY;

	constructor(private slots: number) {
		this.#limit = slots;
	}

	/** The limit rounded down to whole statements, at least 1. */
	get current(): number {
		return Math.max(1, Math.floor(this.#limit + 1e-9));
	}

	setSlots(slots: number): void {
		// Added slots raise the limit immediately; after a reduction, the limit never exceeds the remaining slots.
		this.#limit = slots > this.slots ? this.#limit + (slots - this.slots) : Math.min(this.#limit, slots);
		this.slots = slots;
	}

	onRelease(run: RunObservation): void {
		if (run.result === 'timeout') {
			this.#decrease(run, 1);
		} else if (run.slowdown > slowdownTolerance) {
			// The growth may have a cause other than load, so a limit far below slots / slowdown would only leave the instance idle.
			this.#decrease(run, Math.min(this.#limit, (this.slots * slowdownTolerance) / run.slowdown));
		} else if (run.result === 'completed') {
			this.#limit = Math.min(this.slots, this.#limit + (1 / this.#limit));
		}
	}

	#decrease({nowMs, typicalMs}: RunObservation, floor: number): void {
		if (nowMs < this.#nextDecreaseAtMs) {
			return;
		}

		this.#limit = Math.max(1, floor, this.#limit * decreaseFactor);
		this.#nextDecreaseAtMs = nowMs + Math.max(minDecreaseIntervalMs, 2 * typicalMs);
	}
}
